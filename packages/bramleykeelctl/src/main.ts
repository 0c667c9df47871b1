#!/usr/bin/env node
/** The operators' command line: `bramleykeelctl`. */
import { readFileSync } from 'node:fs';
import { createSecret, hashSecret } from '@bramleykeel/core';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { type CallOutcome, callControl, type ControlAccess } from './control-call.js';
import {
  applyChanges,
  type ApplyOptions,
  changesBackTo,
  diffSettings,
  type HistoryItem,
  isOutcome,
  listSettings,
  parseAssignments,
  readSettingsTree,
  type Setting,
} from './settings-commands.js';
import { formatStatus, type SystemStatus } from './status-page.js';
import { formatTrace, traceRequest } from './trace.js';

/** Exit statuses; they stay as they are. */
const EXIT = { ok: 0, failed: 1, usage: 2, denied: 3, conflict: 4, unreachable: 5 } as const;
const DEFAULT_WAIT_MS = 30_000;

interface CommonOptions {
  readonly control: string | undefined;
  readonly 'token-file': string | undefined;
  readonly json: boolean;
}

function accessFrom(options: CommonOptions): ControlAccess {
  const addresses = options.control ?? process.env.BRAMLEYKEEL_CONTROL;
  const file = options['token-file'] ?? process.env.BRAMLEYKEEL_TOKEN_FILE;
  if (addresses === undefined || file === undefined) {
    process.stderr.write(
      'give --control and --token-file, or set BRAMLEYKEEL_CONTROL and BRAMLEYKEEL_TOKEN_FILE\n',
    );
    process.exit(EXIT.usage);
  }
  return { addresses: addresses.split(','), token: readFileSync(file, 'utf8').trim() };
}

function print(options: CommonOptions, value: unknown, text: string): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

/** Ends the command with the outcome's message, what to do next, and its exit status. */
function exitWith(outcome: CallOutcome): never {
  if (outcome.kind === 'ok') process.exit(EXIT.ok);
  if (outcome.kind === 'unreachable') {
    process.stderr.write(`control cannot be reached: ${outcome.message}\n`);
    process.stderr.write('check --control, and that a quorum of members runs\n');
    process.exit(EXIT.unreachable);
  }
  process.stderr.write(`${outcome.message}\n`);
  if (outcome.code === 'denied') process.exit(EXIT.denied);
  if (outcome.code !== 'conflict') process.exit(EXIT.failed);
  process.stderr.write(`${JSON.stringify(outcome.detail)}\n`);
  process.stderr.write('look at what stands now, then apply again\n');
  process.exit(EXIT.conflict);
}

async function apply(
  options: CommonOptions & Partial<Record<'operation-id', string>> & ApplyFlags,
  changes: readonly Setting[],
): Promise<CallOutcome> {
  if (changes.length === 0) return { kind: 'ok', result: { kind: 'unchanged' } };
  const applyOptions: ApplyOptions = {
    operationId: options['operation-id'],
    baseRevision: options.revision,
    isWaiting: options.wait,
    waitMs: DEFAULT_WAIT_MS,
  };
  return applyChanges(accessFrom(options), changes, applyOptions);
}

interface ApplyFlags {
  readonly revision?: number | undefined;
  readonly wait: boolean;
}

function finishApply(options: CommonOptions, outcome: CallOutcome): void {
  if (outcome.kind !== 'ok') exitWith(outcome);
  const result = outcome.result as { revision?: number; isInForce?: boolean; tookMs?: number };
  const revision =
    result.revision === undefined ? 'nothing to change' : `revision ${result.revision}`;
  const force = describeForce(result);
  print(options, result, `${revision}${force}`);
  if (result.isInForce === false) process.exit(EXIT.failed);
}

function describeForce({ isInForce, tookMs }: { isInForce?: boolean; tookMs?: number }): string {
  if (isInForce === undefined) return '';
  return isInForce
    ? `, in force everywhere after ${tookMs ?? 0} ms`
    : ', not in force everywhere yet';
}

async function present(options: CommonOptions): Promise<readonly Setting[]> {
  const list = await listSettings(accessFrom(options));
  if (isOutcome(list)) exitWith(list);
  return list.settings;
}

function formatSetting({ path, value }: Setting): string {
  return `${path} ${JSON.stringify(value)}`;
}

function withApplyFlags<Options>(command: Argv<Options>) {
  return command
    .option('revision', { type: 'number', describe: 'the revision the change was made against' })
    .option('operation-id', {
      type: 'string',
      describe: 'the same id again resends a change safely',
    })
    .option('wait', {
      type: 'boolean',
      default: false,
      describe: 'return once in force everywhere',
    });
}

const NEW_KEY_ID_LENGTH = 8;

