/** What only the control leader does: leases, assignments, and pushing records to entries. */
import {
  assignmentOf,
  createDocumentCache,
  createEntryLeases,
  createRecordsPush,
  DOCUMENT_KEY,
  type DocumentCache,
  endExpiredLeases,
  endIncarnation,
  endPredecessors,
  type EntryLeases,
  type Incarnation,
  type KnownRecords,
  type LeaseReply,
  type LeaseRenewal,
  listAssignments,
  liveEntries,
  mayHolderAct,
  membershipOf,
  type RecordsPush,
  renewLease,
  type Resource,
  endExpiredHolders,
  type TimingSettings,
} from '@bramleykeel/core';
import type { LinkPeer, Log } from '@bramleykeel/link';
import type { LogDriver } from '../log-driver.js';
import { assign, assignAll } from './assign-resources.js';

export interface LeaderService {
  readonly leases: EntryLeases;
  readonly timing: TimingSettings;
  readonly regionOf: (zone: string) => string | undefined;
  readonly driver: LogDriver;
  readonly log: Log;
  /** Zones that resources are wanted in, as far as entries have said. */
  readonly zoneWishes: Map<Resource, string>;
  readonly watchers: Map<LinkPeer, Watcher>;
  readonly documents: DocumentCache;
  readonly waitingRenewals: WaitingRenewal[];
  readonly waitingRounds: WaitingRound[];
  readonly assigning: Set<Resource>;
  /** Holders that gave a resource back while no other entry could take it. */
  readonly released: Map<Resource, number>;
  /** Time of each incarnation's last renewal, kept until its settings lease is over for sure. */
  readonly renewedAtMs: Map<Incarnation, { atMs: number; settingsRevision: number }>;
  isPushScheduled: boolean;
}

export interface Watcher {
  readonly incarnation: Incarnation;
  knownIndex: number;
  documentIndex: number | undefined;
}

interface WaitingRenewal {
  readonly peer: LinkPeer;
  readonly renewal: LeaseRenewal;
  readonly arrivedAtMs: number;
  readonly resolve: (reply: LeaseReply) => void;
}

