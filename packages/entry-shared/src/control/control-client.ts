/** An entry's client of control: keeps a copy of the control records, renews the lease and calls the leader. */
import { randomUUID } from 'node:crypto';
import {
  type Assignment,
  assignmentOf,
  type CarriedRecords,
  DOCUMENT_KEY,
  type FormerHolder,
  toEntryId,
  toIncarnation,
  type Incarnation,
  type LeaseRenewal,
  type LeaseReply,
  type RecordDelta,
  type RecordsPush,
  type RepeatedRenewal,
  type Resource,
  type ShortLeaseReply,
  type StoredRecord,
  type TimingSettings,
} from '@bramleykeel/core';
import {
  createSuspensionDetector,
  type LinkError,
  type LinkPeer,
  type Log,
  unpackValue,
} from '@bramleykeel/link';
import { type Either, Left } from 'purify-ts';
import { match } from 'ts-pattern';
import { type ControlLinks, createControlLinks } from './control-links.js';
import { applyPush, createRecordCopy, documentIndexOf } from './record-copy.js';

export interface ControlClient {
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly settingsRevision: () => number;
  readonly incarnation: () => Incarnation;
  /** Whether the entry holds an unexpired lease. */
  readonly holdsLease: () => boolean;
  /** Whether the settings are recent enough to check customers' keys against. */
  readonly hasFreshSettings: () => boolean;
  /** The epoch under which this entry holds a resource; `undefined` if it does not hold it. */
  readonly heldEpoch: (resource: Resource) => number | undefined;
  /**
   * For how long the former holder of a resource that this entry holds has certainly ended, in milliseconds;
   * 0 if that is unknown.
   */
  readonly formerHolderEndedForMs: (resource: Resource) => number;
  /** What is known about the former holder of a resource that this entry holds; `undefined` if it holds none. */
  readonly formerHolder: (resource: Resource) => FormerHolder | undefined;
  /** Sends a request to the control leader, or to another connected member while there is no link to the leader. */
  readonly call: (method: string, params: unknown) => Promise<Either<LinkError, unknown>>;
  /** Bytes exchanged with control over the links that are open now. */
  readonly traffic: () => { readonly receivedBytes: number; readonly sentBytes: number };
  /** Reports to control, in this and all later renewals, that the entry is stopping. */
  readonly startStopping: () => void;
  readonly close: () => void;
}

export interface ControlClientOptions {
  readonly entryId: string;
  /** Address at which other entries connect to this one. */
  readonly linkAddress: string;
  readonly zone: string;
  readonly linkMbps?: number;
  /** Whether a control member runs on the same instance. */
  readonly isBesideControl?: boolean;
  readonly linkSecret: string;
  readonly timing: TimingSettings;
  /** Link addresses of control members from the settings file; control reports further ones. */
  readonly memberAddresses: () => readonly string[];
}

/** Method names of questions about decisions. */
export type ExplainPart = 'explain/choice' | 'explain/rate';

export interface ControlClientHooks {
  readonly onRecords: (deltas: readonly RecordDelta[]) => void;
  readonly onStatusRequest: () => unknown;
  /** Answers a question of control about a decision of this entry; `undefined` if it cannot. */
  readonly onExplainRequest?: (part: ExplainPart, params: unknown) => unknown;
  /** The instance may have been suspended: time measurements taken before this call are invalid. */
  readonly onSuspension?: () => void;
  /** The lease was lost; everything held under it must be dropped. */
  readonly onLeaseEnded: () => void;
}

/** Delay before the next renewal while the entry holds no lease. */
const NO_LEASE_RETRY_DELAY_MS = 100;
/** Delay before a renewal that was requested while another one was in progress. */
const QUEUED_RENEWAL_DELAY_MS = 10;
const CALL_TIMEOUT_MS = 2_000;
/** A leader that does not answer within this time may be suspended, so the other members are asked too. */
const RENEW_TIMEOUT_MS = 350;
/**
 * The first reply carries all records, about 25 KB at 80 customers. Transferring them over a 2 Mbit/s link between
 * regions takes a third of a second.
 */
const FIRST_RENEW_TIMEOUT_MS = 1_500;
/** Longer than a member waits for what the leader has committed, and shorter than a caller waits for its session. */
const FIRST_COPY_TIMEOUT_MS = 1_000;

