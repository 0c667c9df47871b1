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
    if (cutSessions > 0) process.stderr.write(`${cutSessions} sessions were cut\n`);
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
        `${settings.control.dataFolder} is in use; a member that lost its disk must not be set up anew`,
      );
    },
    Right: () => {
      process.stdout.write(`${settings.control.dataFolder} is ready for a new cluster\n`);
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
  describe: 'check the settings and exit',
} as const;

await yargs(hideBin(process.argv))
  .scriptName('bramleykeel')
  .usage('$0 <command>\n\nA database proxy with session consistency.')
  .command(
    'entry',
    'serve callers, and own database groups',
    (command) =>
      command
        .option('settings', settingsOption)
        .option('check', checkOption)
        .example('$0 entry --settings entry-1.toml', 'start an entry')
        .example('$0 entry --settings entry-1.toml --check', 'only check the file'),
    ({ settings, check }) => runEntry(settings, check),
  )
  .command(
    'control',
    'keep the replicated settings, leases and assignments',
    (command) =>
      command
        .option('settings', settingsOption)
        .option('check', checkOption)
        .example('$0 control --settings control-1.toml', 'start a control member'),
    ({ settings, check }) => runControl(settings, check),
  )
  .command(
    'init',
    'prepare the data folder of a control member of a new cluster, once',
    (command) =>
      command
        .option('settings', settingsOption)
        .example('$0 init --settings control-1.toml', 'before the very first start'),
    ({ settings }) => {
      runInit(settings);
    },
  )
  .demandCommand(1, 'name a command: entry, control or init')
  .strict()
  .help()
  .parseAsync();
