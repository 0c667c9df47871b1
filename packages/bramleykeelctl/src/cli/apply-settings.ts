/** Changes to the settings, as several commands make them. */
import type { Argv } from 'yargs';
import type { CallOutcome } from '../control-call.js';
import {
  applyChanges,
  type ApplyOptions,
  isCallOutcome,
  listSettings,
  type Setting,
} from '../settings-commands.js';
import {
  type CommonOptions,
  EXIT_STATUS,
  exitWithOutcome,
  print,
  readControlAccess,
} from './common.js';

/** Limit for `--wait`. */
const WAIT_TIMEOUT_MS = 30_000;

/** Applies changes to the settings. */
export async function apply(
  options: CommonOptions & Partial<Record<'operation-id', string>> & ApplyFlags,
  changes: readonly Setting[],
): Promise<CallOutcome> {
  if (changes.length === 0) return { kind: 'ok', result: { kind: 'unchanged' } };
  const applyOptions: ApplyOptions = {
    operationId: options['operation-id'],
    baseRevision: options.revision,
    isWaitRequested: options.wait,
    waitTimeoutMs: WAIT_TIMEOUT_MS,
  };
  return applyChanges(readControlAccess(options), changes, applyOptions);
}

interface ApplyFlags {
  readonly revision?: number | undefined;
  readonly wait: boolean;
}

/** Prints the revision of a change; exits if it failed. */
export function reportApplyOutcome(options: CommonOptions, outcome: CallOutcome): void {
  if (outcome.kind !== 'ok') exitWithOutcome(outcome);
  const result = outcome.result as { revision?: number; isInForce?: boolean; tookMs?: number };
  const revision =
    result.revision === undefined ? 'nothing to change' : `revision ${result.revision}`;
  const inForce = describeInForce(result);
  print(options, result, `${revision}${inForce}`);
  if (result.isInForce === false) process.exit(EXIT_STATUS.failed);
}

function describeInForce({ isInForce, tookMs }: { isInForce?: boolean; tookMs?: number }): string {
  if (isInForce === undefined) return '';
  return isInForce
    ? `, in force everywhere after ${tookMs ?? 0} ms`
    : ', not in force everywhere yet';
}

export async function fetchSettings(options: CommonOptions): Promise<readonly Setting[]> {
  const list = await listSettings(readControlAccess(options));
  if (isCallOutcome(list)) exitWithOutcome(list);
  return list.settings;
}

export function formatSetting({ path, value }: Setting): string {
  return `${path} ${JSON.stringify(value)}`;
}

export function withApplyFlags<Options>(command: Argv<Options>) {
  return command
    .option('revision', {
      type: 'number',
      describe: 'fail if the settings are no longer at this revision',
    })
    .option('operation-id', {
      type: 'string',
      describe: 'id of the change; resending with the same id never applies it twice',
    })
    .option('wait', {
      type: 'boolean',
      default: false,
      describe: 'wait until the change is in force on all entries',
    });
}
