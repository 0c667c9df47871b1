/** Commands on the state of the whole system: `status` and `forget-server`. */
import { callControl } from '../control-call.js';
import { formatStatus, type SystemStatus } from '../format-status.js';
import { type Cli, exitWithOutcome, print, readControlAccess } from './common.js';

/** Adds the commands of this file. */
export function addStatusCommands(cli: Cli): Cli {
  return cli
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
    );
}
