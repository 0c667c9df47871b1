/**
 * Cost of the control service by the number of connected daemons. The control members are real; the
 * daemons are watchers that run only a daemon's control client.
 */
import { timingSchema } from '@bramleykeel/core';
import { applySettings, callAnyMember, type Cluster } from '@bramleykeel/dev-launcher';
import { type ControlClient, startControlClient } from '@bramleykeel/entry';
import { fetchStatus, delay, processIdOf, withCluster } from './bench-cluster.js';
import { cpuPercent, readUsage } from './process-usage.js';

const WATCHER_COUNTS = [50, 150, 300, 570];
const SETTLE_TIME_MS = 2_000;
const MEASURED_CHANGES = 20;

/** Measures the leader's load, the traffic per watcher and the time until changes are in force. */
export function measureControl(durationMs: number) {
  return withCluster({ entryCount: 0, groups: [], customers: [] }, async (cluster) => {
    await createCustomerRecords(cluster);
    const rows = [];
    const watchers: ControlClient[] = [];
    for (const count of WATCHER_COUNTS) {
      while (watchers.length < count) watchers.push(startWatcher(cluster, watchers.length));
      await delay(SETTLE_TIME_MS);
      const { leader } = (await fetchStatus(cluster)).control;
      rows.push(await measureWithWatchers(cluster, leader, watchers, durationMs));
    }
    for (const watcher of watchers) watcher.close();
    return rows;
  });
}

/**
 * Creates 710 customer records, as many as at the target size. The records of the 710 groups with an
 * owner would come on top of these; they are not created.
 */
async function createCustomerRecords(cluster: Cluster): Promise<void> {
  const limits = { ratePerSecond: 100, burst: 100, readAgeAllowanceMs: null };
  for (let batch = 0; batch < 2; batch += 1) {
    const changes = Array.from({ length: 355 }, (_, index) => ({
      path: `customers/c${batch * 355 + index}`,
      value: limits,
    }));
    await applySettings(cluster.plan, changes);
  }
}

/** Starts a daemon's control client without the rest of the daemon. */
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

async function measureWithWatchers(
  cluster: Cluster,
  leader: string,
  watchers: readonly ControlClient[],
  durationMs: number,
) {
  const pid = processIdOf(cluster, leader);
  const sumTrafficBytes = () =>
    watchers.reduce((sum, watcher) => {
      const { receivedBytes, sentBytes } = watcher.traffic();
      return sum + receivedBytes + sentBytes;
    }, 0);
  const before = { usage: readUsage(pid), bytes: sumTrafficBytes(), atMs: performance.now() };
  await delay(durationMs);
  const elapsedMs = performance.now() - before.atMs;
  const usage = readUsage(pid);
  const bytesPerSecond = ((sumTrafficBytes() - before.bytes) / elapsedMs) * 1_000;
  const inForceMs: number[] = [];
  for (let change = 0; change < MEASURED_CHANGES; change += 1) {
    inForceMs.push(await measureTimeInForceMs(cluster, watchers));
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

/** Time from sending a change until every watcher has confirmed it to control. */
async function measureTimeInForceMs(
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
