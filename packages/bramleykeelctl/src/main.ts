#!/usr/bin/env node
/** Command line for operators: `bramleykeelctl`. */
import { readFileSync } from 'node:fs';
import { createSecret, hashSecret } from '@bramleykeel/core';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { type CallOutcome, callControl, type ControlAccess } from './control-call.js';
import {
  applyChanges,
  type ApplyOptions,
  changesToRestore,
  diffSettings,
  type HistoryItem,
  isCallOutcome,
  listSettings,
  parseAssignments,
  readSettingsTree,
  type Setting,
} from './settings-commands.js';
import {
  changeEvacuation,
  describeEvacuations,
  formatEvacuation,
  unreportedEntries,
} from './evacuation-commands.js';
import { type Explanation, formatExplanation, parseMark } from './format-explanation.js';
import { formatStatus, type SystemStatus } from './format-status.js';
import { formatTrace, traceRequest } from './trace.js';

/** Exit statuses; their values must not change. */
const EXIT_STATUS = { ok: 0, failed: 1, usage: 2, denied: 3, conflict: 4, unreachable: 5 } as const;
/** Limit for `--wait`. */
const WAIT_TIMEOUT_MS = 30_000;

interface CommonOptions {
  readonly control: string | undefined;
  readonly 'token-file': string | undefined;
  readonly json: boolean;
}

function readControlAccess(options: CommonOptions): ControlAccess {
  const addresses = options.control ?? process.env.BRAMLEYKEEL_CONTROL;
  const file = options['token-file'] ?? process.env.BRAMLEYKEEL_TOKEN_FILE;
  if (addresses === undefined || file === undefined) {
    process.stderr.write(
      'give --control and --token-file, or set BRAMLEYKEEL_CONTROL and BRAMLEYKEEL_TOKEN_FILE\n',
    );
    process.exit(EXIT_STATUS.usage);
  }
  return { addresses: addresses.split(','), token: readFileSync(file, 'utf8').trim() };
}

function print(options: CommonOptions, value: unknown, text: string): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

/** Prints the error message of an outcome with a hint, and exits with the matching status. */
function exitWithOutcome(outcome: CallOutcome): never {
  if (outcome.kind === 'ok') process.exit(EXIT_STATUS.ok);
  if (outcome.kind === 'unreachable') {
    process.stderr.write(`control cannot be reached: ${outcome.message}\n`);
    process.stderr.write('check --control, and that a quorum of members runs\n');
    process.exit(EXIT_STATUS.unreachable);
  }
  process.stderr.write(`${outcome.message}\n`);
  if (outcome.code === 'denied') process.exit(EXIT_STATUS.denied);
  if (outcome.code !== 'conflict') process.exit(EXIT_STATUS.failed);
  process.stderr.write(`${JSON.stringify(outcome.detail)}\n`);
  process.stderr.write('look at what stands now, then apply again\n');
  process.exit(EXIT_STATUS.conflict);
}

