/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands -- plain JavaScript without types */
import { setTimeout as delay } from 'node:timers/promises';
import { configure, openSession, send, startCluster } from '../stand-in/cluster.mjs';
import {
  addServer,
  announce,
  closeService,
  createConfig,
  createService,
  startPlatform,
} from '../stand-in/database.mjs';
import { runCase } from '../stand-in/case.mjs';

const ZONES = { 'ub-a': 'ulaanbaatar', 'erd-a': 'erdenet', 'dkh-a': 'darkhan' };
const HEARTBEAT_MS = 1_200;
const PLAY_MS = 30_000;
const RESTART_MS = 1_000;

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
  for (const [index, zone] of zones.entries()) {
    const server = await addServer(service, `i-${zone}`, zone, `${cluster.prefix}.${100 + index}`);
    atEnd(announce(cluster, server));
  }
  await configure(cluster, createConfig(7, [service]));
  const ends = new Map();
  cluster.onOwnEnd = ({ node, role }) => {
    const key = `${node.name}/${role}`;
    ends.set(key, (ends.get(key) ?? 0) + 1);
    // The platform starts a process that has ended again after a short delay.
    setTimeout(() => cluster.startProcess(node, role, false), RESTART_MS);
  };

  // Another writer: what it sends names no service of the configuration, and a line break came into it.
  const foreign = {
    Service: 'no\nsuch',
    Addr: `${cluster.prefix}.120:9`,
    Zone: 'ub-a',
    Version: 'v1',
    Slots: 5,
    State: 'ready',
    ColdLeftMs: 0,
    DbRole: 'primary',
    born: Date.now(),
  };
  const endMs = performance.now() + PLAY_MS;
  const counts = { done: 0, other: 0 };
  const callers = (async () => {
    for (let number = 0; performance.now() < endMs; number += 1) {
      const node = cluster.nodes[number % cluster.nodes.length];
      const session = await openSession(node.front, 'huvo11a-primary', 'key-of-crew');
      const answer = await session?.query(`r${number}`, 'READ a');
      counts[answer?.isDone ? 'done' : 'other'] += 1;
      session?.close();
      await delay(50);
    }
  })();
  for (let next = 0; performance.now() < endMs; next += 1) {
    if (isTroubled) {
      const node = cluster.core[next % cluster.core.length];
      const body = { ...foreign, Seq: next };
      const { status } = await send(node.control, 'PUT', '/-/instances/i-other', body);
      record(`heartbeat of another writer to ${node.name}: ${status === 0 ? 'no answer' : status}`);
    }
    await delay(HEARTBEAT_MS);
  }
  await callers;
  record(`reads: ${counts.done} answered, ${counts.other} refused or not answered`);
  const affected = [...ends].filter(([, count]) => count >= 3);
  for (const [name, count] of ends) record(`${name} ended by itself ${count} times`);
  if (affected.length < cluster.core.length / 2) return [];
  return [`Fault: ${affected.length} of ${cluster.core.length} core machines ended three times`];
});
