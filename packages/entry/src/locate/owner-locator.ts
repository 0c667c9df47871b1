/** Locates the owners of groups by control's assignments, and maintains links to other entries. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Assignment,
  assignmentOf,
  type RequestStatusQuery,
  type GroupName,
  type Incarnation,
  type RequestStatus,
  type Resource,
  type SessionId,
  type StoredRecord,
  type ToOwnerMessage,
} from '@bramleykeel/core';
import {
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  maintainLink,
  type LinkClient,
  type LinkPeer,
} from '@bramleykeel/link';
import type { OwnerLocator, OwnerPort } from './owner-port.js';

export interface EntryLinksOptions {
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly linkSecret: string;
  readonly ownIncarnation: () => Incarnation;
  /** Whether this entry is the group's active owner in that epoch. */
  readonly isLocalOwner: (group: GroupName, epoch: number) => boolean;
  readonly sendToLocalOwner: (group: GroupName, epoch: number, message: ToOwnerMessage) => void;
  readonly queryLocalRequestStatus: (group: GroupName, query: RequestStatusQuery) => RequestStatus;
  readonly requestResource: (resource: Resource) => void;
  readonly reportSuspect: (incarnation: Incarnation, linkAddress: string) => void;
  readonly onPortLost: (port: OwnerPort) => void;
  readonly onNotify: (peer: LinkPeer, method: string, params: unknown) => void;
}

export interface EntryLinks extends OwnerLocator {
  /** Returns the open link to another entry, or `undefined` while it is being opened. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /**
   * Handles the handover of an owner. Its unanswered requests never start there, except those of
   * the sessions in `running`, which may have run.
   */
  readonly handleOwnerEnded: (
    group: GroupName,
    epoch: number,
    running: readonly SessionId[],
  ) => void;
  /** Re-evaluates ports and waiters after control's records have changed. */
  readonly refresh: () => void;
  readonly close: () => void;
}

interface TrackedPort extends OwnerPort {
  readonly linkAddress: string;
  isLost: boolean;
  /** Set when the owner has handed over: the sessions whose requests may have run there. */
  runningSessions?: readonly SessionId[];
}

interface PortWaiter {
  readonly deadlineMs: number;
  readonly resolve: (port: OwnerPort | undefined) => void;
}

const WAITER_POLL_INTERVAL_MS = 10;
const RESOURCE_REQUEST_INTERVAL_MS = 200;
/** An owner that does not answer within this time hangs or has ended; callers do not wait longer. */
const STATUS_QUERY_TIMEOUT_MS = 500;
const LINK_POLL_INTERVAL_MS = 50;
/** How long answers of a superseded owner are waited for. */
const SUPERSEDED_GRACE_MS = 250;

