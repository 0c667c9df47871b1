/** Commands on the settings: `get`, `set`, `unset`, `apply`, `diff`, `history` and `restore`. */
import { callControl } from '../control-call.js';
import {
  changesToRestore,
  diffSettings,
  type HistoryItem,
  parseAssignments,
  readSettingsTree,
} from '../settings-commands.js';
import {
  apply,
  fetchSettings,
  formatSetting,
  reportApplyOutcome,
  withApplyFlags,
} from './apply-settings.js';
import { type Cli, EXIT_STATUS, exitWithOutcome, print, readControlAccess } from './common.js';

/** Adds the commands of this file. */
export function addSettingsCommands(cli: Cli): Cli {
  return cli
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
          .example(
            '$0 set customers/acme ratePerSecond=200 burst=100 --wait',
            'change a rate limit',
          ),
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
      (command) =>
        withApplyFlags(command).positional('path', { type: 'string', demandOption: true }),
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
    );
}
