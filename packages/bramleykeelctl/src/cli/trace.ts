/** The command `trace`. */
import { readFileSync } from 'node:fs';
import { formatTrace, traceRequest } from '../trace.js';
import { type Cli, EXIT_STATUS, print } from './common.js';

/** Adds the commands of this file. */
export function addTraceCommand(cli: Cli): Cli {
  return cli.command(
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
  );
}
