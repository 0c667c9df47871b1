/** Commands on customers and their keys: `key-give`, `key-withdraw` and `customers`. */
import { createSecret, hashSecret } from '@bramleykeel/core';
import { apply, fetchSettings, reportApplyOutcome, withApplyFlags } from './apply-settings.js';
import { type Cli, exitWithOutcome, print } from './common.js';

const NEW_KEY_ID_LENGTH = 8;

/** Adds the commands of this file. */
export function addKeyCommands(cli: Cli): Cli {
  return cli
    .command(
      'key-give <customer> [id]',
      'create a key for a customer; the key is shown only once',
      (command) =>
        withApplyFlags(command)
          .positional('customer', { type: 'string', demandOption: true })
          .positional('id', { type: 'string' }),
      async (options) => {
        const key = createSecret();
        const id = options.id ?? hashSecret(key).slice(0, NEW_KEY_ID_LENGTH);
        const path = `keys/${options.customer}/${id}`;
        const outcome = await apply(options, [{ path, value: { sha256Hex: hashSecret(key) } }]);
        if (outcome.kind !== 'ok') exitWithOutcome(outcome);
        print(options, { id, key, ...(outcome.result as object) }, `key ${id}: ${key}`);
      },
    )
    .command(
      'key-withdraw <customer> <id>',
      'withdraw a key and close the connections that use it',
      (command) =>
        withApplyFlags(command)
          .positional('customer', { type: 'string', demandOption: true })
          .positional('id', { type: 'string', demandOption: true }),
      async (options) => {
        const path = `keys/${options.customer}/${options.id}`;
        reportApplyOutcome(options, await apply(options, [{ path, value: null }]));
      },
    )
    .command(
      'customers',
      'list customers with their rate limits and key ids',
      (command) => command,
      async (options) => {
        const settings = await fetchSettings(options);
        const customers = settings.filter(({ path }) => path.startsWith('customers/'));
        const lines = customers.map(({ path, value }) => {
          const name = path.slice('customers/'.length);
          const keys = settings.filter((setting) => setting.path.startsWith(`keys/${name}/`));
          const ids = keys.map((setting) => setting.path.split('/')[2] ?? '').join(', ');
          return `${name} ${JSON.stringify(value)} keys: ${ids === '' ? 'none' : ids}`;
        });
        print(options, customers, lines.join('\n'));
      },
    );
}
