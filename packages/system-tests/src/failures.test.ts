import { rmSync } from 'node:fs';
import { join } from 'node:path';
import type { Cluster } from '@bramleykeel/dev-launcher';
import { describe, expect, it } from 'vitest';
import { delay, ownerOf, primaryOf, startTestCluster, statusOf, waitFor } from './test-cluster.js';
import { closeLedger, type Ledger, startLedger } from './write-ledger.js';

const WORKERS = 4;
const WRITES_PER_PHASE = 40;

interface Names {
  readonly primary: string;
  readonly owner: string;
  readonly leader: string;
}

interface Fault {
  readonly name: string;
  readonly cause: (cluster: Cluster, names: Names) => Promise<void>;
  /** Brings back what was lost, after service has resumed without it. */
  readonly repair?: (cluster: Cluster, names: Names) => Promise<void>;
  /** Whether no request at all may be refused or left unknown. */
  readonly isPlanned?: boolean;
}

function kill(cluster: Cluster, name: string): Promise<unknown> {
  const ended = cluster.awaitExit(name);
  cluster.signal(name, 'SIGKILL');
  return ended;
}

async function replacePrimary(cluster: Cluster, lost: string): Promise<string> {
  let next = lost;
  await waitFor(`another primary than ${lost}`, async () => {
    next = await primaryOf(cluster);
    return next !== lost && next !== '';
  });
  return next;
}

const FAULTS: readonly Fault[] = [
  {
    name: 'the primary is killed and returns with a log that nobody else has',
    cause: async (cluster, { primary }) => {
      await kill(cluster, primary);
    },
    repair: (cluster, { primary }) => cluster.start(primary),
  },
  {
    name: 'the primary freezes and goes on after it was superseded',
    cause: async (cluster, { primary }) => {
      cluster.signal(primary, 'SIGSTOP');
      await replacePrimary(cluster, primary);
    },
    repair: (cluster, { primary }) => {
      cluster.signal(primary, 'SIGCONT');
      return delay(500);
    },
  },
  {
    name: 'the owner is killed',
    cause: async (cluster, { owner }) => {
      await kill(cluster, owner);
    },
    repair: (cluster, { owner }) => cluster.start(owner),
  },
  {
    name: 'the owner freezes and goes on after its lease',
    cause: async (cluster, { owner }) => {
      cluster.signal(owner, 'SIGSTOP');
      await waitFor('another owner', async () => (await ownerOf(cluster)) !== owner);
    },
    repair: (cluster, { owner }) => {
      cluster.signal(owner, 'SIGCONT');
      return delay(500);
    },
  },
  {
    name: 'owner and primary are killed together',
    cause: async (cluster, { owner, primary }) => {
      await Promise.all([kill(cluster, owner), kill(cluster, primary)]);
    },
    repair: async (cluster, { owner, primary }) => {
      await Promise.all([cluster.start(owner), cluster.start(primary)]);
    },
  },
  {
    name: 'the new primary is killed as soon as it was chosen',
    cause: async (cluster, { primary }) => {
      await kill(cluster, primary);
      await cluster.start(primary);
      const second = await replacePrimary(cluster, primary);
      await kill(cluster, second);
      await replacePrimary(cluster, second);
      await cluster.start(second);
    },
  },
  {
    name: 'two of three servers are lost for a while',
    cause: async (cluster, { primary }) => {
      const others = cluster.plan.servers.filter(({ server }) => server !== primary);
      const second = others[0]?.server ?? '';
      await Promise.all([kill(cluster, primary), kill(cluster, second)]);
      await delay(1_500);
      await Promise.all([cluster.start(primary), cluster.start(second)]);
    },
  },
  {
    name: 'the control leader is killed and loses its disk, then a second member is killed',
    cause: async (cluster, { leader }) => {
      await kill(cluster, leader);
      rmSync(join(cluster.plan.options.dataFolder, leader), { recursive: true });
      await waitFor('another control leader', async () => {
        return (await statusOf(cluster)).control.leader !== leader;
      });
      await cluster.start(leader);
      await waitFor('the member to vote again', () => isVotingAgain(cluster, leader));
      const second = (await statusOf(cluster)).control.leader;
      await kill(cluster, second);
      await waitFor('a leader of the other two', async () => {
        return (await statusOf(cluster)).control.leader !== second;
      });
      await cluster.start(second);
    },
  },
  {
    name: 'every entry is stopped and started again in turn',
    isPlanned: true,
    cause: async (cluster) => {
      for (const { id } of cluster.plan.entries) {
        const ended = cluster.awaitExit(id);
        cluster.signal(id, 'SIGTERM');
        expect(await ended).toBe(0);
        await cluster.start(id);
        await waitFor(`${id} to hold a lease`, async () => {
          return (await statusOf(cluster)).entries.some(({ entryId }) => entryId === id);
        });
      }
    },
  },
  {
    name: 'the primary announces that it leaves',
    isPlanned: true,
    cause: async (cluster, { primary }) => {
      const place = cluster.plan.servers.find(({ server }) => server === primary);
      await fetch(`http://${place?.commandAddress ?? ''}/leave`, { method: 'POST' });
      await replacePrimary(cluster, primary);
    },
  },
];

/** A member votes again once the others have admitted its new disk. */
async function isVotingAgain(cluster: Cluster, member: string): Promise<boolean> {
  const { control } = await statusOf(cluster);
  const record = control.members.find(({ id }) => id === member);
  return record !== undefined && record.isVoter && !record.diskId.startsWith('initial-');
}

function acknowledgedCount(ledger: Ledger): number {
  return ledger.writes.filter(({ outcome }) => outcome === 'acknowledged').length;
}

async function awaitMoreWrites(ledger: Ledger): Promise<void> {
  const wanted = acknowledgedCount(ledger) + WRITES_PER_PHASE;
  await waitFor('more acknowledged writes', () => acknowledgedCount(ledger) >= wanted, 30_000);
}

describe.concurrent(
  'no write is lost, doubled or wrongly reported, and no read is stale, when',
  () => {
    it.each(FAULTS.map((fault) => [fault.name, fault] as const))('%s', async (_name, fault) => {
      const { cause, repair, isPlanned } = fault;
      const { cluster, remove } = await startTestCluster();
      try {
        const { control } = await statusOf(cluster);
        const names: Names = {
          primary: await primaryOf(cluster),
          owner: await ownerOf(cluster),
          leader: control.leader,
        };
        const ledger = startLedger(cluster, WORKERS);
        await awaitMoreWrites(ledger);
        await cause(cluster, names);
        await awaitMoreWrites(ledger);
        await repair?.(cluster, names);
        await awaitMoreWrites(ledger);
        const summary = await closeLedger(cluster, ledger);
        // Named in full, so that a failure that shows once says which SQLSTATE it was.
        const all = JSON.stringify(summary);
        const never = { lost: [], doubled: [], falselyNotRun: [], staleReads: [] };
        expect(summary, all).toMatchObject(never);
        if (isPlanned) expect(summary, all).toMatchObject({ notRun: 0, unknown: 0 });
      } finally {
        await remove();
      }
    });
  },
);