async function apply(
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

function reportApplyOutcome(options: CommonOptions, outcome: CallOutcome): void {
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

async function fetchSettings(options: CommonOptions): Promise<readonly Setting[]> {
  const list = await listSettings(readControlAccess(options));
  if (isCallOutcome(list)) exitWithOutcome(list);
  return list.settings;
}

function formatSetting({ path, value }: Setting): string {
  return `${path} ${JSON.stringify(value)}`;
}

function withApplyFlags<Options>(command: Argv<Options>) {
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

const NEW_KEY_ID_LENGTH = 8;

await yargs(hideBin(process.argv))
  .scriptName('bramleykeelctl')
  .usage(
    '$0 <command>\n\nManages the settings and keys of a bramleykeel system, and shows its status.',
  )
  .option('control', {
    type: 'string',
    describe: 'operator addresses of the control members: IP:PORT,IP:PORT',
  })
  .option('token-file', { type: 'string', describe: 'file that contains the operator token' })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  .command(
    'status',
    'show control members, entries, group owners, primaries, log positions and settings revision',
    (command) => command,
    async (options) => {
      const outcome = await callControl(readControlAccess(options), 'status/get', {});
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      print(options, outcome.result, formatStatus(outcome.result as SystemStatus));
    },
  )
  .command(
    'trace <id>',
    'show the log lines of a request and its group; reads logs from standard input',
    (command) =>
      command
        .positional('id', { type: 'string', demandOption: true })
        .example('$0 trace 5c0e7a21d94b36f8 < logs', 'trace one request'),
    (options) => {
      const trace = traceRequest(readFileSync(0, 'utf8').split('\n'), options.id);
      if (trace.requestLineCount === 0) {
        process.stderr.write(`no line of these logs names the request ${options.id}\n`);
        process.exit(EXIT_STATUS.failed);
      }
      print(options, trace.lines, formatTrace(trace, options.id));
    },
  )
  .command(
    'explain <database>',
    'show where a request would go now and why, without sending it',
    (command) =>
      command
        .positional('database', { type: 'string', demandOption: true })
        .option('customer', { type: 'string', demandOption: true })
        .option('access', { choices: ['read', 'write'] as const, demandOption: true })
        .option('mark', { type: 'string', describe: 'session mark as TERM.OFFSET' })
        .option('max-age-ms', { type: 'number', describe: 'allowed staleness of a read' })
        .example('$0 explain bookings --customer acme --access read', 'explain a read'),
    async (options) => {
      const { database, customer, access, mark } = options;
      const position = mark === undefined ? null : parseMark(mark);
      if (position === undefined) {
        process.stderr.write('give --mark as TERM.OFFSET, such as 3.1207\n');
        process.exit(EXIT_STATUS.usage);
      }
      const maxAgeMs = options['max-age-ms'] ?? null;
      const params = { database, customer, access, mark: position, maxAgeMs };
      const outcome = await callControl(readControlAccess(options), 'explain/request', params);
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      print(options, outcome.result, formatExplanation(outcome.result as Explanation));
    },
  )
  .command(
    'get [path]',
    'show settings at or below a path',
    (command) => command.positional('path', { type: 'string', default: '' }),
    async (options) => {
      const { path } = options;
      const found = (await fetchSettings(options)).filter(
        (setting) => path === '' || setting.path === path || setting.path.startsWith(`${path}/`),
      );
      print(options, found, found.map(formatSetting).join('\n'));
      if (found.length === 0) process.exit(EXIT_STATUS.failed);
    },
  )
  .command(
    'set <path> <values..>',
    'change fields of one setting',
    (command) =>
      withApplyFlags(command)
        .positional('path', { type: 'string', demandOption: true })
        .positional('values', { type: 'string', array: true, demandOption: true })
        .example('$0 set customers/acme ratePerSecond=200 burst=100 --wait', 'change a rate limit'),
    async (options) => {
      const current = (await fetchSettings(options)).find(({ path }) => path === options.path);
      const value = {
        ...(current?.value as object | undefined),
        ...parseAssignments(options.values),
      };
      reportApplyOutcome(options, await apply(options, [{ path: options.path, value }]));
    },
  )
  .command(
    'unset <path>',
    'remove a setting',
    (command) => withApplyFlags(command).positional('path', { type: 'string', demandOption: true }),
    async (options) => {
      reportApplyOutcome(options, await apply(options, [{ path: options.path, value: null }]));
    },
  )
  .command(
    'apply <file>',
    'apply settings from a TOML file',
    (command) =>
      withApplyFlags(command)
        .positional('file', { type: 'string', demandOption: true })
        .option('prune', {
          type: 'boolean',
          default: false,
          describe: 'also remove settings that the file lacks, within its top-level tables',
        }),
    async (options) => {
      const changes = diffSettings(
        await fetchSettings(options),
        readSettingsTree(options.file),
        options.prune,
      );
      reportApplyOutcome(options, await apply(options, changes));
    },
  )
  .command(
    'diff <file>',
    'show what applying a TOML file would change',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('prune', { type: 'boolean', default: false }),
    async (options) => {
      const changes = diffSettings(
        await fetchSettings(options),
        readSettingsTree(options.file),
        options.prune,
      );
      print(options, changes, changes.map(formatSetting).join('\n'));
    },
  )
  .command(
    'history',
    'list accepted changes, oldest first',
    (command) => command,
    async (options) => {
      const outcome = await callControl(readControlAccess(options), 'settings/history', {});
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      const items = outcome.result as readonly HistoryItem[];
      const lines = items.map(({ revision, operator, wallClockMs, changes }) => {
        const paths = changes.map(({ path }) => path).join(' ');
        return `${revision} ${new Date(wallClockMs).toISOString()} ${operator}: ${paths}`;
      });
      print(options, items, lines.join('\n'));
    },
  )
  .command(
    'restore <to>',
    'restore the settings of an earlier revision, as a new revision',
    (command) => withApplyFlags(command).positional('to', { type: 'number', demandOption: true }),
    async (options) => {
      const outcome = await callControl(readControlAccess(options), 'settings/history', {});
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      const changes = changesToRestore(outcome.result as readonly HistoryItem[], options.to);
      reportApplyOutcome(options, await apply(options, changes));
    },
  )
  .command(
    'key-give <customer> [id]',
    'create a key for a customer; the key is shown only once',
    (command) =>
      withApplyFlags(command)
        .positional('customer', { type: 'string', demandOption: true })
        .positional('id', { type: 'string' }),
    async (options) => {
      const key = createSecret();
      const id = options.id ?? hashSecret(key).slice(0, NEW_KEY_ID_LENGTH);
      const path = `keys/${options.customer}/${id}`;
      const outcome = await apply(options, [{ path, value: { sha256Hex: hashSecret(key) } }]);
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      print(options, { id, key, ...(outcome.result as object) }, `key ${id}: ${key}`);
    },
  )
  .command(
    'key-withdraw <customer> <id>',
    'withdraw a key and close the connections that use it',
    (command) =>
      withApplyFlags(command)
        .positional('customer', { type: 'string', demandOption: true })
        .positional('id', { type: 'string', demandOption: true }),
    async (options) => {
      const path = `keys/${options.customer}/${options.id}`;
      reportApplyOutcome(options, await apply(options, [{ path, value: null }]));
    },
  )
  .command(
    'customers',
    'list customers with their rate limits and key ids',
    (command) => command,
    async (options) => {
      const settings = await fetchSettings(options);
      const customers = settings.filter(({ path }) => path.startsWith('customers/'));
      const lines = customers.map(({ path, value }) => {
        const name = path.slice('customers/'.length);
        const keys = settings.filter((setting) => setting.path.startsWith(`keys/${name}/`));
        const ids = keys.map((setting) => setting.path.split('/')[2] ?? '').join(', ');
        return `${name} ${JSON.stringify(value)} keys: ${ids === '' ? 'none' : ids}`;
      });
      print(options, customers, lines.join('\n'));
    },
  )
  .command(
    'evacuations',
    'list the evacuated zones, and the servers in each that still run statements or are primary',
    (command) => command,
    async (options) => {
      const outcome = await callControl(readControlAccess(options), 'status/get', {});
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      const status = outcome.result as SystemStatus;
      const evacuations = describeEvacuations(status);
      const lines = evacuations.flatMap(formatEvacuation);
      const unreported = unreportedEntries(status);
      if (unreported.length > 0) lines.push(`without a report from ${unreported.join(', ')}`);
      print(options, evacuations, lines.length === 0 ? 'no zone is evacuated' : lines.join('\n'));
    },
  )
  .command(
    'evacuate <zone>',
    'order that nothing more is sent to the servers of a zone, or withdraw that order',
    (command) =>
      command
        .positional('zone', { type: 'string', demandOption: true })
        .option('withdraw', { type: 'boolean', default: false, describe: 'withdraw the order' })
        .example('$0 evacuate ub-a', 'send nothing more to the servers in ub-a'),
    async (options) => {
      const { zone, withdraw } = options;
      const outcome = await changeEvacuation(readControlAccess(options), zone, !withdraw);
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      const text = withdraw ? 'is no longer evacuated' : 'is evacuated';
      print(options, outcome.result, `${zone} ${text}`);
    },
  )
  .command(
    'forget-server <group> <server>',
    'remove a permanently lost server from its group, so that quorums no longer include it',
    (command) =>
      command
        .positional('group', { type: 'string', demandOption: true })
        .positional('server', { type: 'string', demandOption: true }),
    async (options) => {
      const { group, server } = options;
      const outcome = await callControl(readControlAccess(options), 'server/forget', {
        group,
        server,
      });
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      print(options, outcome.result, `${server} no longer belongs to ${group}`);
    },
  )
  .demandCommand(1, 'a command is required')
  .strict()
  .help()
  .fail((message: string | null, error: unknown) => {
    const text = message ?? (error instanceof Error ? error.message : String(error));
    process.stderr.write(`${text}\n`);
    process.exit(EXIT_STATUS.usage);
  })
  .parseAsync();
