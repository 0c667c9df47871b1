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
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  createSuspensionWatch,
  type LinkClient,
  type LinkError,
  type LinkPeer,
  type Log,
} from '@bramleykeel/link';
import { type Either, Left } from 'purify-ts';
import { match } from 'ts-pattern';

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
  /** The lease was lost; everything that was held under it must be dropped. */
  readonly onLeaseEnded: () => void;
}

/** Spreads the first choice of entries over the members. */
const MAX_FIRST_INDEX = 1_000;
/** Pause before the next member is asked while no leader is known, in milliseconds. */
const LEADERLESS_RETRY_MS = 150;
const CALL_TIMEOUT_MS = 2_000;
/** A leader that does not answer a renewal in this time may be frozen; another member is asked. */
const RENEW_TIMEOUT_MS = 450;
const CONTROL_LINK_TIMING = { ...DEFAULT_LINK_TIMING, pingEveryMs: 500 };

/** Connects to control and keeps the lease renewed. */
export function startControlClient(
  options: ControlClientOptions,
  log: Log,
  hooks: ControlClientHooks,
): ControlClient {
  const records = new Map<string, StoredRecord>();
  const { timing } = options;
  const clock = createSuspensionWatch();
  let learntAddresses: readonly string[] = [];
  let incarnation = createIncarnation();
  let knownIndex = 0;
  let settingsRevision = 0;
  let leaseUntilMs = Number.NEGATIVE_INFINITY;
  let settingsUntilMs = Number.NEGATIVE_INFINITY;
  let memberIndex = Math.floor(Math.random() * MAX_FIRST_INDEX);
  let memberAddress = '';
  let link: LinkClient | undefined;
  let renewalsValidFromMs = Number.NEGATIVE_INFINITY;
  let isStopping = false;
  let isRenewing = false;
  let isRenewalWanted = false;
  connectToNextMember();
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
      const peer = link?.current();
      if (!peer) return Promise.resolve(Left({ kind: 'not-sent' }));
      return peer.request(method, params, CALL_TIMEOUT_MS);
    },
    traffic: () => link?.current()?.traffic() ?? { receivedBytes: 0, sentBytes: 0 },
    startStopping: () => {
      isStopping = true;
      void renew();
    },
    close: () => {
      clearInterval(timer);
      link?.stop();
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
    void renew();
    return true;
  }

  function isHeld(assignment: Assignment | undefined): boolean {
    return assignment?.incarnation === incarnation && holdsLease();
  }

  /** Addresses from control go first: the settings may name members that are gone. */
  function connectToNextMember(): void {
    const addresses = [...new Set([...learntAddresses, ...options.memberAddresses()])];
    memberIndex += 1;
    const next = addresses[memberIndex % addresses.length];
    if (next !== undefined) connectTo(next);
  }

  function connectTo(address: string): void {
    link?.stop();
    memberAddress = address;
    const linkOptions = {
      secret: options.linkSecret,
      ...CONTROL_LINK_TIMING,
      ...DEFAULT_RECONNECT,
    };
    const created: LinkClient = keepLink(address, linkOptions, {
      onRequest: (_peer, method) => {
        if (method === 'status/get') return hooks.onStatusRequest();
        throw new Error(`unknown method ${method}`);
      },
      onNotify: (_peer, method, params) => {
        if (method === 'records/push') takePush(params as RecordsPush);
      },
      onOpen: () => void renew(),
      onClose: () => {
        if (link === created) connectToNextMember();
      },
      onConnectFailed: () => {
        if (link === created) setTimeout(leaveMember, DEFAULT_RECONNECT.reconnectMinMs, created);
      },
    });
    link = created;
  }

  function leaveMember(failed: LinkClient): void {
    if (link === failed) connectToNextMember();
  }

  async function renew(): Promise<void> {
    if (isRenewing) {
      isRenewalWanted = true;
      return;
    }
    const peer = link?.current();
    if (!peer) return;
    isRenewing = true;
    await renewWith(peer);
    isRenewing = false;
    if (!isRenewalWanted) return;
    isRenewalWanted = false;
    void renew();
  }

  async function renewWith(peer: LinkPeer): Promise<void> {
    const renewal: LeaseRenewal = {
      entryId: toEntryId(options.entryId),
      incarnation,
      linkAddress: options.linkAddress,
      zone: options.zone,
      linkMbps: options.linkMbps,
      isBesideControl: options.isBesideControl,
      isStopping,
      knownIndex,
      settingsRevision,
    };
    const sentAtMs = performance.now();
    const answer = await peer.request('lease/renew', renewal, RENEW_TIMEOUT_MS);
    answer.caseOf({
      Right: (reply) => {
        takeReply(reply as LeaseReply, sentAtMs);
      },
      Left: (error) => {
        log(`lease renewal failed: ${error.kind}`);
        if (link?.current() === peer) connectToNextMember();
      },
    });
  }

  function takeReply(reply: LeaseReply, sentAtMs: number): void {
    match(reply)
      .with({ kind: 'renewed' }, (renewed) => {
        learntAddresses = renewed.memberAddresses ?? learntAddresses;
        takePush(renewed);
        if (sentAtMs < renewalsValidFromMs) return;
        leaseUntilMs = sentAtMs + renewed.leaseMs;
        settingsUntilMs = sentAtMs + renewed.settingsLeaseMs;
      })
      .with({ kind: 'ended' }, () => {
        log('control ended this incarnation; coming back under a new one');
        incarnation = createIncarnation();
        leaseUntilMs = Number.NEGATIVE_INFINITY;
        hooks.onLeaseEnded();
        isRenewalWanted = true;
      })
      .with({ kind: 'not-leader' }, ({ leaderAddress, memberAddresses }) => {
        learntAddresses = memberAddresses ?? learntAddresses;
        const current = link;
        const isNew = typeof leaderAddress === 'string' && leaderAddress !== memberAddress;
        if (isNew) connectTo(leaderAddress);
        else if (current) setTimeout(leaveMember, LEADERLESS_RETRY_MS, current);
      })
      .exhaustive();
  }

  /** Records only move forward: a late push never takes one back. */
  function takePush(push: RecordsPush): void {
    const fresh = push.deltas.filter(({ key, stored }) => {
      const known = records.get(key);
      return !known || known.modifiedIndex < stored.modifiedIndex;
    });
    for (const { key, stored } of fresh) records.set(key, stored);
    knownIndex = Math.max(knownIndex, push.appliedIndex);
    const hasNewSettings = push.settingsRevision > settingsRevision;
    settingsRevision = Math.max(settingsRevision, push.settingsRevision);
    if (fresh.length > 0) hooks.onRecords(fresh);
    if (hasNewSettings) void renew();
  }
}

function createIncarnation(): Incarnation {
  return toIncarnation(randomUUID());
}
