/** An entry's client of control: keeps a copy of the control records, renews the lease and calls the leader. */
import { randomUUID } from 'node:crypto';
import {
  type Assignment,
  assignmentOf,
  type CarriedRecords,
  DOCUMENT_KEY,
  toEntryId,
  toIncarnation,
  type Incarnation,
  type LeaseReply,
  type RecordsPush,
  type ShortLeaseReply,
} from '@bramleykeel/core';
import { createSuspensionDetector, type LinkPeer, type Log } from '@bramleykeel/link';
import { Left } from 'purify-ts';
import { match } from 'ts-pattern';
import { type ControlLinks, createControlLinks } from './control-links.js';
import type {
  ControlClient,
  ControlClientHooks,
  ControlClientOptions,
} from './control-client-types.js';
import {
  createHeldResources,
  formerHolderEndedForMs,
  formerHolderOf,
  recordAssignments,
} from './held-resources.js';
import { applyPush, createRecordCopy, documentIndexOf } from './record-copy.js';
import {
  isShortReply,
  type KnownRecords,
  renewTimeoutMs,
  repeatedRenewalOf,
  unpackRecords,
} from './renewal-messages.js';

/** Delay before the next renewal while the entry holds no lease. */
const NO_LEASE_RETRY_DELAY_MS = 100;
/** Delay before a renewal that was requested while another one was in progress. */
const QUEUED_RENEWAL_DELAY_MS = 10;
const CALL_TIMEOUT_MS = 2_000;
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
  const heldResources = createHeldResources();
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
    formerHolderEndedForMs: (resource) =>
      formerHolderEndedForMs(heldResources, resource, assignmentOf({ records }, resource)),
    formerHolder: (resource) => {
      const assignment = assignmentOf({ records }, resource);
      return assignment && isHeld(assignment)
        ? formerHolderOf(heldResources, assignment)
        : undefined;
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
        void renewWith(peer)
          .catch((error: unknown) => reportUnreadableReply(peer, error))
          .then((isRenewed) => {
            outstandingCount -= 1;
            const isRedirected = leaderAddress !== undefined && isRenewalQueued;
            if (isRenewed || outstandingCount === 0 || isRedirected) resolve(isRenewed);
          });
      }
    });
  }

  /** The renewal counts as failed; without an end of it, no other would follow. */
  function reportUnreadableReply(peer: LinkPeer, error: unknown): boolean {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    log('reply to a lease renewal cannot be read', { member: peer.remoteAddress, error: text });
    return false;
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
      if (isRepeated) return renewWith(peer);
      log('member asks for a full renewal in reply to one', { member: peer.remoteAddress });
      return false;
    }
    if (renewed.kind === 'renewed' && renewed.acceptsRepeats === true)
      renewalsAt.set(peer, renewalKey);
    return handleReply(renewed, peer, sentAtMs);
  }

  function knownRecords(): KnownRecords {
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

  function handlePush(push: RecordsPush): void {
    const newDeltas = applyPush(copy, push);
    recordAssignments(heldResources, newDeltas, incarnation);
    // A push that leaves the copy incomplete does not confirm the settings revision; renewing fetches the rest.
    const isComplete = push.appliedIndex <= copy.knownIndex;
    const hasNewSettings = isComplete && push.settingsRevision > settingsRevision;
    if (hasNewSettings) settingsRevision = push.settingsRevision;
    if (newDeltas.length > 0) hooks.onRecords(newDeltas);
    if (hasNewSettings || !isComplete) void renew();
  }
}

function createIncarnation(): Incarnation {
  return toIncarnation(randomUUID());
}
