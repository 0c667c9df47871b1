/** Finds the owner of each group from control's assignments and keeps links to other entries. */
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

export interface LocatorOptions {
  readonly records: ReadonlyMap<string, StoredRecord>;
  readonly linkSecret: string;
  readonly ownIncarnation: () => Incarnation;
  /** Whether this entry acts as the group's owner under that epoch. */
  readonly ownsLocally: (group: GroupName, epoch: number) => boolean;
  readonly sendLocally: (group: GroupName, epoch: number, message: ToOwnerMessage) => void;
  readonly askLocalFate: (group: GroupName, query: RequestStatusQuery) => RequestStatus;
  readonly requestResource: (resource: Resource) => void;
  readonly reportSuspect: (incarnation: Incarnation, linkAddress: string) => void;
  readonly onPortLost: (port: OwnerPort) => void;
  readonly onNotify: (peer: LinkPeer, method: string, params: unknown) => void;
}

export interface EntryLinks extends OwnerLocator {
  /** The open link to another entry, or `undefined` while there is none. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /** An owner has handed over: what it has not answered, and does not name, never starts there. */
  readonly endOwner: (group: GroupName, epoch: number, running: readonly SessionId[]) => void;
  /** Looks at assignments again after control's records have changed. */
  readonly refresh: () => void;
  readonly close: () => void;
}

interface KnownPort extends OwnerPort {
  readonly linkAddress: string;
  isLost: boolean;
  /** Set once its owner has handed over: the sessions whose requests may have run there. */
  running?: readonly SessionId[];
}

interface PortWaiter {
  readonly untilMs: number;
  readonly resolve: (port: OwnerPort | undefined) => void;
}

const AWAIT_POLL_MS = 10;
const REQUEST_EVERY_MS = 200;
/** An owner that does not answer sooner is frozen or gone: its callers should not wait for it. */
const FATE_TIMEOUT_MS = 500;
const FATE_POLL_MS = 50;
/** How long answers of a superseded owner are waited for. */
const SUPERSEDED_GRACE_MS = 250;

