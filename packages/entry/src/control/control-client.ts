/** An entry's view of control: its copy of the records, its lease, and calls to the leader. */
import { randomUUID } from 'node:crypto';
import {
  type Assignment,
  assignmentOf,
  toEntryId,
  toIncarnation,
  type EntrySettings,
  type Incarnation,
  type LeaseRenewal,
  type LeaseReply,
  type RecordDelta,
  type RecordsPush,
  type Resource,
  type StoredRecord,
} from '@bramleykeel/core';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
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

export interface ControlClientHooks {
  readonly onRecords: (deltas: readonly RecordDelta[]) => void;
  readonly onStatusRequest: () => unknown;
  /** The lease was lost; everything that was held under it must be dropped. */
  readonly onLeaseEnded: () => void;
}

const CALL_TIMEOUT_MS = 2_000;
const RENEW_TIMEOUT_MS = 800;
const CONTROL_LINK_TIMING = { ...DEFAULT_LINK_TIMING, pingEveryMs: 500 };

/** Connects to control and keeps the lease renewed. */
export function startControlClient(
  settings: EntrySettings,
  log: Log,
  hooks: ControlClientHooks,
): ControlClient {
  const records = new Map<string, StoredRecord>();
  const { members, timing } = settings;
  let incarnation = createIncarnation();
  let knownIndex = 0;
  let settingsRevision = 0;
  let leaseUntilMs = Number.NEGATIVE_INFINITY;
  let settingsUntilMs = Number.NEGATIVE_INFINITY;
  let memberIndex = Math.floor(Math.random() * members.length);
  let link: LinkClient | undefined;
  let isStopping = false;
  let isRenewing = false;
  let isRenewalWanted = false;
  connectToMember(memberIndex);
  const timer = setInterval(() => void renew(), timing.renewEveryMs);

  return {
    records,
    settingsRevision: () => settingsRevision,
    incarnation: () => incarnation,
    holdsLease,
    hasFreshSettings: () => performance.now() < settingsUntilMs,
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
    return performance.now() < leaseUntilMs;
  }

  function isHeld(assignment: Assignment | undefined): boolean {
    return assignment?.incarnation === incarnation && holdsLease();
  }

  function connectToMember(index: number): void {
    link?.stop();
    memberIndex = index % members.length;
    const member = members[memberIndex];
    if (!member) return;
    const options = {
      secret: settings.link.secret,
      ...CONTROL_LINK_TIMING,
      ...DEFAULT_RECONNECT,
    };
    const created: LinkClient = keepLink(member.linkAddress, options, {
      onRequest: (_peer, method) => {
        if (method === 'status/get') return hooks.onStatusRequest();
        throw new Error(`unknown method ${method}`);
      },
      onNotify: (_peer, method, params) => {
        if (method === 'records/push') takePush(params as RecordsPush);
      },
      onOpen: () => void renew(),
      onClose: () => {
        if (link === created) connectToMember(memberIndex + 1);
      },
      onConnectFailed: () => {
        if (link === created) setTimeout(tryNextMember, DEFAULT_RECONNECT.reconnectMinMs, created);
      },
    });
    link = created;
  }

  function tryNextMember(failed: LinkClient): void {
    if (link === failed) connectToMember(memberIndex + 1);
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
      entryId: toEntryId(settings.entry.id),
      incarnation,
      linkAddress: settings.entry.linkAddress,
      zone: settings.entry.zone,
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
        if (link?.current() === peer) connectToMember(memberIndex + 1);
      },
    });
  }

  function takeReply(reply: LeaseReply, sentAtMs: number): void {
    match(reply)
      .with({ kind: 'renewed' }, (renewed) => {
        takePush(renewed);
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
      .with({ kind: 'not-leader' }, ({ leaderId }) => {
        const known = members.findIndex(({ id }) => id === leaderId);
        const next = known >= 0 ? known : memberIndex + 1;
        const delayMs = known >= 0 ? 0 : DEFAULT_RECONNECT.reconnectMinMs;
        const current = link;
        setTimeout(() => {
          if (link === current) connectToMember(next);
        }, delayMs);
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