/** Connects to control and renews the lease until closed. */
export function startControlClient(
  options: ControlClientOptions,
  log: Log,
  hooks: ControlClientHooks,
): ControlClient {
  const copy = createRecordCopy();
  const { records } = copy;
  const { timing } = options;
  const suspensionDetector = createSuspensionDetector();
  /** When the present assignment of each resource of this entry arrived. */
  const assignedAtMs = new Map<Resource, number>();
  /** The full renewal that each member has, without what the entry knows. */
  const renewalsAt = new WeakMap<LinkPeer, string>();
  let reportedAddresses: readonly string[] = [];
  let leaderAddress: string | undefined;
  let incarnation = createIncarnation();
  let incarnationSinceMs = performance.now();
  let settingsRevision = 0;
  let leaseUntilMs = Number.NEGATIVE_INFINITY;
  let settingsUntilMs = Number.NEGATIVE_INFINITY;
  let renewalsValidFromMs = Number.NEGATIVE_INFINITY;
  let isStopping = false;
  let isRenewing = false;
  let isRenewalQueued = false;
  let isClosed = false;
  /** Whether the first copy of the records is being read, so that renewals leave them out. */
  let isReadingCopy = false;
  /** The first copy until the leader has confirmed it: the member that sent it may have been cut off. */
  let unconfirmedCopy: RecordsPush | undefined;
  const links: ControlLinks = createControlLinks(options.linkSecret, {
    onRequest: (_peer, method, params) => {
      if (method === 'status/get') return hooks.onStatusRequest();
      if (method === 'explain/choice' || method === 'explain/rate')
        return hooks.onExplainRequest?.(method, params);
      throw new Error(`unknown method ${method}`);
    },
    onNotify: (_peer, method, params) => {
      if (method === 'records/push') handlePush(unpackRecords(params as CarriedRecords));
    },
    onOpen: (peer) => {
      void readFirstCopy(peer);
      void renew();
    },
  });
  updateMemberLinks();
  const timer = setInterval(() => void renew(), timing.renewEveryMs);

  return {
    records,
    settingsRevision: () => settingsRevision,
    incarnation: () => incarnation,
    holdsLease,
    hasFreshSettings: () => !checkForSuspension() && performance.now() < settingsUntilMs,
    heldEpoch: (resource) => {
      const assignment = assignmentOf({ records }, resource);
      return isHeld(assignment) ? assignment?.epoch : undefined;
    },
    formerHolderEndedForMs,
    formerHolder: (resource) => {
      const assignment = assignmentOf({ records }, resource);
      if (!assignment || !isHeld(assignment)) return undefined;
      const { epoch, isHandedOver = false } = assignment;
      return {
        epoch,
        heldForMs: heldForMs(resource),
        endedForMs: formerHolderEndedForMs(resource),
        hasReleased: isHandedOver,
      };
    },
    call: (method, params) => {
      const peer = leaderPeer() ?? links.openPeers()[0];
      if (!peer) return Promise.resolve(Left({ kind: 'not-sent' }));
      return peer.request(method, params, CALL_TIMEOUT_MS);
    },
    traffic: () => {
      const trafficPerLink = links.openPeers().map((peer) => peer.traffic());
      return {
        receivedBytes: trafficPerLink.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0),
        sentBytes: trafficPerLink.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
      };
    },
    startStopping: () => {
      isStopping = true;
      void renew();
    },
    close: () => {
      isClosed = true;
      clearInterval(timer);
      links.close();
    },
  };

  function heldForMs(resource: Resource): number {
    const nowMs = performance.now();
    return nowMs - (assignedAtMs.get(resource) ?? nowMs);
  }

  function formerHolderEndedForMs(resource: Resource): number {
    const endedForMs = assignmentOf({ records }, resource)?.formerEndedForMs;
    return endedForMs === undefined ? 0 : endedForMs + heldForMs(resource);
  }

  function holdsLease(): boolean {
    return !checkForSuspension() && performance.now() < leaseUntilMs;
  }

  /**
   * Returns whether the instance was suspended since the last call. If so, revokes the lease and the settings
   * lease locally, ignores renewals sent before now, and renews.
   */
  function checkForSuspension(): boolean {
    if (!suspensionDetector.hasWallClockJumped()) return false;
    log('wall clock jumped ahead of the monotonic clock; treating leases as expired');
    leaseUntilMs = Number.NEGATIVE_INFINITY;
    settingsUntilMs = Number.NEGATIVE_INFINITY;
    renewalsValidFromMs = performance.now();
    hooks.onSuspension?.();
    void renew();
    return true;
  }

  function isHeld(assignment: Assignment | undefined): boolean {
    return assignment?.incarnation === incarnation && holdsLease();
  }

  /**
   * Sets the linked members to those that control reported and those in the settings file. Once control has
   * reported addresses they are included, because the settings file may name members that have been removed.
   */
  function updateMemberLinks(): void {
    const configuredAddresses = options.memberAddresses();
    links.setMembers([...new Set([...reportedAddresses, ...configuredAddresses])]);
  }

  function leaderPeer(): LinkPeer | undefined {
    return leaderAddress === undefined ? undefined : links.peerAt(leaderAddress);
  }

  /**
   * Reads all records from the first member that is reached, which is the nearest as a rule: after a loss of all
   * instances, the leader's link would be the bottleneck if all entries got their first copy from it. The reply to the
   * next renewal brings what the member did not have yet, and puts both in force.
   */
  async function readFirstCopy(peer: LinkPeer): Promise<void> {
    if (isReadingCopy || unconfirmedCopy || copy.knownIndex > 0) return;
    isReadingCopy = true;
    const answer = await peer.request('records/read', {}, FIRST_COPY_TIMEOUT_MS);
    isReadingCopy = false;
    if (isClosed) return;
    const records = answer.orDefault(null) as CarriedRecords | null;
    if (records) unconfirmedCopy = unpackRecords(records);
    else log('no first copy of the records from a member; the leader has to send it');
    void renew();
  }

  async function renew(): Promise<void> {
    if (isRenewing) {
      isRenewalQueued = true;
      return;
    }
    isRenewing = true;
    updateMemberLinks();
    const leader = leaderPeer();
    const candidates = leader ? [leader] : links.openPeers();
    const isRenewed = await renewWithAny(candidates);
    if (!isRenewed && leader) {
      leaderAddress = undefined;
      await renewWithAny(links.openPeers().filter((peer) => peer !== leader));
    }
    isRenewing = false;
    if (isClosed) return;
    if (isRenewalQueued) {
      isRenewalQueued = false;
      setTimeout(() => void renew(), QUEUED_RENEWAL_DELAY_MS);
    } else if (!holdsLease() && links.openPeers().length > 0) {
      setTimeout(() => void renew(), NO_LEASE_RETRY_DELAY_MS);
    }
  }

  /**
   * Sends renewals to all given members; resolves to `true` on the first success, and to `false` once all have
   * failed or one of them has named a leader to which there is a link.
   */
  function renewWithAny(peers: readonly LinkPeer[]): Promise<boolean> {
    return new Promise((resolve) => {
      let outstandingCount = peers.length;
      if (outstandingCount === 0) resolve(false);
      for (const peer of peers) {
        void renewWith(peer).then((isRenewed) => {
          outstandingCount -= 1;
          const isRedirected = leaderAddress !== undefined && isRenewalQueued;
          if (isRenewed || outstandingCount === 0 || isRedirected) resolve(isRenewed);
        });
      }
    });
  }

  async function renewWith(peer: LinkPeer): Promise<boolean> {
    const identity = {
      entryId: toEntryId(options.entryId),
      incarnation,
      linkAddress: options.linkAddress,
      zone: options.zone,
      linkMbps: options.linkMbps,
      isBesideControl: options.isBesideControl,
      isStopping,
      acceptsPacked: true,
      ...(isReadingCopy ? { omitsRecords: true } : {}),
    };
    const known = knownRecords();
    const renewalKey = `${incarnation} ${isStopping}`;
    const isRepeated = renewalsAt.get(peer) === renewalKey;
    const sentAtMs = performance.now();
    const incarnationAgeMs = Math.floor(sentAtMs - incarnationSinceMs);
    const timeoutMs = renewTimeoutMs(copy.knownIndex);
    const answer = isRepeated
      ? await peer.request('lease/repeat', repeatedRenewalOf(known), timeoutMs)
      : await peer.request('lease/renew', { ...identity, incarnationAgeMs, ...known }, timeoutMs);
    const reply = answer.map((value) => value as LeaseReply | ShortLeaseReply);
    if (reply.isLeft()) {
      log(`lease renewal failed: ${reply.extract().kind}`);
      return false;
    }
    // A reply to an incarnation that has ended meanwhile does not renew the current one.
    if (identity.incarnation !== incarnation) return false;
    const renewed = reply.unsafeCoerce();
    if (isShortReply(renewed)) {
      extendLeases(sentAtMs, ...renewed);
      return true;
    }
    if (renewed.kind === 'full-renewal-needed') {
      renewalsAt.delete(peer);
      return renewWith(peer);
    }
    if (renewed.kind === 'renewed' && renewed.acceptsRepeats === true)
      renewalsAt.set(peer, renewalKey);
    return handleReply(renewed, peer, sentAtMs);
  }

  function knownRecords(): Pick<LeaseRenewal, 'knownIndex' | 'documentIndex' | 'settingsRevision'> {
    if (!unconfirmedCopy) {
      const { knownIndex } = copy;
      return { knownIndex, documentIndex: documentIndexOf(copy), settingsRevision };
    }
    const { appliedIndex, deltas } = unconfirmedCopy;
    const document = deltas.find(({ key }) => key === DOCUMENT_KEY);
    return {
      knownIndex: appliedIndex,
      documentIndex: document?.stored.modifiedIndex,
      settingsRevision: unconfirmedCopy.settingsRevision,
    };
  }

  function extendLeases(sentAtMs: number, leaseMs: number, settingsLeaseMs: number): void {
    if (sentAtMs < renewalsValidFromMs) return;
    leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + leaseMs);
    settingsUntilMs = Math.max(settingsUntilMs, sentAtMs + settingsLeaseMs);
  }

  function handleReply(
    reply: Exclude<LeaseReply, { readonly kind: 'full-renewal-needed' }>,
    peer: LinkPeer,
    sentAtMs: number,
  ): boolean {
    return match(reply)
      .returnType<boolean>()
      .with({ kind: 'renewed' }, (renewed) => {
        reportedAddresses = renewed.memberAddresses ?? reportedAddresses;
        leaderAddress = peer.remoteAddress;
        const records = unpackRecords(renewed);
        if (unconfirmedCopy) confirmCopy(unconfirmedCopy);
        handlePush(records);
        extendLeases(sentAtMs, renewed.leaseMs, renewed.settingsLeaseMs);
        return true;
      })
      .with({ kind: 'registered' }, ({ leaseMs }) => {
        leaderAddress = peer.remoteAddress;
        extendLeases(sentAtMs, leaseMs, 0);
        return true;
      })
      .with({ kind: 'ended' }, () => {
        log('control ended this incarnation; continuing under a new one');
        incarnation = createIncarnation();
        incarnationSinceMs = performance.now();
        leaseUntilMs = Number.NEGATIVE_INFINITY;
        hooks.onLeaseEnded();
        isRenewalQueued = true;
        return true;
      })
      .with({ kind: 'not-leader' }, ({ leaderAddress: reportedLeader, memberAddresses }) => {
        reportedAddresses = memberAddresses ?? reportedAddresses;
        if (typeof reportedLeader === 'string' && reportedLeader !== peer.remoteAddress) {
          leaderAddress = reportedLeader;
          isRenewalQueued = links.peerAt(reportedLeader) !== undefined;
        }
        return false;
      })
      .exhaustive();
  }

  function confirmCopy(confirmed: RecordsPush): void {
    unconfirmedCopy = undefined;
    handlePush(confirmed);
  }

  function recordAssignmentTimes(deltas: readonly RecordDelta[]): void {
    const nowMs = performance.now();
    for (const { stored } of deltas) {
      if (stored.record.kind !== 'assignment') continue;
      const { resource, incarnation: holder } = stored.record.assignment;
      if (holder === incarnation) assignedAtMs.set(resource, nowMs);
      else assignedAtMs.delete(resource);
    }
  }

  function handlePush(push: RecordsPush): void {
    const newDeltas = applyPush(copy, push);
    recordAssignmentTimes(newDeltas);
    // A push that leaves the copy incomplete does not confirm the settings revision; renewing fetches the rest.
    const isComplete = push.appliedIndex <= copy.knownIndex;
    const hasNewSettings = isComplete && push.settingsRevision > settingsRevision;
    if (hasNewSettings) settingsRevision = push.settingsRevision;
    if (newDeltas.length > 0) hooks.onRecords(newDeltas);
    if (hasNewSettings || !isComplete) void renew();
  }
}

function unpackRecords(carried: CarriedRecords): RecordsPush {
  return 'packed' in carried ? (unpackValue(carried.packed) as RecordsPush) : carried;
}

function isShortReply(reply: LeaseReply | ShortLeaseReply): reply is ShortLeaseReply {
  return Array.isArray(reply);
}

function repeatedRenewalOf({
  knownIndex,
  documentIndex,
  settingsRevision,
}: Pick<LeaseRenewal, 'knownIndex' | 'documentIndex' | 'settingsRevision'>): RepeatedRenewal {
  return [knownIndex, documentIndex ?? null, settingsRevision];
}

function createIncarnation(): Incarnation {
  return toIncarnation(randomUUID());
}

/** Time-out of a renewal by an entry whose copy of the records is complete up to `knownIndex`. */
function renewTimeoutMs(knownIndex: number): number {
  return knownIndex === 0 ? FIRST_RENEW_TIMEOUT_MS : RENEW_TIMEOUT_MS;
}
