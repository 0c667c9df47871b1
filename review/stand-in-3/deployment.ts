/** A small deployment with one database, its operator and the platform, ready to serve. */
import { setTimeout as delay } from 'node:timers/promises';
import { type Cluster, ipOf, putConfig, startCluster } from './cluster.js';
import {
  announce,
  type Database,
  type DatabaseOptions,
  type DatabaseServer,
  startDatabase,
} from './database.js';
import { newId, openSession } from './client.js';
import { type CloudApi, startCloud } from './platform.js';
import { createRecorder, type Recorder } from './record.js';

export interface DeploymentOptions {
  readonly net: number;
  readonly recordFile: string;
  /** The zone of each machine; the first three machines have a disk. */
  readonly zones: readonly string[];
  readonly tenantCount: number;
  readonly answering?: DatabaseOptions['answering'];
  /** Whether there is a database `stock`, whose reads may be up to 1.5 s old. */
  readonly hasStock?: boolean;
  /** Servers that send no heartbeats for now. */
  readonly skipsBeat?: (server: DatabaseServer) => boolean;
}

export interface Deployment {
  readonly cluster: Cluster;
  readonly database: Database;
  readonly cloud: CloudApi;
  readonly recorder: Recorder;
  readonly keys: readonly string[];
  /** Ends all processes and the process of the case. */
  readonly end: (status: 0 | 1 | 2) => Promise<never>;
}

const SLOTS = 5;
const READY_TIMEOUT_MS = 20_000;
/** A case that hangs ends before this time, in milliseconds. */
const MAX_RUN_MS = 115_000;

export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
  const { net, zones, tenantCount, answering } = options;
  const recorder = createRecorder(options.recordFile);
  // Replaced once there are processes to end.
  const endAtOnce = () => process.exit(2);
  process.once('uncaughtException', endAtOnce);
  const cloud = await startCloud(ipOf(net, 99), recorder);
  const database = await startDatabase({
    ...{ name: 'ledger', ip: ipOf(net, 100), zones: [...new Set(zones)].slice(0, 3) },
    ...{ slots: SLOTS, workMs: 5, recorder },
    ...(answering && { answering }),
  });
  cloud.databases.push(database);
  const cluster = await startCluster({ net, zones, cloud: cloud.address, recorder });
  const controls = cluster.machines.slice(0, 3).map(({ control }) => control);
  const stopBeats = announce(database, controls, SLOTS, options.skipsBeat);
  const keys = Array.from({ length: tenantCount }, (_value, index) =>
    `key${index}`.padEnd(20, 'x'),
  );

  async function end(status: 0 | 1 | 2): Promise<never> {
    recorder.note(
      `result: ${['the rule held', 'the rule was broken', 'could not run'][status] ?? ''}`,
    );
    recorder.save();
    stopBeats();
    await cluster.stop();
    cloud.close();
    database.close();
    recorder.save();
    process.exit(status);
  }

  setTimeout(() => void end(2), MAX_RUN_MS).unref();
  process.once('SIGTERM', () => void end(2));
  process.off('uncaughtException', endAtOnce);
  process.once('uncaughtException', (error) => {
    recorder.note(`case: ${String(error)}`);
    void end(2);
  });
  const isAcknowledged = await putConfig(
    cluster,
    configOf(keys, options.hasStock === true),
    recorder,
  );
  const [key = ''] = keys;
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  for (const { front, name } of cluster.machines) {
    let isServed = false;
    while (isAcknowledged && !isServed && performance.now() < untilMs) {
      const session = await openSession(front, 'books', key);
      isServed = (await session?.query(newId(), 'READ x', 3_000))?.done !== undefined;
      session?.close();
      if (!isServed) await delay(250);
    }
    recorder.note(`client: ${name} ${isServed ? 'serves' : 'does not serve'}`);
    if (!isServed) await end(2);
  }
  return { cluster, database, cloud, recorder, keys, end };
}

function configOf(keys: readonly string[], hasStock: boolean) {
  const route = { Name: 'r-books', Host: 'books', PathPrefix: '/', Type: 'primary' };
  const times = { TimeoutMs: 3000, SloMs: 1200, Prio: 1, MaxAttempts: 2, Public: false };
  const stock = {
    ...{ Name: 'r-stock', Host: 'stock', PathPrefix: '/', Type: 'bounded_staleness' },
    ...{ ...times, Prio: 2, MaxStalenessMs: 1500, Service: 'ledger' },
  };
  const service = { Name: 'ledger', HealthPath: '/health', MaxConns: 34, Proto: 'h1', Tls: false };
  return {
    Version: 7,
    Routes: [{ ...route, ...times, Service: 'ledger' }, ...(hasStock ? [stock] : [])],
    Services: [{ ...service, SyncReplicas: 1 }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 262144, IdleTimeoutMs: 15000, TxIdleMs: 3000 },
    Tenants: keys.map((key, index) => {
      return { Name: `tenant${index}`, ApiKeys: [key], Prio: 1, RatePerS: 82, Burst: 82 };
    }),
  };
}