interface WaitingRound {
  readonly sinceMs: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Created when the no-op that opens the leader's term is committed. */
export function createLeaderService(
  driver: LogDriver,
  timing: TimingSettings,
  regionOf: (zone: string) => string | undefined,
  log: Log,
): LeaderService {
  return {
    leases: createEntryLeases(timing, performance.now(), driver.raft.formerLeaderUntilMs),
    timing,
    regionOf,
    driver,
    log,
    zoneWishes: new Map(),
    watchers: new Map(),
    documents: createDocumentCache(driver.control()),
    waitingRenewals: [],
    waitingRounds: [],
    assigning: new Set(),
    released: new Map(),
    renewedAtMs: new Map(),
    isPushScheduled: false,
  };
}

/** Ends the service: everything that waits for this leader is told to look for another one. */
export function stopLeaderService(service: LeaderService): void {
  for (const { resolve } of service.waitingRenewals.splice(0)) {
    resolve({ kind: 'not-leader', leaderId: null });
  }
  for (const { resolve } of service.waitingRounds.splice(0)) resolve(false);
}

/** Takes a renewal; it is answered once a round that started after it was confirmed by a quorum. */
export function takeRenewal(
  service: LeaderService,
  peer: LinkPeer,
  renewal: LeaseRenewal,
): Promise<LeaseReply> {
  return new Promise((resolve) => {
    const arrivedAtMs = performance.now();
    service.waitingRenewals.push({ peer, renewal, arrivedAtMs, resolve });
  });
}

/** Waits until a quorum has confirmed that this member still leads: for reads of the newest state. */
export function awaitRound(service: LeaderService): Promise<boolean> {
  return new Promise((resolve) => {
    service.waitingRounds.push({ sinceMs: performance.now(), resolve });
  });
}

/** Answers what arrived before the confirmed round started. */
export function handleRoundConfirmed(service: LeaderService, startedAtMs: number): void {
  const rounds = service.waitingRounds;
  while (rounds[0] && rounds[0].sinceMs <= startedAtMs) rounds.shift()?.resolve(true);
  const renewals = service.waitingRenewals;
  while (renewals[0] && renewals[0].arrivedAtMs <= startedAtMs) {
    const waiting = renewals.shift();
    if (waiting) waiting.resolve(grantRenewal(service, waiting));
  }
}

function grantRenewal(service: LeaderService, { peer, renewal }: WaitingRenewal): LeaseReply {
  const nowMs = performance.now();
  const outcome = renewLease(service.leases, renewal, nowMs);
  if (outcome === 'ended') return { kind: 'ended' };
  const assignments = listAssignments(service.driver.control());
  if (endPredecessors(service.leases, assignments, renewal)) reassignOrphans(service);
  const { incarnation, settingsRevision } = renewal;
  service.renewedAtMs.set(incarnation, { atMs: nowMs, settingsRevision });
  // What an earlier reply held may never have arrived, so only the entry's own word counts here.
  const push = pushFor(service, renewal);
  service.watchers.set(peer, { incarnation, ...knownAfter(service, push.appliedIndex) });
  const { leaseMs, settingsLeaseMs } = service.timing;
  const memberAddresses = Object.values(membershipOf(service.driver.raft)).map(
    ({ address }) => address,
  );
  return { kind: 'renewed', leaseMs, settingsLeaseMs, memberAddresses, ...push };
}

function pushFor(
  service: LeaderService,
  { knownIndex, documentIndex }: Pick<LeaseRenewal, 'knownIndex' | 'documentIndex'>,
): RecordsPush {
  return createRecordsPush(service.documents, service.driver.control(), {
    knownIndex,
    documentIndex,
  });
}

/** What an entry has once it has taken in everything up to `knownIndex`. */
function knownAfter(service: LeaderService, knownIndex: number): KnownRecords {
  const documentIndex = service.driver.control().records.get(DOCUMENT_KEY)?.modifiedIndex;
  return { knownIndex, documentIndex };
}

/** Sends changed records to all watchers, once per turn of the event loop. */
export function schedulePush(service: LeaderService): void {
  if (service.isPushScheduled) return;
  service.isPushScheduled = true;
  setImmediate(() => {
    service.isPushScheduled = false;
    for (const [peer, watcher] of service.watchers) pushTo(service, peer, watcher);
  });
}

function pushTo(service: LeaderService, peer: LinkPeer, watcher: Watcher): void {
  const push = pushFor(service, watcher);
  Object.assign(watcher, knownAfter(service, push.appliedIndex));
  if (push.deltas.length > 0 || push.documentChange) peer.notify('records/push', push);
}

/** Ends expired leases and gives the resources of ended holders to other entries. */
export function reassignOrphans(service: LeaderService): void {
  const nowMs = performance.now();
  for (const incarnation of endExpiredLeases(service.leases, nowMs)) {
    service.log('the lease of an entry has expired', { incarnation });
  }
  const assignments = listAssignments(service.driver.control());
  const orphans = endExpiredHolders(service.leases, assignments, nowMs);
  const released = assignments.filter(
    ({ resource, epoch }) => service.released.get(resource) === epoch,
  );
  const homeless = new Set([...orphans, ...released].map(({ resource }) => resource));
  if (homeless.size > 0) void assignAll(service, [...homeless], undefined);
  for (const [incarnation, { atMs }] of service.renewedAtMs) {
    if (nowMs - atMs > service.timing.settingsLeaseMs * 4) service.renewedAtMs.delete(incarnation);
  }
}

/** Makes sure that a resource has a holder; returns whether it has one now. */
export async function requestResource(
  service: LeaderService,
  resource: Resource,
  zone: string | undefined,
): Promise<boolean> {
  if (zone !== undefined) service.zoneWishes.set(resource, zone);
  const current = assignmentOf(service.driver.control(), resource);
  const isReleased = current && service.released.get(resource) === current.epoch;
  if (current && !isReleased && mayHolderAct(service.leases, current, performance.now())) {
    return true;
  }
  if (current && !isReleased) endIncarnation(service.leases, current.incarnation);
  return assign(service, resource, undefined);
}

/** A holder gives a resource back after it has stopped acting on it; another entry takes over. */
export async function releaseResource(
  service: LeaderService,
  resource: Resource,
  epoch: number,
  incarnation: Incarnation,
): Promise<boolean> {
  const current = assignmentOf(service.driver.control(), resource);
  if (current?.epoch !== epoch || current.incarnation !== incarnation) return false;
  service.released.set(resource, epoch);
  return assign(service, resource, incarnation);
}

/** Ends an incarnation that is proven dead, or has handed everything over, and reassigns at once. */
export function endEntry(service: LeaderService, incarnation: Incarnation, why: string): void {
  service.log(`incarnation ${incarnation} has ended: ${why}`);
  endIncarnation(service.leases, incarnation);
  service.renewedAtMs.delete(incarnation);
  reassignOrphans(service);
}

/**
 * Tells whether a settings revision is in force everywhere: each entry has confirmed it, or its
 * settings lease is over and it refuses keyed work. A new leader waits for leases it cannot know.
 */
export function isInForce(service: LeaderService, revision: number): boolean {
  const nowMs = performance.now();
  const { settingsLeaseMs, driftMarginMs } = service.timing;
  const lapseMs = settingsLeaseMs + driftMarginMs;
  if (nowMs - service.leases.leaderSinceMs < lapseMs) return false;
  const confirmed = [...service.renewedAtMs.values()];
  return !confirmed.some(
    ({ atMs, settingsRevision }) => settingsRevision < revision && nowMs - atMs < lapseMs,
  );
}

/** Live entries with the settings revision that each has confirmed. */
export function describeEntries(service: LeaderService) {
  return liveEntries(service.leases, performance.now()).map((lease) => ({
    entryId: lease.entryId,
    incarnation: lease.incarnation,
    zone: lease.zone,
    linkAddress: lease.linkAddress,
    settingsRevision: lease.settingsRevision,
    isStopping: lease.isStopping,
  }));
}
