/** The command `explain`. */
import { callControl } from '../control-call.js';
import { type Explanation, formatExplanation, parseMark } from '../format-explanation.js';
import { askEntry } from '../entry-call.js';
import {
  formatStatementExplanation,
  type StatementExplanation,
} from '../format-statement-explanation.js';
import { type Cli, EXIT_STATUS, exitWithOutcome, print, readControlAccess } from './common.js';

/** Adds the commands of this file. */
export function addExplainCommand(cli: Cli): Cli {
  return cli.command(
    'explain <database>',
    'show where a request would go now and why, without sending it',
    (command) =>
      command
        .positional('database', { type: 'string', demandOption: true })
        .option('customer', { type: 'string', demandOption: true })
        .option('access', { choices: ['read', 'write'] as const, demandOption: true })
        .option('entry', {
          type: 'string',
          describe:
            'metrics address of an entry of the statement dialect, IP:PORT, to ask that one',
        })
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
      if (options.entry !== undefined) {
        const answer = await askEntry(options.entry, params);
        if (answer.kind === 'unreachable') exitUnreachable(answer.message);
        if (answer.kind !== 'ok') exitWithOutcome(answer);
        const explanation = answer.result as StatementExplanation;
        print(options, explanation, formatStatementExplanation(explanation));
        return;
      }
      const outcome = await callControl(readControlAccess(options), 'explain/request', params);
      if (outcome.kind !== 'ok') exitWithOutcome(outcome);
      print(options, outcome.result, formatExplanation(outcome.result as Explanation));
    },
  );
}

function exitUnreachable(message: string): never {
  process.stderr.write(`the entry cannot be reached: ${message}\n`);
  process.stderr.write('check --entry: the address of its metrics\n');
  process.exit(EXIT_STATUS.unreachable);
}
