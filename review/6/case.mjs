/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return -- plain JavaScript without types */
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

const ZONES = { 'ub-a': 'ulaanbaatar', 'erd-a': 'erdenet', 'dkh-a': 'darkhan' };
/** One way, in milliseconds. */
const IN_ZONE_MS = 0.1;
const BETWEEN_REGIONS_MS = 12;
const SESSIONS = 40;
/** A release replaces one server after the other, this long apart. */
const RELEASE_AFTER_MS = 6_000;
const RELEASE_GAP_MS = 1_000;
/** From the start of the primary's replacement to the crash. */
const LOSS_AFTER_JOIN_MS = 600;
const RESTART_MS = 500;
const PRIMARY_DARK_MS = 7_000;
const REPLICA_DARK_MS = 4_700;
const WATCH_MS = 14_000;

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
  let hostCount = 100;
  const start = async (id, zone, receiveMs) => {
    const server = await addServer(service, id, zone, `${cluster.prefix}.${hostCount}`, {
      receiveMs,
    });
    hostCount += 1;
    atEnd(announce(cluster, server));
    return server;
  };
  const primary = await start('i-primary', 'ub-a', IN_ZONE_MS);
  await start('i-erd', 'erd-a', BETWEEN_REGIONS_MS);
  const former = await start('i-dkh', 'dkh-a', BETWEEN_REGIONS_MS);
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

  await delay(RELEASE_AFTER_MS);
  record('release: the replacement of i-dkh starts, and i-dkh drains');
  await start('i-dkh-new', 'dkh-a', BETWEEN_REGIONS_MS);
  former.state = 'draining';
  former.beat();
  await delay(RELEASE_GAP_MS);
  record('release: the replacement of i-primary starts');
  const joined = await start('i-primary-new', 'ub-a', IN_ZONE_MS);
  await delay(LOSS_AFTER_JOIN_MS);
  if (isTroubled) {
    for (const { server, forMs } of [
      { server: primary, forMs: PRIMARY_DARK_MS },
      { server: joined, forMs: REPLICA_DARK_MS },
    ]) {
      record(`${server.id} goes dark for ${forMs} ms`);
      server.isDark = true;
      setTimeout(() => {
        record(`${server.id} is back with its log`);
        for (const { socket } of server.connections) socket.destroy();
        server.isDark = false;
        server.beat();
      }, forMs);
    }
    record(`all processes of the system are killed, to be started again after ${RESTART_MS} ms`);
    for (const entry of cluster.processes) cluster.kill(entry, 'SIGKILL');
    await delay(RESTART_MS);
    record('all processes of the system are started again, with their disks');
    for (const node of cluster.core) cluster.startProcess(node, 'control', false);
    for (const node of cluster.nodes) cluster.startProcess(node, 'entry', false);
  } else {
    record('release: i-primary drains');
    primary.state = 'draining';
    primary.beat();
  }
  await delay(WATCH_MS);
  isOver = true;
  await Promise.all(sessions);
  record(`${acknowledged.size} writes were acknowledged`);
  return broken;
});
