/** Tasks of the control leader: leases, assignments, and pushing records to entries. */
import {
  assignmentOf,
  createDocumentCache,
  createEntryLeases,
  DOCUMENT_KEY,
  endExpiredLeases,
  endIncarnation,
  endEarlierHoldersAtAddress,
  type EntryLeases,
  type Incarnation,
  type KnownRecords,
  leaseMsOf,
  type LeaseReply,
  type LeaseRenewal,
  type RepeatedRenewal,
  type ShortLeaseReply,
  listAssignments,
  liveEntries,
  mayHolderAct,
  membershipOf,
  renewLease,
  type Resource,
  endExpiredHolders,
  type TimingSettings,
} from '@bramleykeel/core';
import type { LinkPeer, Log } from '@bramleykeel/link';
import type { LogDriver } from '../log-driver.js';
import { assignResource, assignResources } from './assign-resources.js';
import { createRecordsSource, type RecordsSource, recordsUpdateFor } from './packed-records.js';

export interface LeaderService {
  readonly leases: EntryLeases;
  readonly timing: TimingSettings;
  readonly regionOf: (zone: string) => string | undefined;
  /** Regions in which the holder of a resource has to be, if any can. */
  readonly homesOf: (resource: Resource) => readonly string[] | undefined;
  readonly driver: LogDriver;
  readonly log: Log;
  /** Preferred zones of resources, as requested by entries. */
  readonly preferredZones: Map<Resource, string>;
  readonly subscribers: Map<LinkPeer, RecordSubscriber>;
  readonly recordsSource: RecordsSource;
  readonly pendingRenewals: PendingRenewal[];
  /** The last full renewal over each link, and the member addresses that were last reported over it. */
  readonly fullRenewals: WeakMap<LinkPeer, LeaseRenewal>;
  readonly reportedMembers: WeakMap<LinkPeer, string>;
  readonly pendingConfirmations: PendingConfirmation[];
  readonly resourcesBeingAssigned: Set<Resource>;
  /** Epochs of assignments whose holder released the resource before another entry could take it. */
  readonly releasedEpochs: Map<Resource, number>;
  /** Groups that were requested or released as too heavy for narrow instances. */
  readonly heavyGroups: Set<Resource>;
  /** Last renewal of each incarnation, kept until its settings lease has certainly expired. */
  readonly lastRenewals: Map<Incarnation, { atMs: number; settingsRevision: number }>;
  isPushScheduled: boolean;
  isRoundScheduled: boolean;
}

/**
 * Time in which first renewals of entries are gathered before a round is started for them, in milliseconds.
 * An entry without a lease serves nobody, so its renewal does not wait for the next heartbeat.
 */
const FIRST_RENEWAL_GATHERING_MS = 15;

export interface RecordSubscriber {
  readonly incarnation: Incarnation;
  readonly acceptsPacked: boolean;
  knownIndex: number;
  documentIndex: number | undefined;
}

interface PendingRenewal {
  readonly peer: LinkPeer;
  readonly renewal: LeaseRenewal;
  readonly isRepeated: boolean;
  readonly arrivedAtMs: number;
  readonly resolve: (reply: LeaseReply | ShortLeaseReply) => void;
}

