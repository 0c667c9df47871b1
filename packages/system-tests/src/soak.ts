#!/usr/bin/env node
/** `npm run soak -- --seed N`: random faults on a real cluster, with a ledger of every write. */
import type { Cluster } from '@bramleykeel/dev-launcher';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { delay, ownerOf, primaryOf, startTestCluster, statusOf } from './test-cluster.js';
import { closeLedger, startLedger } from './write-ledger.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run soak --')
  .option('seed', { type: 'number', default: 1, describe: 'decides the faults and their times' })
  .option('minutes', { type: 'number', default: 2 })
  .option('workers', { type: 'number', default: 6 })
  .strict()
  .parseAsync();

const MAX_PAUSE_MS = 3_000;
const MAX_OUTAGE_MS = 4_000;

/** A generator of numbers in [0, 1) with a fixed seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const random = createRandom(options.seed);

type Choice = (cluster: Cluster) => Promise<string>;

function anyOf(names: readonly string[]): string {
  return names[Math.floor(random() * names.length)] ?? '';
}

const CHOICES: readonly Choice[] = [
  (cluster) => primaryOf(cluster),
  (cluster) => ownerOf(cluster),
  async (cluster) => (await statusOf(cluster)).control.leader,
  (cluster) => Promise.resolve(anyOf(cluster.plan.servers.map(({ server }) => server))),
  (cluster) => Promise.resolve(anyOf(cluster.plan.entries.map(({ id }) => id))),
  (cluster) => Promise.resolve(anyOf(cluster.plan.control.map(({ id }) => id))),
];

const SIGNALS = ['SIGKILL', 'SIGSTOP', 'SIGTERM'] as const;

/** Brings one fault about, waits, and repairs it. */
async function bringFault(cluster: Cluster): Promise<void> {
  const choose = CHOICES[Math.floor(random() * CHOICES.length)];
  const signal = SIGNALS[Math.floor(random() * SIGNALS.length)] ?? 'SIGKILL';
  const name = (await choose?.(cluster)) ?? '';
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
const untilMs = performance.now() + options.minutes * 60_000;
while (performance.now() < untilMs) {
  await delay(random() * MAX_PAUSE_MS);
  await bringFault(cluster);
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