export function createEntryLinks(options: EntryLinksOptions): EntryLinks {
  const links = new Map<string, LinkClient>();
  const connectRefusedAtMs = new Map<string, number>();
  const ports = new Map<GroupName, TrackedPort>();
  const supersededPorts = new Set<TrackedPort>();
  /** The latest epoch of each group that its owner has reported as ended. */
  const endedEpochs = new Map<GroupName, number>();
  const waiters = new Map<GroupName, PortWaiter[]>();
  const resourceRequestedAtMs = new Map<Resource, number>();
  const timer = setInterval(resolveWaiters, WAITER_POLL_INTERVAL_MS);
  return {
    findOwner,
    awaitOwner,
    queryRequestStatus,
    linkTo,
    handleOwnerEnded,
    refresh,
    close,
  };

  function findOwner(group: GroupName): OwnerPort | undefined {
    const resource: Resource = `group/${group}`;
    const assignment = assignmentOf(options, resource);
    if (!assignment) {
      requestResourceThrottled(resource);
      return undefined;
    }
    // The owner of this epoch has handed over, and its successor is not known here yet.
    if (assignment.epoch <= (endedEpochs.get(group) ?? 0)) return undefined;
    const existing = ports.get(group);
    if (existing?.epoch === assignment.epoch && existing.isOpen()) return existing;
    const port = openPort(group, assignment);
    if (port) ports.set(group, port);
    else requestResourceThrottled(resource);
    return port;
  }

  function requestResourceThrottled(resource: Resource): void {
    const nowMs = performance.now();
    if (nowMs - (resourceRequestedAtMs.get(resource) ?? 0) < RESOURCE_REQUEST_INTERVAL_MS) return;
    resourceRequestedAtMs.set(resource, nowMs);
    options.requestResource(resource);
  }

  function openPort(group: GroupName, assignment: Assignment): TrackedPort | undefined {
    const { epoch, linkAddress } = assignment;
    if (assignment.incarnation === options.ownIncarnation()) {
      if (!options.isLocalOwner(group, epoch)) return undefined;
      const port: TrackedPort = {
        group,
        epoch,
        linkAddress,
        isLost: false,
        isLocal: true,
        isOpen: () => !port.isLost && options.isLocalOwner(group, epoch),
        send: (message) => {
          if (!port.isOpen()) return false;
          options.sendToLocalOwner(group, epoch, message);
          return true;
        },
      };
      return port;
    }
    const peer = linkTo(linkAddress);
    if (!peer) return undefined;
    const port: TrackedPort = {
      group,
      epoch,
      linkAddress,
      isLost: false,
      isLocal: false,
      isOpen: () => !port.isLost && peer.isOpen(),
      send: (message) => !port.isLost && peer.notify('owner/message', { group, epoch, message }),
    };
    return port;
  }

  function linkTo(linkAddress: string): LinkPeer | undefined {
    const existing = links.get(linkAddress);
    if (existing) return existing.current();
    const timing = { ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT, reconnectMaxMs: 400 };
    const client = maintainLink(
      linkAddress,
      { secret: options.linkSecret, ...timing },
      {
        onRequest: () => undefined,
        onNotify: options.onNotify,
        onOpen: () => connectRefusedAtMs.delete(linkAddress),
        onClose: () => {
          markPortsLost((port) => !port.isLocal && port.linkAddress === linkAddress);
          reportSuspectHolders(linkAddress);
        },
        onConnectFailed: (failure) => {
          if (failure !== 'refused') return;
          connectRefusedAtMs.set(linkAddress, performance.now());
          reportSuspectHolders(linkAddress);
        },
      },
    );
    links.set(linkAddress, client);
    return undefined;
  }

  function reportSuspectHolders(linkAddress: string): void {
    const suspects = new Set<Incarnation>();
    for (const { record } of options.records.values()) {
      if (record.kind !== 'assignment') continue;
      if (record.assignment.linkAddress !== linkAddress) continue;
      suspects.add(record.assignment.incarnation);
    }
    for (const incarnation of suspects) options.reportSuspect(incarnation, linkAddress);
  }

  function handleOwnerEnded(group: GroupName, epoch: number, running: readonly SessionId[]): void {
    endedEpochs.set(group, Math.max(epoch, endedEpochs.get(group) ?? 0));
    const isMatching = (port: TrackedPort) => port.group === group && port.epoch === epoch;
    for (const port of [...ports.values(), ...supersededPorts].filter(isMatching)) {
      port.runningSessions = running;
      markPortLost(port);
    }
  }

  function markPortsLost(isLost: (port: TrackedPort) => boolean): void {
    for (const port of [...ports.values(), ...supersededPorts]) {
      if (isLost(port)) markPortLost(port);
    }
  }

  function markPortLost(port: TrackedPort): void {
    if (port.isLost) return;
    port.isLost = true;
    supersededPorts.delete(port);
    if (ports.get(port.group) === port) ports.delete(port.group);
    options.onPortLost(port);
  }

  /**
   * Stops using ports of superseded epochs for new requests. Answers that the owner sent before it
   * handed over may still be in transit, so such a port is lost only after `SUPERSEDED_GRACE_MS`.
   */
  function refresh(): void {
    for (const [group, port] of ports) {
      const isCurrent = assignmentOf(options, `group/${group}`)?.epoch === port.epoch;
      if (isCurrent && (!port.isLocal || port.isOpen())) continue;
      ports.delete(group);
      supersededPorts.add(port);
      setTimeout(() => {
        markPortLost(port);
      }, SUPERSEDED_GRACE_MS);
    }
    resolveWaiters();
  }

  function awaitOwner(group: GroupName, timeoutMs: number): Promise<OwnerPort | undefined> {
    return new Promise((resolve) => {
      const list = waiters.get(group) ?? [];
      waiters.set(group, list);
      list.push({ deadlineMs: performance.now() + timeoutMs, resolve });
    });
  }

  function resolveWaiters(): void {
    const nowMs = performance.now();
    for (const [group, list] of waiters) {
      const port = findOwner(group);
      const isServed = (waiter: PortWaiter) => port !== undefined || waiter.deadlineMs <= nowMs;
      const waiting = list.filter((waiter) => !isServed(waiter));
      const served = list.filter(isServed);
      if (waiting.length > 0) waiters.set(group, waiting);
      else waiters.delete(group);
      for (const { resolve } of served) resolve(port);
    }
  }

  async function queryRequestStatus(
    lostPort: OwnerPort,
    query: RequestStatusQuery,
  ): Promise<RequestStatus> {
    const { group, linkAddress, isLocal, runningSessions } = lostPort as TrackedPort;
    if (runningSessions && !runningSessions.includes(query.session)) return 'not-started';
    if (isLocal) return options.queryLocalRequestStatus(group, query);
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < STATUS_QUERY_TIMEOUT_MS) {
      const peer = linkTo(linkAddress);
      if (peer) {
        const params = { group, query };
        const answer = await peer.request('request/fate', params, STATUS_QUERY_TIMEOUT_MS);
        return answer.map((status) => status as RequestStatus).orDefault('may-have-run');
      }
      if ((connectRefusedAtMs.get(linkAddress) ?? 0) >= startedAtMs) return 'may-have-run';
      await delay(LINK_POLL_INTERVAL_MS);
    }
    return 'may-have-run';
  }

  function close(): void {
    clearInterval(timer);
    for (const link of links.values()) link.stop();
  }
}
