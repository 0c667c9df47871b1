#!/usr/bin/env node
/** `npm run bench -- NAMES`: runs experiments, prints their rows and writes them to JSON files. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureConnections } from './connections-experiment.js';
import { measureControl } from './control-experiment.js';
import { measureFailover } from './failover-experiment.js';
import { measureFairness, measureHomeLoss } from './fairness-experiment.js';
import { measurePath } from './path-experiment.js';
import { measureQuorumAcknowledgement, measureReplicaShare } from './replica-experiment.js';

interface ExperimentOptions {
  readonly durationMs: number;
  readonly repeats: number;
  readonly fault: string;
}

interface Experiment {
  readonly describe: string;
  readonly run: (options: ExperimentOptions) => Promise<readonly object[]>;
}

const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  path: {
    describe: 'cost of the proxy: throughput relative to a direct connection',
    run: ({ durationMs }) => measurePath(durationMs),
  },
  replicas: {
    describe: 'share of reads answered by replicas, by replication lag',
    run: ({ durationMs }) => measureReplicaShare(durationMs),
  },
  cover: {
    describe: 'write latency with acknowledgement by a quorum and by the primary alone',
    run: ({ durationMs }) => measureQuorumAcknowledgement(durationMs),
  },
  failover: {
    describe: 'time without acknowledged writes after each fault, over repeated runs',
    run: ({ repeats, fault }) => measureFailover(repeats, fault),
  },
  fairness: {
    describe: 'service of customers within their rate while another sends ten times its rate',
    run: ({ durationMs }) => measureFairness(durationMs),
  },
  'home-loss': {
    describe:
      'refusals at 90% of the rate, without a fault and when the entry that keeps the rate is killed',
    run: ({ durationMs }) => measureHomeLoss(durationMs),
  },
  control: {
    describe: 'cost of the control service by the number of connected daemons',
    run: ({ durationMs }) => measureControl(durationMs),
  },
  connections: {
    describe: 'memory and processor time of an entry by idle connections',
    run: ({ durationMs }) => measureConnections(durationMs),
  },
};

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .usage(
    [
      '$0 [names..]',
      '',
      ...Object.entries(EXPERIMENTS).map(([name, { describe }]) => `  ${name}: ${describe}`),
    ].join('\n'),
  )
  .option('seconds', { type: 'number', default: 5, describe: 'duration of each measurement' })
  .option('repeats', { type: 'number', default: 5, describe: 'runs of each fault (failover only)' })
  .option('fault', {
    type: 'string',
    default: '',
    describe: 'run only faults whose name contains this (failover only)',
  })
  .option('out', {
    type: 'string',
    default: 'bench-results',
    describe: 'folder for the JSON files',
  })
  .strictOptions()
  .parseAsync();

const names = options._.length > 0 ? options._.map(String) : ['path'];
const unknown = names.filter((name) => !(name in EXPERIMENTS));
if (unknown.length > 0) {
  process.stderr.write(
    `unknown experiment ${unknown.join(', ')}; known: ${Object.keys(EXPERIMENTS).join(', ')}\n`,
  );
  process.exit(2);
}
mkdirSync(options.out, { recursive: true });
for (const name of names) {
  const startedAt = new Date().toISOString();
  const durationMs = options.seconds * 1_000;
  const { repeats, fault } = options;
  const rows = (await EXPERIMENTS[name]?.run({ durationMs, repeats, fault })) ?? [];
  const file = join(options.out, `${name}-${startedAt.replaceAll(':', '-')}.json`);
  writeFileSync(file, `${JSON.stringify({ name, startedAt, options, rows }, null, 2)}\n`);
  process.stdout.write(`${name} (${startedAt}), written to ${file}\n`);
  console.table(rows);
}
process.exit(0);
