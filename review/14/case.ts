/** Two replicas are replaced; when the old ones may get no more requests, the machine of their owner is killed. */
import { setTimeout as delay } from 'node:timers/promises';
import { newId, openSession } from '../stand-in-3/client.js';
import { startDeployment } from '../stand-in-3/deployment.js';

const NET = 14;
const TENANTS = 8;
/** Sessions on each machine, by database; about 250 reads a second in all, as the site has. */
const SESSIONS = { stock: 6, books: 3 };
const PAUSE_MS = 170;
const DEADLINE_MS = 5_000;
/** `DrainMs`; rule DRAIN. */
const DRAIN_MS = 7_000;
/** How long the servers serve after that, and then end. */
const LINGER_MS = 3_000;
const KILLED_AFTER_MS = 300;
/** How long the machine stays dark. */
const DARK_MS = 3_300;

const isTrouble = process.env.TROUBLE !== '0';

const deployment = await startDeployment({
  ...{ net: NET, recordFile: 'review/14/record.txt', zones: ['za', 'zb', 'zc', 'za', 'zb', 'zc'] },
  ...{ tenantCount: TENANTS, hasStock: true },
});
const { cluster, recorder, keys, database } = deployment;

let endMs = Number.POSITIVE_INFINITY;
const isOver = () => performance.now() >= endMs;
let doneCount = 0;
let otherCount = 0;
let sessionCount = 0;

async function runClient(machine: string, front: string, host: string): Promise<void> {
  sessionCount += 1;
  const key = keys[sessionCount % keys.length] ?? '';
  while (!isOver()) {
    const session = await openSession(front, host, key);
    while (session?.isOpen() === true && !isOver()) {
      const id = newId();
      const answer = await session.query(id, 'READ 1a4', DEADLINE_MS);
      if (answer.done !== undefined) doneCount += 1;
      else {
        otherCount += 1;
        recorder.note(`client: ${machine} ${id}: ${answer.end} ${answer.error ?? ''}`);
      }
      await delay(PAUSE_MS * (0.5 + Math.random()));
    }
    session?.close();
    await delay(250);
  }
}

/** The machine whose entry owns the database, by its log. */
const owners = cluster.machines.filter(({ name }) =>
  cluster.logOf(name, 'entry').includes('this entry owns ledger'),
);
const [owner] = owners;
const isCounted = cluster.machines.slice(0, 3).some((machine) => machine === owner);
recorder.note(`case: the owner is on ${owner?.name ?? 'no machine'}`);
// The loss of a machine that serves control would excuse what follows it.
if (!owner || owners.length > 1 || isCounted) await deployment.end(2);

const machines = cluster.machines.filter((machine) => machine !== owner);
const clients = machines.flatMap(({ name, front }) =>
  Object.entries(SESSIONS).flatMap(([host, count]) =>
    Array.from({ length: count }, () => runClient(name, front, host)),
  ),
);
await delay(3_000);
const leaving = database.servers.filter(({ role }) => role === 'replica');
for (const { zone } of leaving) await database.join(zone);
await delay(3_000);
for (const server of leaving) {
  server.state = 'draining';
  recorder.note(`server ${server.id} says that it leaves`);
  while (server.leaveAcknowledgedAtMs === undefined) await delay(5);
  recorder.note(`server ${server.id}: acknowledged`);
}
const dueAtMs = new Map(
  leaving.map(({ id, leaveAcknowledgedAtMs = 0 }) => [id, leaveAcknowledgedAtMs + DRAIN_MS]),
);
const lastDueMs = Math.max(...dueAtMs.values());
await delay(lastDueMs + KILLED_AFTER_MS - performance.now());
if (isTrouble && owner) cluster.kill(owner.name, 'entry', DARK_MS);
await delay(lastDueMs + LINGER_MS - performance.now());
endMs = 0;
await Promise.all(clients);

const late = database.runs.filter(
  ({ server, id, atMs }) => id !== '-' && atMs > (dueAtMs.get(server) ?? Infinity),
);
for (const { id, server, atMs } of late) {
  const lateMs = Math.round(atMs - (dueAtMs.get(server) ?? 0));
  recorder.note(`server ${server} got ${id} ${lateMs} ms later than DrainMs`);
}
recorder.note(`clients: ${doneCount} answered, ${otherCount} not`);
recorder.note(`statements at servers later than DrainMs: ${late.length}`);
const couldRun = doneCount > 1_000;
await deployment.end(late.length > 0 ? 1 : couldRun ? 0 : 2);