await yargs(hideBin(process.argv))
  .scriptName('bramleykeelctl')
  .usage('$0 <command>\n\nSettings, keys and status of a bramleykeel system.')
  .option('control', {
    type: 'string',
    describe: "operators' addresses of control members: IP:PORT,IP:PORT",
  })
  .option('token-file', { type: 'string', describe: "file that holds the operator's token" })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  .command(
    'status',
    'entries, owners, primaries, lag and settings revision',
    (command) => command,
    async (options) => {
      const outcome = await callControl(accessFrom(options), 'status/get', {});
      if (outcome.kind !== 'ok') exitWith(outcome);
      print(options, outcome.result, formatStatus(outcome.result as SystemStatus));
    },
  )
  .command(
    'trace <id>',
    'what became of a request, from the logs of all processes on standard input',
    (command) =>
      command
        .positional('id', { type: 'string', demandOption: true })
        .example('$0 trace 5c0e7a21d94b36f8 < logs', 'follow one request'),
    (options) => {
      const trace = traceRequest(readFileSync(0, 'utf8').split('\n'), options.id);
      if (trace.ownCount === 0) {
        process.stderr.write(`no line of these logs names the request ${options.id}\n`);
        process.exit(EXIT.failed);
      }
      print(options, trace.lines, formatTrace(trace, options.id));
    },
  )
  .command(
    'get [path]',
    'show settings at or below a path',
    (command) => command.positional('path', { type: 'string', default: '' }),
    async (options) => {
      const { path } = options;
      const found = (await present(options)).filter(
        (setting) => path === '' || setting.path === path || setting.path.startsWith(`${path}/`),
      );
      print(options, found, found.map(formatSetting).join('\n'));
      if (found.length === 0) process.exit(EXIT.failed);
    },
  )
  .command(
    'set <path> <values..>',
    'change fields of one setting',
    (command) =>
      withApplyFlags(command)
        .positional('path', { type: 'string', demandOption: true })
        .positional('values', { type: 'string', array: true, demandOption: true })
        .example('$0 set customers/acme ratePerSecond=200 burst=100 --wait', 'change a rate'),
    async (options) => {
      const current = (await present(options)).find(({ path }) => path === options.path);
      const value = {
        ...(current?.value as object | undefined),
        ...parseAssignments(options.values),
      };
      finishApply(options, await apply(options, [{ path: options.path, value }]));
    },
  )
  .command(
    'unset <path>',
    'remove a setting',
    (command) => withApplyFlags(command).positional('path', { type: 'string', demandOption: true }),
    async (options) => {
      finishApply(options, await apply(options, [{ path: options.path, value: null }]));
    },
  )
  .command(
    'apply <file>',
    'apply a TOML file of settings',
    (command) =>
      withApplyFlags(command)
        .positional('file', { type: 'string', demandOption: true })
        .option('prune', {
          type: 'boolean',
          default: false,
          describe: 'remove what the file does not name',
        }),
    async (options) => {
      const changes = diffSettings(
        await present(options),
        readSettingsTree(options.file),
        options.prune,
      );
      finishApply(options, await apply(options, changes));
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
        await present(options),
        readSettingsTree(options.file),
        options.prune,
      );
      print(options, changes, changes.map(formatSetting).join('\n'));
    },
  )
  .command(
    'history',
    'accepted changes, oldest first',
    (command) => command,
    async (options) => {
      const outcome = await callControl(accessFrom(options), 'settings/history', {});
      if (outcome.kind !== 'ok') exitWith(outcome);
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
    'bring back the values of an earlier revision, as a new revision',
    (command) => withApplyFlags(command).positional('to', { type: 'number', demandOption: true }),
    async (options) => {
      const outcome = await callControl(accessFrom(options), 'settings/history', {});
      if (outcome.kind !== 'ok') exitWith(outcome);
      const changes = changesBackTo(outcome.result as readonly HistoryItem[], options.to);
      finishApply(options, await apply(options, changes));
    },
  )
  .command(
    'key-give <customer> [id]',
    'give a customer a new key; it is shown once',
    (command) =>
      withApplyFlags(command)
        .positional('customer', { type: 'string', demandOption: true })
        .positional('id', { type: 'string' }),
    async (options) => {
      const key = createSecret();
      const id = options.id ?? hashSecret(key).slice(0, NEW_KEY_ID_LENGTH);
      const path = `keys/${options.customer}/${id}`;
      const outcome = await apply(options, [{ path, value: { sha256Hex: hashSecret(key) } }]);
      if (outcome.kind !== 'ok') exitWith(outcome);
      print(options, { id, key, ...(outcome.result as object) }, `key ${id}: ${key}`);
    },
  )
  .command(
    'key-withdraw <customer> <id>',
    'withdraw a key, also from open connections',
    (command) =>
      withApplyFlags(command)
        .positional('customer', { type: 'string', demandOption: true })
        .positional('id', { type: 'string', demandOption: true }),
    async (options) => {
      const path = `keys/${options.customer}/${options.id}`;
      finishApply(options, await apply(options, [{ path, value: null }]));
    },
  )
  .command(
    'customers',
    'customers with their rates and keys',
    (command) => command,
    async (options) => {
      const settings = await present(options);
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
    'forget-server <group> <server>',
    'remove a server that is gone for good, so that it no longer counts for a quorum',
    (command) =>
      command
        .positional('group', { type: 'string', demandOption: true })
        .positional('server', { type: 'string', demandOption: true }),
    async (options) => {
      const { group, server } = options;
      const outcome = await callControl(accessFrom(options), 'server/forget', { group, server });
      if (outcome.kind !== 'ok') exitWith(outcome);
      print(options, outcome.result, `${server} no longer belongs to ${group}`);
    },
  )
  .demandCommand(1, 'name a command')
  .strict()
  .help()
  .fail((message: string | null, error: unknown) => {
    const text = message ?? (error instanceof Error ? error.message : String(error));
    process.stderr.write(`${text}\n`);
    process.exit(EXIT.usage);
  })
  .parseAsync();
