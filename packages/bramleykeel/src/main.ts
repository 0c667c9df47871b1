#!/usr/bin/env node
/** Command line of the daemons: `bramleykeel entry` and `bramleykeel control`. */
import {
  controlSettingsSchema,
  entrySettingsSchema,
  formatSettingsError,
  readSettingsFile,
} from '@bramleykeel/core';
import { initializeControl, startControl } from '@bramleykeel/control';
import { startEntry } from '@bramleykeel/entry';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runUntilSignal } from './run-until-signal.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

function readSettings<Schema extends Parameters<typeof readSettingsFile>[1]>(
  file: string,
  schema: Schema,
) {
  return readSettingsFile(file, schema)
    .mapLeft((error) => {
      process.stderr.write(`${formatSettingsError(error)}\n`);
      process.exit(EXIT_BAD_SETTINGS);
    })
    .unsafeCoerce();
}

function fail(error: unknown): never {
  const text = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${text}\n`);
  process.exit(EXIT_FAILED);
}

async function runEntry(file: string, isCheckOnly: boolean): Promise<void> {
  const settings = readSettings(file, entrySettingsSchema);
  if (isCheckOnly) return;
  const daemon = await startEntry(settings).catch(fail);
  process.stdout.write(`entry ${settings.entry.id} ready\n`);
  await runUntilSignal(async () => {
    const { cutSessions } = await daemon.stop();
    if (cutSessions > 0)
      process.stderr.write(`${cutSessions} sessions were still open and have been closed\n`);
  });
}

async function runControl(file: string, isCheckOnly: boolean): Promise<void> {
  const settings = readSettings(file, controlSettingsSchema);
  if (isCheckOnly) return;
  const daemon = await startControl(settings).catch(fail);
  process.stdout.write(`control ${settings.control.id} ready\n`);
  await runUntilSignal(daemon.stop);
}

function runInit(file: string): void {
  const settings = readSettings(file, controlSettingsSchema);
  initializeControl(settings).caseOf({
    Left: () => {
      fail(
        `${settings.control.dataFolder} is initialized already; do not use init to replace a lost disk`,
      );
    },
    Right: () => {
      process.stdout.write(`initialized ${settings.control.dataFolder} for a new cluster\n`);
    },
  });
}

const settingsOption = {
  type: 'string',
  demandOption: true,
  describe: 'TOML settings file',
} as const;
const checkOption = {
  type: 'boolean',
  default: false,
  describe: 'validate the settings file and exit',
} as const;

await yargs(hideBin(process.argv))
  .scriptName('bramleykeel')
  .usage('$0 <command>\n\nA database proxy with session consistency.')
  .command(
    'entry',
    'run an entry, which serves callers and owns database groups',
    (command) =>
      command
        .option('settings', settingsOption)
        .option('check', checkOption)
        .example('$0 entry --settings entry-1.toml', 'start an entry')
        .example('$0 entry --settings entry-1.toml --check', 'only validate the file'),
    ({ settings, check }) => runEntry(settings, check),
  )
  .command(
    'control',
    'run a control member, which replicates settings, leases and assignments',
    (command) =>
      command
        .option('settings', settingsOption)
        .option('check', checkOption)
        .example('$0 control --settings control-1.toml', 'start a control member'),
    ({ settings, check }) => runControl(settings, check),
  )
  .command(
    'init',
    'initialize the data folder of a control member, once, for a new cluster',
    (command) =>
      command
        .option('settings', settingsOption)
        .example('$0 init --settings control-1.toml', 'before the first start'),
    ({ settings }) => {
      runInit(settings);
    },
  )
  .demandCommand(1, 'a command is required: entry, control or init')
  .strict()
  .help()
  .parseAsync();
