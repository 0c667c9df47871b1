/**
 * A replica joins. Before its first heartbeat has reached a daemon, the primary and the replica go dark. Which
 * acknowledged writes does the server have that is promoted?
 */
import { setTimeout as delay } from 'node:timers/promises';
import { newId, openSession } from '../stand-in-3/client.js';
import { call, type Machine } from '../stand-in-3/cluster.js';
import { startDeployment } from '../stand-in-3/deployment.js';

const PLACES = ['za', 'zb', 'zc', 'za', 'za', 'za', 'zb', 'zb', 'zc', 'zc'];
const CORE_COUNT = 3;
const WRITER_COUNT = 12;
/** Time in which the owner learns all servers of the service and a quiet deployment settles. */
const SETTLE_MS = 8_000;
const WRITE_MS = 1_500;
const LOSS_AFTER_JOIN_MS = 300;
/** Callers of `control` move on after a second without an answer. */
const CALL_TIMEOUT_MS = 1_000;
const FREEZE_MS = 3_500;
const REPLICA_DARK_MS = 4_700;
const PRIMARY_DARK_MS = 7_000;
const MAX_PROMOTION_MS = 20_000;

const isTrouble = process.env.TROUBLE !== '0';
let unheard: string | undefined;
const deployment = await startDeployment({
  ...{ net: 11, recordFile: 'review/11/record.txt', zones: PLACES, tenantCount: 8 },
  skipsBeat: ({ id }) => id === unheard,
});
const { cluster, database, cloud, recorder, keys } = deployment;
const core = cluster.machines.slice(0, CORE_COUNT);

await delay(SETTLE_MS);
const leader = lastLogged('control', core, /role is now (\w+)/g, 'leader');
const owner = lastLogged('entry', cluster.machines, /this entry (no longer )?owns ledger/g, '');
const frozen = core.find((machine) => machine !== leader && machine !== owner);
if (!leader || !owner || !frozen || core.includes(owner)) {
  recorder.note(
    `owner ${owner?.name ?? 'unknown'}, leader of control ${leader?.name ?? 'unknown'}`,
  );
  await deployment.end(2);
}
recorder.note(`owner ${owner?.name ?? ''}, leader of control ${leader?.name ?? ''}`);

/** The machine whose process logged a text last with `word` in the place of the first group. */
function lastLogged(
  role: 'control' | 'entry',
  machines: readonly Machine[],
  pattern: RegExp,
  word: string,
): Machine | undefined {
  return machines.find(({ name }) => {
    const last = [...cluster.logOf(name, role).matchAll(pattern)].at(-1);
    return last !== undefined && (last[1] ?? '') === word;
  });
}

/** Ids of the writes that clients have as done. */
const acknowledged: string[] = [];
let isOver = false;
const goesOn = () => !isOver;
const fronts = cluster.machines.filter((machine) => machine !== owner && machine !== frozen);

async function keepWriting(index: number): Promise<void> {
  const front = fronts[index % fronts.length]?.front ?? '';
  while (goesOn()) {
    const session = await openSession(front, 'books', keys[index % keys.length] ?? '');
    while (session?.isOpen() === true && goesOn()) {
      const id = newId();
      const answer = await session.query(id, `WRITE item${index} ${id}`, 5_000);
      if (answer.done !== undefined) acknowledged.push(id);
      recorder.note(`client: ${id} WRITE: ${answer.end} ${answer.error ?? answer.done ?? ''}`);
      await delay(answer.done === undefined ? 200 : 5);
    }
    session?.close();
    await delay(100);
  }
}

const writers = Array.from({ length: WRITER_COUNT }, (_value, index) => keepWriting(index));
await delay(WRITE_MS);

const joined = await database.join('za');
unheard = joined.id;
recorder.note(`database: ${joined.id} joins in za`);
const stopped = (['control', 'entry'] as const).map((role) =>
  cluster.processOf(frozen?.name ?? '', role),
);
if (isTrouble) {
  for (const child of stopped) child?.kill('SIGSTOP');
  recorder.note(`platform: ${frozen?.name ?? ''} stands still`);
}

/** The first heartbeat, which is sent to the next daemon if one does not answer. */
async function sayHello(): Promise<void> {
  const about = { Service: 'ledger', Addr: joined.address, Zone: 'za', Version: 'v1', Slots: 5 };
  const state = { State: 'ready', ColdLeftMs: 0, DbRole: 'replica', Seq: 1, born: joined.bornMs };
  for (const machine of [frozen, ...core]) {
    if (!machine || joined.isDark) return;
    const body = JSON.stringify({ ...about, ...state });
    const path = `/-/instances/${joined.id}`;
    const reply = await call(machine.control, 'PUT', path, body, CALL_TIMEOUT_MS);
    recorder.note(`database: heartbeat at ${machine.name}: ${reply?.status ?? 'no answer'}`);
    if (reply?.status !== 200) continue;
    unheard = undefined;
    return;
  }
}

void sayHello();
await delay(LOSS_AFTER_JOIN_MS);
const before = [...acknowledged];
const [primary] = database.servers;
if (isTrouble && primary) {
  primary.isDark = true;
  joined.isDark = true;
  const logs = database.servers.map(({ id, log }) => `${id} ${log.length}`).join(', ');
  recorder.note(`database: ${primary.id} and ${joined.id} go dark; lengths of logs: ${logs}`);
  setTimeout(() => {
    for (const child of stopped) child?.kill('SIGCONT');
  }, FREEZE_MS);
  setTimeout(() => {
    joined.isDark = false;
    unheard = undefined;
  }, REPLICA_DARK_MS);
  setTimeout(() => {
    primary.isDark = false;
  }, PRIMARY_DARK_MS);
  const untilMs = performance.now() + MAX_PROMOTION_MS;
  const isPromoted = () =>
    database.servers.some(({ role, term }) => role === 'primary' && term > 1);
  while (!isPromoted() && performance.now() < untilMs) await delay(20);
}
const led = database.servers
  .filter(({ role }) => role === 'primary')
  .sort((left, right) => right.term - left.term)[0];
const kept = new Set(led?.log.flatMap(({ writes }) => writes.map(({ id }) => id)));
const lost = before.filter((id) => !kept.has(id));
recorder.note(`platform: ${cloud.promotions.length} calls of promote; ${led?.id ?? ''} leads`);
recorder.note(
  `${before.length} writes were acknowledged before, ${lost.length} of them are not in its log: ${lost.join(' ')}`,
);
for (const { name } of cluster.machines) {
  const chosen = /\{[^\n]*chosen as primary of ledger[^\n]*\}/.exec(
    cluster.logOf(name, 'entry'),
  )?.[0];
  if (chosen !== undefined) recorder.note(`${name} entry wrote: ${chosen}`);
}
await delay(1_000);
isOver = true;
await Promise.all(writers);
await deployment.end(lost.length > 0 ? 1 : 0);
