/** Commands on evacuations: `evacuations` and `evacuate`. */
import { callControl } from '../control-call.js';
import {
  changeEvacuation,
  describeEvacuations,
  formatEvacuation,
  unreportedEntries,
} from '../evacuation-commands.js';
import type { SystemStatus } from '../format-status.js';
import { type Cli, exitWithOutcome, print, readControlAccess } from './common.js';

/** Adds the commands of this file. */
export function addEvacuationCommands(cli: Cli): Cli {
  return cli
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
    );
}
