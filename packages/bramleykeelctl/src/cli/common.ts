/** What all commands of `bramleykeelctl` share: options, output and exit statuses. */
import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { CallOutcome, ControlAccess } from '../control-call.js';

/** Exit statuses; their values must not change. */
export const EXIT_STATUS = {
  ok: 0,
  failed: 1,
  usage: 2,
  denied: 3,
  conflict: 4,
  unreachable: 5,
} as const;

export interface CommonOptions {
  readonly control: string | undefined;
  readonly 'token-file': string | undefined;
  readonly json: boolean;
}

/** Creates the command line with the options of all commands. */
export function createCli() {
  return yargs(hideBin(process.argv))
    .scriptName('bramleykeelctl')
    .usage(
      '$0 <command>\n\nManages the settings and keys of a bramleykeel system, and shows its status.',
    )
    .option('control', {
      type: 'string',
      describe: 'operator addresses of the control members: IP:PORT,IP:PORT',
    })
    .option('token-file', { type: 'string', describe: 'file that contains the operator token' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' });
}

export type Cli = ReturnType<typeof createCli>;

/** Reads how control is called from the options or the environment; exits if neither says it. */
export function readControlAccess(options: CommonOptions): ControlAccess {
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

export function print(options: CommonOptions, value: unknown, text: string): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

/** Prints the error message of an outcome with a hint, and exits with the matching status. */
export function exitWithOutcome(outcome: CallOutcome): never {
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
