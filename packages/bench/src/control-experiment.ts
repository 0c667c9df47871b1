/** Slopes of control at size: real control members, and light watchers that speak the real protocol. */
import { randomUUID } from 'node:crypto';
import type { LeaseReply, RecordsPush } from '@bramleykeel/core';
import { applySettings, callAnyMember, type Cluster } from '@bramleykeel/dev-launcher';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  type LinkClient,
} from '@bramleykeel/link';
import { benchStatus, delay, pidOf, withCluster } from './bench-cluster.js';
import { cpuPercent, readUsage } from './process-usage.js';

const WATCHER_COUNTS = [50, 150, 300, 570];
const RENEW_EVERY_MS = 300;
const SETTLE_MS = 2_000;
const CHANGES = 20;

interface Watcher {
  readonly link: LinkClient;
  readonly timer: NodeJS.Timeout;
  knownIndex: number;
  settingsRevision: number;
  receivedBytes: number;
  sentBytes: number;
}

/** Cost of the leader and of each watcher by the number of watchers, and the time to be in force. */
export function measureControl(durationMs: number) {
  return withCluster({ entryCount: 0, groups: [], customers: [] }, async (cluster) => {
    await fillSettings(cluster);
    const rows = [];
    const watchers: Watcher[] = [];
    for (const count of WATCHER_COUNTS) {
      const { leader } = (await benchStatus(cluster)).control;
      const address = cluster.plan.control.find(({ id }) => id === leader)?.linkAddress ?? '';
      while (watchers.length < count) {
        watchers.push(startWatcher(address, cluster.plan.linkSecret, watchers.length));
      }
      await delay(SETTLE_MS);
      rows.push(await measureCount(cluster, leader, watchers, durationMs));
    }
    for (const { link, timer } of watchers) {
      clearInterval(timer);
      link.stop();
    }
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

function startWatcher(address: string, secret: string, number: number): Watcher {
  const incarnation = randomUUID();
  const options = { secret, ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT };
  const link = keepLink(address, options, {
    onRequest: () => null,
    onNotify: (_peer, _method, params) => {
      take(params as RecordsPush);
      void renew();
    },
    onOpen: () => void renew(),
  });
  const timer = setInterval(() => void renew(), RENEW_EVERY_MS);
  const watcher: Watcher = {
    link,
    timer,
    knownIndex: 0,
    settingsRevision: 0,
    receivedBytes: 0,
    sentBytes: 0,
  };
  return watcher;

  function take(push: RecordsPush): void {
    watcher.knownIndex = Math.max(watcher.knownIndex, push.appliedIndex);
    watcher.settingsRevision = Math.max(watcher.settingsRevision, push.settingsRevision);
  }

  async function renew(): Promise<void> {
    const peer = link.current();
    if (!peer) return;
    const { knownIndex, settingsRevision } = watcher;
    const renewal = {
      entryId: `watcher-${number}`,
      incarnation,
      linkAddress: `127.0.0.1:${number + 1}`,
      zone: 'zone-a',
      isStopping: false,
      knownIndex,
      settingsRevision,
    };
    const answer = await peer.request('lease/renew', renewal, 2_000);
    answer.ifRight((reply) => {
      if ((reply as LeaseReply).kind === 'renewed') take(reply as RecordsPush);
    });
    const { receivedBytes, sentBytes } = peer.traffic();
    watcher.receivedBytes = receivedBytes;
    watcher.sentBytes = sentBytes;
  }
}

async function measureCount(
  cluster: Cluster,
  leader: string,
  watchers: readonly Watcher[],
  durationMs: number,
) {
  const pid = pidOf(cluster, leader);
  const traffic = () =>
    watchers.reduce((sum, each) => sum + each.receivedBytes + each.sentBytes, 0);
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
async function timeToBeInForce(cluster: Cluster, watchers: readonly Watcher[]): Promise<number> {
  const startMs = performance.now();
  const value = { ratePerSecond: 1 + Math.random(), burst: 100, readAgeAllowanceMs: null };
  const revision = await applySettings(cluster.plan, [{ path: 'customers/c0', value }]);
  while (watchers.some(({ settingsRevision }) => settingsRevision < revision)) await delay(1);
  await callAnyMember(cluster.plan, 'settings/await', { revision, timeoutMs: 20_000 });
  return Math.round(performance.now() - startMs);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
