/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return -- plain JavaScript without types */
import { setTimeout as delay } from 'node:timers/promises';
import { configure, openSession, startCluster } from '../stand-in/cluster.mjs';
import {
  addServer,
  announce,
  closeService,
  createConfig,
  createService,
  holds,
  startPlatform,
} from '../stand-in/database.mjs';
import { runCase } from '../stand-in/case.mjs';

const ZONES = {
  'ub-a': 'ulaanbaatar',
  'ub-b': 'ulaanbaatar',
  'erd-a': 'erdenet',
  'dkh-a': 'darkhan',
};
const SESSIONS = 40;
const CRASH_AFTER_MS = 6_000;
const PRIMARY_DARK_MS = 7_000;
const REPLICA_DARK_MS = 4_700;
const KILL_AFTER_CRASH_MS = 100;
const RESTART_MS = 3_000;
const WATCH_MS = 9_000;

await runCase(import.meta.dirname, async ({ record, isTroubled, atEnd }) => {
  const machines = ['ub-a', 'erd-a', 'dkh-a'].flatMap((zone) => [
    { name: `front-${zone}-1`, zone, isCore: true },
    { name: `front-${zone}-2`, zone, isCore: false },
  ]);
  const cluster = await startCluster(machines, ZONES, record);
  atEnd(cluster.stop);
  const service = createService('huvo11a', record);
  atEnd(() => {
    closeService(service);
  });
  const platform = await startPlatform(cluster.platformAddress, [service], record);
  atEnd(() => platform.close());
  // The delays of the pages: 0.5 ms between zones, 12 ms between regions.
  const places = [
    { id: 'i-primary', zone: 'ub-a', receiveMs: 0.5 },
    { id: 'i-near', zone: 'ub-b', receiveMs: 0.5 },
    { id: 'i-far', zone: 'erd-a', receiveMs: 12 },
  ];
  for (const [index, { id, zone, receiveMs }] of places.entries()) {
    const host = `${cluster.prefix}.${100 + index}`;
    const server = await addServer(service, id, zone, host, { receiveMs });
    atEnd(announce(cluster, server));
  }
  const [primary, near] = service.servers;
  await configure(cluster, createConfig(7, [service]));

  const broken = [];
  /** Writes that were answered with success, with the time of the answer. */
  const acknowledged = new Map();
  service.onPromoted = (server) => {
    const lost = [...acknowledged].filter(([id]) => !holds(server, id));
    for (const [id, at] of lost)
      record(`write ${id}, acknowledged at ${(at / 1000).toFixed(3)}, is not there`);
    if (lost.length > 0)
      broken.push(`LOST: ${server.id} was promoted without ${lost.length} acknowledged writes`);
  };

  let isOver = false;
  let number = 0;
  const startedMs = performance.now();
  const runSession = async (index) => {
    while (!isOver) {
      const node = cluster.nodes[index % cluster.nodes.length];
      const session = await openSession(node.front, 'huvo11a-primary', 'key-of-crew');
      while (session?.isClosed() === false && !isOver) {
        const id = `w${(number += 1)}`;
        const answer = await session.query(id, `WRITE item-${index} ${id}`);
        if (answer.isDone) acknowledged.set(id, performance.now() - startedMs);
        await delay(answer.isDone ? 90 + Math.random() * 20 : 300);
      }
      await delay(100);
    }
  };
  const sessions = Array.from({ length: SESSIONS }, (_each, index) => runSession(index));
  await delay(CRASH_AFTER_MS);
  const owner = cluster.nodes.find(({ name }) =>
    cluster.logOf(name, 'entry').includes(`this entry owns ${service.name}`),
  );
  if (isTroubled) {
    for (const [server, forMs] of [
      [primary, PRIMARY_DARK_MS],
      [near, REPLICA_DARK_MS],
    ]) {
      record(`${server.id} goes dark for ${forMs} ms`);
      server.isDark = true;
      setTimeout(() => {
        record(`${server.id} is back with its log`);
        for (const { socket } of server.connections) {
          socket.destroy();
        }
        server.isDark = false;
        server.beat();
      }, forMs);
    }
    await delay(KILL_AFTER_CRASH_MS);
    record(`the entry of ${owner.name}, which owns ${service.name}, is killed`);
    cluster.kill(cluster.find(owner.name, 'entry'), 'SIGKILL');
    setTimeout(() => cluster.startProcess(owner, 'entry', false), RESTART_MS);
  }
  await delay(WATCH_MS);
  isOver = true;
  await Promise.all(sessions);
  record(`${acknowledged.size} writes were acknowledged`);
  return broken;
});
