/** Slopes of control at size: real control members, and light watchers that speak the real protocol. */
import { timingSchema } from '@bramleykeel/core';
import { applySettings, callAnyMember, type Cluster } from '@bramleykeel/dev-launcher';
import { type ControlClient, startControlClient } from '@bramleykeel/entry';
import { benchStatus, delay, pidOf, withCluster } from './bench-cluster.js';
import { cpuPercent, readUsage } from './process-usage.js';

const WATCHER_COUNTS = [50, 150, 300, 570];
const SETTLE_MS = 2_000;
const CHANGES = 20;

/** Cost of the leader and of each watcher by the number of watchers, and the time to be in force. */
export function measureControl(durationMs: number) {
  return withCluster({ entryCount: 0, groups: [], customers: [] }, async (cluster) => {
    await fillSettings(cluster);
    const rows = [];
    const watchers: ControlClient[] = [];
    for (const count of WATCHER_COUNTS) {
      while (watchers.length < count) watchers.push(startWatcher(cluster, watchers.length));
      await delay(SETTLE_MS);
      const { leader } = (await benchStatus(cluster)).control;
      rows.push(await measureCount(cluster, leader, watchers, durationMs));
    }
    for (const watcher of watchers) watcher.close();
    return rows;
  });
}

/** As many records as at the target size: 710 groups with an owner would come on top of these. */
async function fillSettings(cluster: Cluster): Promise<void> {
  const rate = { ratePerSecond: 100, burst: 100, readAgeAllowanceMs: null };
  for (let batch = 0; batch < 2; batch += 1) {
    const changes = Array.from({ length: 355 }, (_, index) => ({
      path: `customers/c${batch * 355 + index}`,
      value: rate,
    }));
    await applySettings(cluster.plan, changes);
  }
}

/** A daemon's own client of control, without the rest of the daemon. */
function startWatcher(cluster: Cluster, number: number): ControlClient {
  const options = {
    entryId: `watcher-${number}`,
    zone: 'zone-a',
    linkAddress: `127.0.0.1:${number + 1}`,
    linkSecret: cluster.plan.linkSecret,
    timing: timingSchema.parse({}),
    memberAddresses: () => cluster.plan.control.map(({ linkAddress }) => linkAddress),
  };
  return startControlClient(options, () => undefined, {
    onRecords: () => undefined,
    onStatusRequest: () => null,
    onLeaseEnded: () => undefined,
  });
}

async function measureCount(
  cluster: Cluster,
  leader: string,
  watchers: readonly ControlClient[],
  durationMs: number,
) {
  const pid = pidOf(cluster, leader);
  const traffic = () =>
    watchers.reduce((sum, watcher) => {
      const { receivedBytes, sentBytes } = watcher.traffic();
      return sum + receivedBytes + sentBytes;
    }, 0);
  const before = { usage: readUsage(pid), bytes: traffic(), atMs: performance.now() };
  await delay(durationMs);
  const elapsedMs = performance.now() - before.atMs;
  const usage = readUsage(pid);
  const bytesPerSecond = ((traffic() - before.bytes) / elapsedMs) * 1_000;
  const inForceMs: number[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    inForceMs.push(await timeToBeInForce(cluster, watchers));
  }
  inForceMs.sort((left, right) => left - right);
  return {
    watchers: watchers.length,
    leaderCpuPercent: round(cpuPercent(before.usage, usage, elapsedMs)),
    leaderResidentMb: round(usage.residentBytes / 1_048_576),
    bytesPerSecondPerWatcher: Math.round(bytesPerSecond / watchers.length),
    inForceMedianMs: inForceMs[Math.floor(inForceMs.length / 2)],
    inForceMaxMs: inForceMs.at(-1),
  };
}

/** From sending a change until every watcher has confirmed it to control. */
async function timeToBeInForce(
  cluster: Cluster,
  watchers: readonly ControlClient[],
): Promise<number> {
  const startMs = performance.now();
  const value = { ratePerSecond: 1 + Math.random(), burst: 100, readAgeAllowanceMs: null };
  const revision = await applySettings(cluster.plan, [{ path: 'customers/c0', value }]);
  while (watchers.some((watcher) => watcher.settingsRevision() < revision)) await delay(1);
  await callAnyMember(cluster.plan, 'settings/await', { revision, timeoutMs: 20_000 });
  return Math.round(performance.now() - startMs);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