export function createEntryLinks(options: LocatorOptions): EntryLinks {
  const links = new Map<string, LinkClient>();
  const refusedAtMs = new Map<string, number>();
  const ports = new Map<GroupName, KnownPort>();
  const supersededPorts = new Set<KnownPort>();
  /** The newest epoch of each group whose owner has said that it is over. */
  const endedEpochs = new Map<GroupName, number>();
  const waiters = new Map<GroupName, PortWaiter[]>();
  const requestedAtMs = new Map<Resource, number>();
  const timer = setInterval(serveWaiters, AWAIT_POLL_MS);
  return { find, await: awaitPort, askFate, linkTo, endOwner, refresh, close };

  function find(group: GroupName): OwnerPort | undefined {
    const resource: Resource = `group/${group}`;
    const assignment = assignmentOf(options, resource);
    if (!assignment) {
      requestOnce(resource);
      return undefined;
    }
    // Its successor is not known here yet.
    if (assignment.epoch <= (endedEpochs.get(group) ?? 0)) return undefined;
    const known = ports.get(group);
    if (known?.epoch === assignment.epoch && known.isOpen()) return known;
    const port = openPort(group, assignment);
    if (port) ports.set(group, port);
    else requestOnce(resource);
    return port;
  }

  function requestOnce(resource: Resource): void {
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(resource) ?? 0) < REQUEST_EVERY_MS) return;
    requestedAtMs.set(resource, nowMs);
    options.requestResource(resource);
  }

  function openPort(group: GroupName, assignment: Assignment): KnownPort | undefined {
    const { epoch, linkAddress } = assignment;
    if (assignment.incarnation === options.ownIncarnation()) {
      if (!options.ownsLocally(group, epoch)) return undefined;
      const port: KnownPort = {
        group,
        epoch,
        linkAddress,
        isLost: false,
        isLocal: true,
        isOpen: () => !port.isLost && options.ownsLocally(group, epoch),
        send: (message) => {
          if (!port.isOpen()) return false;
          options.sendLocally(group, epoch, message);
          return true;
        },
      };
      return port;
    }
    const peer = linkTo(linkAddress);
    if (!peer) return undefined;
    const port: KnownPort = {
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
    const known = links.get(linkAddress);
    if (known) return known.current();
    const timing = { ...DEFAULT_LINK_TIMING, ...DEFAULT_RECONNECT, reconnectMaxMs: 400 };
    const client = maintainLink(
      linkAddress,
      { secret: options.linkSecret, ...timing },
      {
        onRequest: () => undefined,
        onNotify: options.onNotify,
        onOpen: () => refusedAtMs.delete(linkAddress),
        onClose: () => {
          losePorts((port) => !port.isLocal && port.linkAddress === linkAddress);
          suspectHolder(linkAddress);
        },
        onConnectFailed: (failure) => {
          if (failure !== 'refused') return;
          refusedAtMs.set(linkAddress, performance.now());
          suspectHolder(linkAddress);
        },
      },
    );
    links.set(linkAddress, client);
    return undefined;
  }

  function suspectHolder(linkAddress: string): void {
    const suspects = new Set<Incarnation>();
    for (const { record } of options.records.values()) {
      if (record.kind !== 'assignment') continue;
      if (record.assignment.linkAddress !== linkAddress) continue;
      suspects.add(record.assignment.incarnation);
    }
    for (const incarnation of suspects) options.reportSuspect(incarnation, linkAddress);
  }

  function endOwner(group: GroupName, epoch: number, running: readonly SessionId[]): void {
    endedEpochs.set(group, Math.max(epoch, endedEpochs.get(group) ?? 0));
    const isIts = (port: KnownPort) => port.group === group && port.epoch === epoch;
    for (const port of [...ports.values(), ...supersededPorts].filter(isIts)) {
      port.running = running;
      losePort(port);
    }
  }

  function losePorts(isLost: (port: KnownPort) => boolean): void {
    for (const port of [...ports.values(), ...supersededPorts]) {
      if (isLost(port)) losePort(port);
    }
  }

  function losePort(port: KnownPort): void {
    if (port.isLost) return;
    port.isLost = true;
    supersededPorts.delete(port);
    if (ports.get(port.group) === port) ports.delete(port.group);
    options.onPortLost(port);
  }

  /**
   * A port under an epoch that is over takes no new request. Answers that an owner sent before it
   * handed over may still be on their way, so the port is lost only a moment later.
   */
  function refresh(): void {
    for (const [group, port] of ports) {
      const isPresent = assignmentOf(options, `group/${group}`)?.epoch === port.epoch;
      if (isPresent && (!port.isLocal || port.isOpen())) continue;
      ports.delete(group);
      supersededPorts.add(port);
      setTimeout(() => {
        losePort(port);
      }, SUPERSEDED_GRACE_MS);
    }
    serveWaiters();
  }

  function awaitPort(group: GroupName, timeoutMs: number): Promise<OwnerPort | undefined> {
    return new Promise((resolve) => {
      const list = waiters.get(group) ?? [];
      waiters.set(group, list);
      list.push({ untilMs: performance.now() + timeoutMs, resolve });
    });
  }

  function serveWaiters(): void {
    const nowMs = performance.now();
    for (const [group, list] of waiters) {
      const port = find(group);
      const isServed = (waiter: PortWaiter) => port !== undefined || waiter.untilMs <= nowMs;
      const waiting = list.filter((waiter) => !isServed(waiter));
      const served = list.filter(isServed);
      if (waiting.length > 0) waiters.set(group, waiting);
      else waiters.delete(group);
      for (const { resolve } of served) resolve(port);
    }
  }

  async function askFate(lost: OwnerPort, query: RequestStatusQuery): Promise<RequestStatus> {
    const { group, linkAddress, isLocal, running } = lost as KnownPort;
    if (running && !running.includes(query.session)) return 'not-started';
    if (isLocal) return options.askLocalFate(group, query);
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < FATE_TIMEOUT_MS) {
      const peer = linkTo(linkAddress);
      if (peer) {
        const params = { group, query };
        const answer = await peer.request('request/fate', params, FATE_TIMEOUT_MS);
        return answer.map((fate) => fate as RequestStatus).orDefault('may-have-run');
      }
      if ((refusedAtMs.get(linkAddress) ?? 0) >= startedAtMs) return 'may-have-run';
      await delay(FATE_POLL_MS);
    }
    return 'may-have-run';
  }

  function close(): void {
    clearInterval(timer);
    for (const link of links.values()) link.stop();
  }
}
