/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return -- plain JavaScript without types */
import { setTimeout as delay } from 'node:timers/promises';
import { configure, openSession, startCluster } from '../stand-in/cluster.mjs';
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
const RELEASE_AFTER_MS = 6_000;
const DEAF_AFTER_RELEASE_MS = 200;
const DEAF_MS = 6_000;

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
  for (const [index, zone] of zones.entries()) {
    const id = ['i-primary', 'i-one', 'i-two'][index];
    const server = await addServer(service, id, zone, `${cluster.prefix}.${100 + index}`);
    atEnd(announce(cluster, server));
    servers.push(server);
  }
  const [former, deaf] = servers;
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
        const name = `t${(number += 1)}`;
        const pause = () => delay(50 + Math.random() * 350);
        await session.query(`${name}-b`, 'BEGIN');
        const first = await session.query(`${name}-w`, `WRITE item-${index} ${name}`);
        if (!first.isDone) {
          await session.query(`${name}-r`, 'ROLLBACK');
          await delay(200);
          continue;
        }
        await pause();
        await session.query(`${name}-v`, `READ item-${index}`);
        await pause();
        const commit = await session.query(`${name}-c`, 'COMMIT');
        if (commit.isDone) acknowledged.set(`${name}-w`, performance.now());
        record(`${name} COMMIT: ${commit.isDone ? 'acknowledged' : commit.text}`);
      }
      await delay(100);
    }
  };
  const sessions = Array.from({ length: SESSIONS }, (_each, index) => runSession(index));
  await delay(RELEASE_AFTER_MS);
  record(`planned: ${former.id} announces that it is leaving`);
  former.state = 'draining';
  former.beat();
  await delay(DEAF_AFTER_RELEASE_MS);
  if (isTroubled) {
    record(`${deaf.id} receives nothing for ${DEAF_MS} ms`);
    deaf.isDeaf = true;
    setTimeout(() => {
      endDeafness(deaf);
    }, DEAF_MS);
  }
  await delay(DEAF_MS + 1_000);
  isOver = true;
  await Promise.all(sessions);
  record(`${acknowledged.size} transactions were acknowledged`);
  return broken;
});
