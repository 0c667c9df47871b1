/** An entry's view of control: its copy of the records, its lease, and calls to the leader. */
import { randomUUID } from 'node:crypto';
import {
  type Assignment,
  assignmentOf,
  toEntryId,
  toIncarnation,
  type Incarnation,
  type LeaseRenewal,
  type LeaseReply,
  type RecordDelta,
  type RecordsPush,
  type Resource,
  type StoredRecord,
  type TimingSettings,
} from '@bramleykeel/core';
import { createSuspensionWatch, type LinkError, type LinkPeer, type Log } from '@bramleykeel/link';
import { type Either, Left } from 'purify-ts';
import { match } from 'ts-pattern';
import { type ControlLinks, createControlLinks } from './control-links.js';
import { applyPush, createRecordCopy, documentIndexOf } from './record-copy.js';

export interface ControlClient {
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly settingsRevision: () => number;
  readonly incarnation: () => Incarnation;
  /** Whether the entry's lease holds now. */
  readonly holdsLease: () => boolean;
  /** Whether the settings are recent enough to judge keys by. */
  readonly hasFreshSettings: () => boolean;
  /** The epoch under which this entry holds a resource now; `undefined` when it does not. */
  readonly heldEpoch: (resource: Resource) => number | undefined;
  /** Sends a request to the control leader. */
  readonly call: (method: string, params: unknown) => Promise<Either<LinkError, unknown>>;
  /** Bytes exchanged with control over the present link. */
  readonly traffic: () => { readonly receivedBytes: number; readonly sentBytes: number };
  readonly startStopping: () => void;
  readonly close: () => void;
}

export interface ControlClientOptions {
  readonly entryId: string;
  /** Where other entries reach this one. */
  readonly linkAddress: string;
  readonly zone: string;
  readonly linkMbps?: number;
  readonly isBesideControl?: boolean;
  readonly linkSecret: string;
  readonly timing: TimingSettings;
  /** Link addresses of control members that the settings name; more are learnt from control. */
  readonly memberAddresses: () => readonly string[];
}

export interface ControlClientHooks {
  readonly onRecords: (deltas: readonly RecordDelta[]) => void;
  readonly onStatusRequest: () => unknown;
  /** The instance may have been suspended: times that were measured before mean nothing now. */
  readonly onSuspension?: () => void;
  /** The lease was lost; everything that was held under it must be dropped. */
  readonly onLeaseEnded: () => void;
}

/** Pause before members are asked again while no leader is known, in milliseconds. */
const LEADERLESS_RETRY_MS = 100;
/** Pause before a renewal that became due while another one was on its way, in milliseconds. */
const RENEW_AGAIN_MS = 10;
const CALL_TIMEOUT_MS = 2_000;
/** A leader that does not answer a renewal in this time may be frozen; the other members are asked. */
const RENEW_TIMEOUT_MS = 350;
/**
 * The first answer holds all records, some 25 KB at 80 customers: on a link of 2 Mbit/s, between regions, that
 * alone takes a third of a second. In milliseconds.
 */
const FIRST_RENEW_TIMEOUT_MS = 1_500;

