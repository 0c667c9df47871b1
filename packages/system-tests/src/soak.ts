#!/usr/bin/env node
/**
 * `npm run soak -- --seed N`: injects random faults into a cluster under a write load and checks every
 * write against the log. Exits with 1 if a write was lost, doubled or wrongly reported, if a read was
 * stale, or if no write was acknowledged.
 */
import type { Cluster } from '@bramleykeel/dev-launcher';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { delay, findOwner, findPrimary, startTestCluster, fetchStatus } from './test-cluster.js';
import { closeLedger, startLedger } from './write-ledger.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run soak --')
  .option('seed', {
    type: 'number',
    default: 1,
    describe: 'seed for the choice and timing of faults',
  })
  .option('minutes', { type: 'number', default: 2 })
  .option('workers', { type: 'number', default: 6 })
  .strict()
  .parseAsync();

const MAX_PAUSE_MS = 3_000;
const MAX_OUTAGE_MS = 4_000;

/** Creates a seeded generator of numbers in [0, 1) (a linear congruential generator). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const random = createRandom(options.seed);

type ProcessSelector = (cluster: Cluster) => Promise<string>;

function pickRandom(names: readonly string[]): string {
  return names[Math.floor(random() * names.length)] ?? '';
}

const PROCESS_SELECTORS: readonly ProcessSelector[] = [
  (cluster) => findPrimary(cluster),
  (cluster) => findOwner(cluster),
  async (cluster) => (await fetchStatus(cluster)).control.leader,
  (cluster) => Promise.resolve(pickRandom(cluster.plan.servers.map(({ server }) => server))),
  (cluster) => Promise.resolve(pickRandom(cluster.plan.entries.map(({ id }) => id))),
  (cluster) => Promise.resolve(pickRandom(cluster.plan.control.map(({ id }) => id))),
];

const SIGNALS = ['SIGKILL', 'SIGSTOP', 'SIGTERM'] as const;

/** Kills, suspends or stops a random process, waits, and brings it back. */
async function injectFault(cluster: Cluster): Promise<void> {
  const selectProcess = PROCESS_SELECTORS[Math.floor(random() * PROCESS_SELECTORS.length)];
  const signal = SIGNALS[Math.floor(random() * SIGNALS.length)] ?? 'SIGKILL';
  const name = (await selectProcess?.(cluster)) ?? '';
  if (!cluster.processes.has(name)) return;
  process.stdout.write(`${signal} ${name}\n`);
  const ended = signal === 'SIGSTOP' ? Promise.resolve() : cluster.awaitExit(name);
  cluster.signal(name, signal);
  await delay(random() * MAX_OUTAGE_MS);
  if (signal === 'SIGSTOP') {
    cluster.signal(name, 'SIGCONT');
    return;
  }
  await ended;
  await cluster.start(name);
}

const { cluster, remove } = await startTestCluster();
const ledger = startLedger(cluster, options.workers);
const deadlineMs = performance.now() + options.minutes * 60_000;
while (performance.now() < deadlineMs) {
  await delay(random() * MAX_PAUSE_MS);
  await injectFault(cluster);
}
await delay(MAX_OUTAGE_MS);
const summary = await closeLedger(cluster, ledger);
await remove();
process.stdout.write(`seed ${options.seed}: ${JSON.stringify(summary)}\n`);
const violations = [
  summary.lost,
  summary.doubled,
  summary.falselyNotRun,
  summary.staleReads,
].flat();
process.exit(violations.length === 0 && summary.acknowledged > 0 ? 0 : 1);
