#!/usr/bin/env node
/** Command line for operators: `bramleykeelctl`. */
import { type Cli, createCli, EXIT_STATUS } from './cli/common.js';
import { addEvacuationCommands } from './cli/evacuations.js';
import { addExplainCommand } from './cli/explain.js';
import { addKeyCommands } from './cli/keys.js';
import { addSettingsCommands } from './cli/settings.js';
import { addStatusCommands } from './cli/status.js';
import { addTraceCommand } from './cli/trace.js';

const ADD_COMMANDS: readonly ((cli: Cli) => Cli)[] = [
  addStatusCommands,
  addTraceCommand,
  addExplainCommand,
  addSettingsCommands,
  addKeyCommands,
  addEvacuationCommands,
];

await ADD_COMMANDS.reduce((cli, add) => add(cli), createCli())
  .demandCommand(1, 'a command is required')
  .strict()
  .help()
  .fail((message: string | null, error: unknown) => {
    const text = message ?? (error instanceof Error ? error.message : String(error));
    process.stderr.write(`${text}\n`);
    process.exit(EXIT_STATUS.usage);
  })
  .parseAsync();