/** Connects to control and keeps the lease renewed. */
export function startControlClient(
  options: ControlClientOptions,
  log: Log,
  hooks: ControlClientHooks,
): ControlClient {
  const copy = createRecordCopy();
  const { records } = copy;
  const { timing } = options;
  const clock = createSuspensionWatch();
  let learntAddresses: readonly string[] = [];
  let leaderAddress: string | undefined;
  let incarnation = createIncarnation();
  let settingsRevision = 0;
  let leaseUntilMs = Number.NEGATIVE_INFINITY;
  let settingsUntilMs = Number.NEGATIVE_INFINITY;
  let renewalsValidFromMs = Number.NEGATIVE_INFINITY;
  let isStopping = false;
  let isRenewing = false;
  let isRenewalWanted = false;
  let isClosed = false;
  const links: ControlLinks = createControlLinks(options.linkSecret, {
    onRequest: (_peer, method) => {
      if (method === 'status/get') return hooks.onStatusRequest();
      throw new Error(`unknown method ${method}`);
    },
    onNotify: (_peer, method, params) => {
      if (method === 'records/push') takePush(params as RecordsPush);
    },
    onOpen: () => void renew(),
  });
  keepMembers();
  const timer = setInterval(() => void renew(), timing.renewEveryMs);

  return {
    records,
    settingsRevision: () => settingsRevision,
    incarnation: () => incarnation,
    holdsLease,
    hasFreshSettings: () => !hasBeenSuspended() && performance.now() < settingsUntilMs,
    heldEpoch: (resource) => {
      const assignment = assignmentOf({ records }, resource);
      return isHeld(assignment) ? assignment?.epoch : undefined;
    },
    call: (method, params) => {
      const peer = leaderPeer() ?? links.openPeers()[0];
      if (!peer) return Promise.resolve(Left({ kind: 'not-sent' }));
      return peer.request(method, params, CALL_TIMEOUT_MS);
    },
    traffic: () => {
      const each = links.openPeers().map((peer) => peer.traffic());
      return {
        receivedBytes: each.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0),
        sentBytes: each.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
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
    return !hasBeenSuspended() && performance.now() < leaseUntilMs;
  }

  /** After a suspension nothing that was granted earlier counts; control is asked before acting. */
  function hasBeenSuspended(): boolean {
    if (!clock.hasJumped()) return false;
    log('the time of day jumped ahead of the steady clock; leases count as run out');
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

  /** Addresses from control count once there are any: the settings may name members that are gone. */
  function keepMembers(): void {
    const named = options.memberAddresses();
    links.keep([...new Set([...learntAddresses, ...named])]);
  }

  function leaderPeer(): LinkPeer | undefined {
    return leaderAddress === undefined ? undefined : links.peerAt(leaderAddress);
  }

  async function renew(): Promise<void> {
    if (isRenewing) {
      isRenewalWanted = true;
      return;
    }
    isRenewing = true;
    keepMembers();
    const leader = leaderPeer();
    const asked = leader ? [leader] : links.openPeers();
    const isRenewed = await askAny(asked);
    if (!isRenewed && leader) {
      leaderAddress = undefined;
      await askAny(links.openPeers().filter((peer) => peer !== leader));
    }
    isRenewing = false;
    if (isClosed) return;
    if (isRenewalWanted) {
      isRenewalWanted = false;
      setTimeout(() => void renew(), RENEW_AGAIN_MS);
    } else if (!holdsLease() && links.openPeers().length > 0) {
      setTimeout(() => void renew(), LEADERLESS_RETRY_MS);
    }
  }

  /** Asks several members at once; resolves as soon as one of them has renewed, or all have answered. */
  function askAny(peers: readonly LinkPeer[]): Promise<boolean> {
    return new Promise((resolve) => {
      let openCount = peers.length;
      if (openCount === 0) resolve(false);
      for (const peer of peers) {
        void renewWith(peer).then((isRenewed) => {
          openCount -= 1;
          if (isRenewed || openCount === 0) resolve(isRenewed);
        });
      }
    });
  }

  async function renewWith(peer: LinkPeer): Promise<boolean> {
    const renewal: LeaseRenewal = {
      entryId: toEntryId(options.entryId),
      incarnation,
      linkAddress: options.linkAddress,
      zone: options.zone,
      linkMbps: options.linkMbps,
      isBesideControl: options.isBesideControl,
      isStopping,
      knownIndex: copy.knownIndex,
      documentIndex: documentIndexOf(copy),
      settingsRevision,
    };
    const sentAtMs = performance.now();
    const answer = await peer.request('lease/renew', renewal, renewTimeoutMs(copy.knownIndex));
    return answer.caseOf({
      Right: (reply) => {
        // An answer to an incarnation that has ended meanwhile says nothing about the present one.
        if (renewal.incarnation !== incarnation) return false;
        return takeReply(reply as LeaseReply, peer, sentAtMs);
      },
      Left: (error) => {
        log(`lease renewal failed: ${error.kind}`);
        return false;
      },
    });
  }

  function takeReply(reply: LeaseReply, peer: LinkPeer, sentAtMs: number): boolean {
    return match(reply)
      .returnType<boolean>()
      .with({ kind: 'renewed' }, (renewed) => {
        learntAddresses = renewed.memberAddresses ?? learntAddresses;
        leaderAddress = peer.remoteAddress;
        takePush(renewed);
        if (sentAtMs < renewalsValidFromMs) return true;
        leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + renewed.leaseMs);
        settingsUntilMs = Math.max(settingsUntilMs, sentAtMs + renewed.settingsLeaseMs);
        return true;
      })
      .with({ kind: 'ended' }, () => {
        log('control ended this incarnation; coming back under a new one');
        incarnation = createIncarnation();
        leaseUntilMs = Number.NEGATIVE_INFINITY;
        hooks.onLeaseEnded();
        isRenewalWanted = true;
        return true;
      })
      .with({ kind: 'not-leader' }, ({ leaderAddress: named, memberAddresses }) => {
        learntAddresses = memberAddresses ?? learntAddresses;
        if (typeof named === 'string' && named !== peer.remoteAddress) {
          leaderAddress = named;
          isRenewalWanted = links.peerAt(named) !== undefined;
        }
        return false;
      })
      .exhaustive();
  }

  function takePush(push: RecordsPush): void {
    const fresh = applyPush(copy, push);
    // A push that leaves something out confirms no settings: the next renewal brings what is missing.
    const isWhole = push.appliedIndex <= copy.knownIndex;
    const hasNewSettings = isWhole && push.settingsRevision > settingsRevision;
    if (hasNewSettings) settingsRevision = push.settingsRevision;
    if (fresh.length > 0) hooks.onRecords(fresh);
    if (hasNewSettings || !isWhole) void renew();
  }
}

function createIncarnation(): Incarnation {
  return toIncarnation(randomUUID());
}

/** How long an answer is waited for by an entry that knows the records up to an index. */
function renewTimeoutMs(knownIndex: number): number {
  return knownIndex === 0 ? FIRST_RENEW_TIMEOUT_MS : RENEW_TIMEOUT_MS;
}
