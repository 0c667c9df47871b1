import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  CUSTOMER,
  findPrimary,
  GROUP,
  startTestCluster,
  type TestCluster,
  waitFor,
} from './test-cluster.js';

interface Explained {
  readonly rate: { readonly home: object | null };
  readonly choice: {
    readonly outcome: { readonly kind: string; readonly server?: string };
    readonly predictedWaitMs: number | null;
    readonly servers: readonly {
      readonly server: string;
      readonly reason?: string | null;
      readonly zone: string;
      readonly isEvacuated: boolean;
    }[];
  };
}

const CTL = fileURLToPath(new URL('../../bramleykeelctl/dist/main.js', import.meta.url));
const run = promisify(execFile);

let testCluster: TestCluster;
let tokenFile: string;

beforeAll(async () => {
  testCluster = await startTestCluster();
  const { options, operatorToken } = testCluster.cluster.plan;
  tokenFile = join(options.dataFolder, 'operator-token');
  writeFileSync(tokenFile, operatorToken);
});

afterAll(() => testCluster.remove());

/** Runs `bramleykeelctl explain`; returns its output, or its error output with the exit status. */
async function explain(database: string, customer: string, ...options: readonly string[]) {
  const { control } = testCluster.cluster.plan;
  const addresses = control.map(({ adminAddress }) => adminAddress).join(',');
  const access = ['--control', addresses, '--token-file', tokenFile];
  const args = [CTL, 'explain', database, '--customer', customer, ...options, ...access];
  try {
    const { stdout } = await run(process.execPath, args);
    return { status: 0, text: stdout };
  } catch (error) {
    const { code, stderr } = error as { code: number; stderr: string };
    return { status: code, text: stderr };
  }
}

async function explainAsJson(...options: readonly string[]): Promise<Explained> {
  const { text } = await explain(GROUP, CUSTOMER, ...options, '--json');
  return JSON.parse(text) as Explained;
}

async function changeEvacuation(zone: string, ...options: readonly string[]): Promise<void> {
  const { control } = testCluster.cluster.plan;
  const addresses = control.map(({ adminAddress }) => adminAddress).join(',');
  const access = ['--control', addresses, '--token-file', tokenFile];
  await run(process.execPath, [CTL, 'evacuate', zone, ...options, ...access]);
}

describe('bramleykeelctl explain', () => {
  it('sends a write to the primary, with a reason against each replica', async () => {
    const primary = await findPrimary(testCluster.cluster);
    const { choice } = await explainAsJson('--access', 'write');
    expect(choice.outcome).toEqual({ kind: 'run', server: primary });
    expect(choice.predictedWaitMs).toBe(0);
    const others = choice.servers.filter(({ server }) => server !== primary);
    expect(others).toHaveLength(2);
    for (const { reason } of others) expect(reason).toBe('only-the-primary-runs-it');
  });

  it('sends a read to a replica', async () => {
    const primary = await findPrimary(testCluster.cluster);
    await waitFor('a replica to be chosen', async () => {
      const { choice } = await explainAsJson('--access', 'read');
      return choice.outcome.kind === 'run' && choice.outcome.server !== primary;
    });
  });

  it('waits for a mark that the group has not reached', async () => {
    const { choice } = await explainAsJson('--access', 'read', '--mark', '900.1');
    expect(choice.outcome.kind).toBe('wait');
  });

  it.each([
    { database: 'nowhere', customer: CUSTOMER, text: 'no database is named nowhere\n' },
    { database: GROUP, customer: 'nobody', text: 'no customer is named nobody\n' },
  ])('names what is unknown: $text', async ({ database, customer, text }) => {
    expect(await explain(database, customer, '--access', 'read')).toEqual({ status: 1, text });
  });

  it('names the servers whose zone is evacuated', async () => {
    const { choice } = await explainAsJson('--access', 'read');
    const zone = choice.servers[0]?.zone ?? '';
    await changeEvacuation(zone);
    await waitFor('the evacuation to be explained', async () => {
      const { servers } = (await explainAsJson('--access', 'read')).choice;
      return servers.every((each) => each.isEvacuated === (each.zone === zone));
    });
    const { servers } = (await explainAsJson('--access', 'read')).choice;
    for (const each of servers.filter(({ isEvacuated }) => isEvacuated))
      expect(each.reason).toBe('evacuated');
    await changeEvacuation(zone, '--withdraw');
    await waitFor('the withdrawal to be explained', async () => {
      const { choice: later } = await explainAsJson('--access', 'read');
      return later.servers.every(({ isEvacuated }) => !isEvacuated);
    });
  });

  it('refuses a malformed mark as wrong usage', async () => {
    const { status } = await explain(GROUP, CUSTOMER, '--access', 'read', '--mark', '7');
    expect(status).toBe(2);
  });

  it('shows no key and no token', async () => {
    const { keys, operatorToken } = testCluster.cluster.plan;
    for (const options of [[], ['--json']]) {
      const { text } = await explain(GROUP, CUSTOMER, '--access', 'read', ...options);
      for (const secret of [...keys.values(), operatorToken]) expect(text).not.toContain(secret);
    }
  });
});
