/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return -- plain JavaScript without types */
import { setTimeout as delay } from 'node:timers/promises';
import { configure, openSession, sendToControl, startCluster } from '../stand-in/cluster.mjs';
import {
  addServer,
  announce,
  closeService,
  createConfig,
  createService,
  endDeafness,
  holds,
  startPlatform,
} from '../stand-in/database.mjs';
import { runCase } from '../stand-in/case.mjs';

const ZONES = { 'ub-a': 'ulaanbaatar', 'erd-a': 'erdenet', 'dkh-a': 'darkhan' };
const SESSIONS = 20;
const DRAIN_MS = 7_000;
const PLAY_AFTER_MS = 4_000;
const DEAF_BEFORE_END_MS = 1_000;
const DEAF_MS = 6_000;
const DARK_AFTER_END_MS = 200;
const DARK_MS = 7_000;

await runCase(import.meta.dirname, async ({ record, isTroubled, atEnd }) => {
  const zones = Object.keys(ZONES);
  const machines = zones.flatMap((zone) => [
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
  const servers = [];
  const stopBeats = [];
  for (const [index, zone] of zones.entries()) {
    const id = ['i-primary', 'i-one', 'i-two'][index];
    const server = await addServer(service, id, zone, `${cluster.prefix}.${100 + index}`);
    stopBeats.push(announce(cluster, server));
    atEnd(stopBeats[index]);
    servers.push(server);
  }
  const [primary, deaf, leaving] = servers;
  await configure(cluster, createConfig(7, [service]));

  const broken = [];
  /** Writes of transactions whose COMMIT was answered with success, with the time of the answer. */
  const acknowledged = new Map();
  service.onPromoted = (server) => {
    const lost = [...acknowledged].filter(([id]) => !holds(server, id));
    for (const [id, at] of lost)
      record(
        `write ${id}, acknowledged ${Math.round(performance.now() - at)} ms ago, is not there`,
      );
    if (lost.length > 0)
      broken.push(`LOST: ${server.id} was promoted without ${lost.length} acknowledged writes`);
  };

  let isOver = false;
  let number = 0;
  const runSession = async (index) => {
    const node = cluster.nodes[index % cluster.nodes.length];
    while (!isOver) {
      const session = await openSession(node.front, 'huvo11a-primary', 'key-of-crew');
      while (session?.isClosed() === false && !isOver) {
        const id = `w${(number += 1)}`;
        const answer = await session.query(id, `WRITE item-${index} ${id}`);
        if (answer.isDone) acknowledged.set(id, performance.now());
        await delay(answer.isDone ? 100 + Math.random() * 100 : 300);
      }
      await delay(100);
    }
  };
  const sessions = Array.from({ length: SESSIONS }, (_each, index) => runSession(index));
  await delay(PLAY_AFTER_MS);
  record(`planned: ${leaving.id} announces that it is leaving`);
  leaving.state = 'draining';
  leaving.beat();
  await delay(DRAIN_MS + 500 - DEAF_BEFORE_END_MS);
  if (isTroubled) {
    record(`${deaf.id} receives nothing for ${DEAF_MS} ms`);
    deaf.isDeaf = true;
    setTimeout(() => {
      endDeafness(deaf);
    }, DEAF_MS);
  }
  await delay(DEAF_BEFORE_END_MS);
  record(`${leaving.id} ends, and its log with it`);
  stopBeats[servers.indexOf(leaving)]();
  service.servers.splice(service.servers.indexOf(leaving), 1);
  leaving.isDark = true;
  await sendToControl(cluster, 'DELETE', `/-/instances/${leaving.id}`);
  leaving.listener.close();
  for (const { socket } of leaving.connections) {
    socket.destroy();
  }
  if (isTroubled) {
    await delay(DARK_AFTER_END_MS);
    record(`${primary.id} goes dark for ${DARK_MS} ms`);
    primary.isDark = true;
    setTimeout(() => {
      record(`${primary.id} is back with its log`);
      for (const { socket } of primary.connections) {
        socket.destroy();
      }
      primary.isDark = false;
      primary.beat();
    }, DARK_MS);
  }
  await delay(DARK_MS + 1_000);
  isOver = true;
  await Promise.all(sessions);
  record(`${acknowledged.size} writes were acknowledged`);
  return broken;
});