interface PendingConfirmation {
  readonly arrivedAtMs: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Creates the service; called when the no-op entry of the leader's new term is committed. */
export function createLeaderService(
  driver: LogDriver,
  timing: TimingSettings,
  regionOf: (zone: string) => string | undefined,
  log: Log,
  homesOf: LeaderService['homesOf'] = () => undefined,
): LeaderService {
  return {
    leases: createEntryLeases(timing, performance.now(), driver.raft.formerLeaderUntilMs),
    timing,
    regionOf,
    homesOf,
    driver,
    log,
    preferredZones: new Map(),
    subscribers: new Map(),
    recordsSource: createRecordsSource(createDocumentCache(driver.control()), driver.control),
    pendingRenewals: [],
    fullRenewals: new WeakMap(),
    reportedMembers: new WeakMap(),
    pendingConfirmations: [],
    resourcesBeingAssigned: new Set(),
    releasedEpochs: new Map(),
    heavyGroups: new Set(),
    lastRenewals: new Map(),
    isPushScheduled: false,
    isRoundScheduled: false,
  };
}

/** Stops the service: pending renewals are answered `not-leader`, and confirmations fail. */
export function stopLeaderService(service: LeaderService): void {
  for (const { resolve } of service.pendingRenewals.splice(0)) {
    resolve({ kind: 'not-leader', leaderId: null });
  }
  for (const { resolve } of service.pendingConfirmations.splice(0)) resolve(false);
}

/** Queues a renewal; it is answered once a quorum confirms a heartbeat round started after it. */
export function queueRenewal(
  service: LeaderService,
  peer: LinkPeer,
  renewal: LeaseRenewal,
  isRepeated = false,
): Promise<LeaseReply | ShortLeaseReply> {
  service.fullRenewals.set(peer, renewal);
  return new Promise((resolve) => {
    const arrivedAtMs = performance.now();
    service.pendingRenewals.push({ peer, renewal, isRepeated, arrivedAtMs, resolve });
    if (!service.leases.leases.has(renewal.incarnation)) scheduleRound(service);
  });
}

/** Queues the renewal that repeats the last full one over the same link, if there is one. */
export function queueRepeatedRenewal(
  service: LeaderService,
  peer: LinkPeer,
  [knownIndex, documentIndex, settingsRevision]: RepeatedRenewal,
): Promise<LeaseReply | ShortLeaseReply> {
  const full = service.fullRenewals.get(peer);
  if (!full) return Promise.resolve({ kind: 'full-renewal-needed' });
  const known = { knownIndex, documentIndex: documentIndex ?? undefined, settingsRevision };
  return queueRenewal(service, peer, { ...full, ...known }, true);
}

function scheduleRound(service: LeaderService): void {
  if (service.isRoundScheduled) return;
  service.isRoundScheduled = true;
  setTimeout(() => {
    service.isRoundScheduled = false;
    service.driver.step({ kind: 'start-round' });
  }, FIRST_RENEWAL_GATHERING_MS);
}

/**
 * Resolves with `true` once a quorum has confirmed that this member still leads, as linearizable reads
 * require, and with `false` when it stops leading.
 */
export function confirmLeadership(service: LeaderService): Promise<boolean> {
  return new Promise((resolve) => {
    service.pendingConfirmations.push({ arrivedAtMs: performance.now(), resolve });
  });
}

/** Answers confirmations and renewals that arrived before the confirmed round started. */
export function handleRoundConfirmed(service: LeaderService, startedAtMs: number): void {
  const confirmations = service.pendingConfirmations;
  while (confirmations[0] && confirmations[0].arrivedAtMs <= startedAtMs)
    confirmations.shift()?.resolve(true);
  const renewals = service.pendingRenewals;
  while (renewals[0] && renewals[0].arrivedAtMs <= startedAtMs) {
    const pending = renewals.shift();
    if (pending) pending.resolve(grantRenewal(service, pending));
  }
}

function grantRenewal(
  service: LeaderService,
  { peer, renewal, isRepeated }: PendingRenewal,
): LeaseReply | ShortLeaseReply {
  const nowMs = performance.now();
  const isFirstRenewal = !service.leases.leases.has(renewal.incarnation);
  const outcome = renewLease(service.leases, renewal, nowMs);
  if (outcome === 'ended') return { kind: 'ended' };
  if (isFirstRenewal) {
    const assignments = listAssignments(service.driver.control());
    if (endEarlierHoldersAtAddress(service.leases, assignments, renewal, nowMs))
      reassignOrphanedResources(service);
  }
  if (renewal.omitsRecords === true)
    return { kind: 'registered', leaseMs: leaseMsOf(service.timing, renewal) };
  const { incarnation, settingsRevision } = renewal;
  service.lastRenewals.set(incarnation, { atMs: nowMs, settingsRevision });
  // Earlier replies may have been lost, so only the indexes reported by the entry are relied on.
  const update = recordsUpdateFor(service.recordsSource, {
    knownIndex: renewal.knownIndex,
    documentIndex: renewal.documentIndex,
  });
  const acceptsPacked = renewal.acceptsPacked === true;
  const known = knownRecordsAfter(service, update.appliedIndex);
  service.subscribers.set(peer, { incarnation, acceptsPacked, ...known });
  const { settingsLeaseMs } = service.timing;
  const leaseMs = leaseMsOf(service.timing, renewal);
  const memberAddresses = Object.values(membershipOf(service.driver.raft)).map(
    ({ address }) => address,
  );
  const isSameMembers = service.reportedMembers.get(peer) === memberAddresses.join();
  service.reportedMembers.set(peer, memberAddresses.join());
  const hasNoNews =
    update.isEmpty &&
    update.appliedIndex === renewal.knownIndex &&
    service.driver.control().settingsRevision === settingsRevision;
  if (isRepeated && isSameMembers && hasNoNews) return [leaseMs, settingsLeaseMs];
  const records = acceptsPacked ? update.packed : update.plain;
  const reply = { kind: 'renewed', leaseMs, settingsLeaseMs, acceptsRepeats: true } as const;
  return isRepeated && isSameMembers
    ? { ...reply, ...records }
    : { ...reply, memberAddresses, ...records };
}

/** The records that an entry knows once it has applied everything up to `knownIndex`. */
function knownRecordsAfter(service: LeaderService, knownIndex: number): KnownRecords {
  const documentIndex = service.driver.control().records.get(DOCUMENT_KEY)?.modifiedIndex;
  return { knownIndex, documentIndex };
}

/** Sends changed records to all subscribers, at most once per turn of the event loop. */
export function schedulePush(service: LeaderService): void {
  if (service.isPushScheduled) return;
  service.isPushScheduled = true;
  setImmediate(() => {
    service.isPushScheduled = false;
    for (const [peer, subscriber] of service.subscribers) pushRecords(service, peer, subscriber);
  });
}

function pushRecords(service: LeaderService, peer: LinkPeer, subscriber: RecordSubscriber): void {
  const { knownIndex, documentIndex, acceptsPacked } = subscriber;
  const update = recordsUpdateFor(service.recordsSource, { knownIndex, documentIndex });
  Object.assign(subscriber, knownRecordsAfter(service, update.appliedIndex));
  if (!update.isEmpty) peer.notify('records/push', acceptsPacked ? update.packed : update.plain);
}

/** Ends expired leases, and reassigns released resources and those of ended holders. */
export function reassignOrphanedResources(service: LeaderService): void {
  const nowMs = performance.now();
  for (const incarnation of endExpiredLeases(service.leases, nowMs)) {
    service.log('entry lease expired', { incarnation });
  }
  const assignments = listAssignments(service.driver.control());
  const orphaned = endExpiredHolders(service.leases, assignments, nowMs);
  const released = assignments.filter(
    ({ resource, epoch }) => service.releasedEpochs.get(resource) === epoch,
  );
  const unassigned = new Set([...orphaned, ...released].map(({ resource }) => resource));
  if (unassigned.size > 0) void assignResources(service, [...unassigned], undefined);
  for (const [incarnation, { atMs }] of service.lastRenewals) {
    if (nowMs - atMs > service.timing.settingsLeaseMs * 4) service.lastRenewals.delete(incarnation);
  }
}

/** A request for a holder of a resource. */
export interface ResourceRequest {
  readonly resource: Resource;
  /** Preferred zone of the holder. */
  readonly zone?: string | undefined;
  /** Whether the resource is a group that is too heavy for narrow instances. */
  readonly isHeavy?: boolean | undefined;
}

/** Assigns a resource unless a holder may act on it; returns whether it has a holder now. */
export async function requestResource(
  service: LeaderService,
  { resource, zone, isHeavy }: ResourceRequest,
): Promise<boolean> {
  if (zone !== undefined) service.preferredZones.set(resource, zone);
  if (isHeavy === true) service.heavyGroups.add(resource);
  const current = assignmentOf(service.driver.control(), resource);
  const isReleased = current && service.releasedEpochs.get(resource) === current.epoch;
  const nowMs = performance.now();
  if (current && !isReleased && mayHolderAct(service.leases, current, nowMs)) {
    return true;
  }
  if (current && !isReleased) endIncarnation(service.leases, current.incarnation, nowMs);
  return assignResource(service, resource, undefined);
}

/** A holder's message that it has stopped acting on a resource. */
export interface ResourceRelease {
  readonly resource: Resource;
  readonly epoch: number;
  readonly incarnation: Incarnation;
  /** Whether the resource is a group that has outgrown the holder's instance. */
  readonly isHeavy?: boolean | undefined;
}

/**
 * Releases a resource whose holder has stopped acting on it, and assigns it to another entry; returns
 * whether that succeeded.
 */
export async function releaseResource(
  service: LeaderService,
  { resource, epoch, incarnation, isHeavy }: ResourceRelease,
): Promise<boolean> {
  const current = assignmentOf(service.driver.control(), resource);
  if (current?.epoch !== epoch || current.incarnation !== incarnation) return false;
  service.releasedEpochs.set(resource, epoch);
  if (isHeavy === true) service.heavyGroups.add(resource);
  return assignResource(service, resource, incarnation);
}

/**
 * Ends an incarnation that is known to be dead or has handed over its resources, and reassigns its
 * resources at once.
 */
export function endEntry(service: LeaderService, incarnation: Incarnation, reason: string): void {
  service.log(`incarnation ${incarnation} has ended: ${reason}`);
  endIncarnation(service.leases, incarnation, performance.now());
  service.lastRenewals.delete(incarnation);
  reassignOrphanedResources(service);
}

/**
 * Returns whether a settings revision is in force everywhere: each entry has confirmed it, or its
 * settings lease has expired and it rejects requests that need a key. A new leader does not know the
 * leases granted before its term, so it first waits until they have expired.
 */
export function isInForce(service: LeaderService, revision: number): boolean {
  const nowMs = performance.now();
  const { settingsLeaseMs, driftMarginMs } = service.timing;
  const settingsLeaseExpiryMs = settingsLeaseMs + driftMarginMs;
  if (nowMs - service.leases.leaderSinceMs < settingsLeaseExpiryMs) return false;
  const renewals = [...service.lastRenewals.values()];
  return !renewals.some(
    ({ atMs, settingsRevision }) =>
      settingsRevision < revision && nowMs - atMs < settingsLeaseExpiryMs,
  );
}

/** Lists live entries with the settings revision that each has confirmed. */
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
