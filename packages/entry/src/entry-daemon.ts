/** Wires the parts of an entry along the path of a request. */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import {
  type Announcement,
  assignmentOf,
  customerSetting,
  type EntrySettings,
  type FateQuery,
  type FromOwnerMessage,
  type GroupName,
  groupSetting,
  type RecordDelta,
  type Resource,
  type TokenDraw,
  type TokenGrant,
  type ToOwnerMessage,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import {
  createCounters,
  createLog,
  DEFAULT_LINK_TIMING,
  type LinkPeer,
  listenForLinks,
} from '@bramleykeel/link';
import { createClassifier, loadSyntax } from '@bramleykeel/postgres-wire';
import {
  cancelLocal,
  type CallerRegistry,
  closeIdle,
  closeWithdrawn,
  dispatchAnswer,
  dispatchPortLost,
  listenForCallers,
  stopAccepting,
} from './accept/caller-registry.js';
import { createRateClient } from './admit/rate-client.js';
import { answerDraw, createRateHomes } from './admit/rate-home.js';
import { createKeyIndex, findKey, isKeyInForce, updateKeyIndex } from './authenticate/key-index.js';
import { type ControlClient, startControlClient } from './control/control-client.js';
import { createEntryLinks, type EntryLinks } from './locate/owner-locator.js';
import type { AnswerChannel } from './owner/answer-channel.js';
import {
  answerFateQuery,
  closeAllOwners,
  createOwnerRegistry,
  deliverAnnouncement,
  deliverToOwner,
  describeOwners,
  dropChannel,
  findOwner,
  handOverAll,
  type OwnerRegistry,
  reconcileOwners,
} from './owner/owner-registry.js';
import {
  cacheAnnouncement,
  createAnnouncementCache,
  recentAnnouncements,
} from './target/announcement-cache.js';
import { listenForAnnouncements } from './target/announce-server.js';

export interface EntryDaemon {
  /** Hands everything over, lets running requests end, and resolves with what was cut. */
  readonly stop: () => Promise<{ readonly cutSessions: number }>;
}

const CLASSIFIER_TEXTS = 5_000;
const DRAW_TIMEOUT_MS = 300;
const STOP_POLL_MS = 20;
/** How often and how soon a new owner that cannot be reached yet is tried again. */
const INFORM_ATTEMPTS = 50;
const INFORM_RETRY_MS = 10;

/**
 * Starts an entry.
 *
 * @throws when an address is taken or a certificate cannot be read
 */
export async function startEntry(settings: EntrySettings): Promise<EntryDaemon> {
  const { entry, requests, timing } = settings;
  const log = createLog('entry');
  const counters = createCounters('entry', settings.statsd);
  await loadSyntax();
  const keyIndex = createKeyIndex();
  const homes = createRateHomes();
  const announcements = createAnnouncementCache();
  const channels = new Map<LinkPeer, AnswerChannel>();
  const requestedAtMs = new Map<string, number>();
  let isStopping = false;
  // Set last: events that come before the first caller have nobody to go to.
  const running: { callers: CallerRegistry | undefined } = { callers: undefined };

  const localChannel: AnswerChannel = {
    send: (message) => {
      queueMicrotask(() => {
        if (running.callers) dispatchAnswer(running.callers, message);
      });
    },
  };

  const linkServer = await listenForLinks(
    entry.linkAddress,
    { secret: settings.link.secret, ...DEFAULT_LINK_TIMING },
    { onRequest: answerLinkRequest, onNotify: takeLinkEvent, onClose: forgetPeer },
  );
  const control: ControlClient = startControlClient(settings, log, {
    onRecords: (deltas) => {
      const hasWithdrawn = updateKeyIndex(keyIndex, deltas);
      reconcileOwners(owners);
      links.refresh();
      informNewOwners(deltas);
      if (!hasWithdrawn || !running.callers) return;
      closeWithdrawn(running.callers, ({ customer, key }) => {
        return key !== undefined && isKeyInForce(keyIndex, customer, key);
      });
    },
    onStatusRequest: () => ({
      entryId: entry.id,
      callers: running.callers?.sessions.size ?? 0,
      owners: describeOwners(owners),
      counters: counters.totals(),
    }),
    onLeaseEnded: () => {
      closeAllOwners(owners);
      links.refresh();
    },
  });
  const owners: OwnerRegistry = createOwnerRegistry(settings, control, counters);
  const links: EntryLinks = createEntryLinks({
    records: control.records,
    linkSecret: settings.link.secret,
    ownIncarnation: control.incarnation,
    ownsLocally: (group, epoch) => findOwner(owners, group, epoch) !== undefined,
    sendLocally: (group, epoch, message) => {
      deliverToOwner(owners, localChannel, group, epoch, message);
    },
    askLocalFate: (group, query) => answerFateQuery(owners, group, query),
    requestResource: (resource) => {
      requestResource(resource, undefined);
    },
    reportSuspect: (incarnation, linkAddress) => {
      void control.call('entry/suspect', { incarnation, linkAddress });
    },
    onPortLost: (port) => {
      if (running.callers) dispatchPortLost(running.callers, port);
    },
    onNotify: takeLinkEvent,
  });
  const rates = createRateClient({
    rateWaitMs: requests.rateWaitMs,
    homeWaitMs: requests.failoverWaitMs,
    draw: drawTokens,
  });
  const announceServer = await listenForAnnouncements(
    entry.announceAddress,
    settings.targets.announceToken,
    counters,
    routeAnnouncement,
  );
  running.callers = await listenForCallers({
    address: entry.callerAddress,
    maxCallers: entry.maxCallers,
    secureContext: readSecureContext(),
    sessionPrefix: randomUUID().slice(0, 13),
    environment: {
      counters,
      log: createLog('caller'),
      locator: links,
      rates,
      classify: createClassifier(CLASSIFIER_TEXTS),
      maxMessageBytes: entry.maxMessageBytes,
      failoverWaitMs: requests.failoverWaitMs,
      hasFreshSettings: control.hasFreshSettings,
      readAgeAllowanceMs: (customer) => {
        return customerSetting(control, customer)?.readAgeAllowanceMs ?? null;
      },
      isStopping: () => isStopping,
    },
    rules: {
      isKnownGroup: (group) => control.records.has(`groups/${group}`),
      hasFreshSettings: control.hasFreshSettings,
      isKnownCustomer: (customer) => customerSetting(control, customer) !== undefined,
      findKey: (customer, secret) => findKey(keyIndex, customer, secret),
      openCustomer: (group) => {
        const name = groupSetting(control, group).openToAllAs;
        return name === null ? undefined : toCustomerName(name);
      },
    },
    onForeignCancel: (processId, secretKey) => {
      forwardCancel(processId, secretKey);
    },
  });
  log(`entry ${entry.id} serves callers at ${entry.callerAddress}`);
  return { stop };

  function readSecureContext() {
    const { tlsCertificateFile, tlsKeyFile } = entry;
    if (tlsCertificateFile === undefined || tlsKeyFile === undefined) return undefined;
    return createSecureContext({
      cert: readFileSync(tlsCertificateFile),
      key: readFileSync(tlsKeyFile),
    });
  }

  function channelOf(peer: LinkPeer): AnswerChannel {
    const known = channels.get(peer);
    if (known) return known;
    const created: AnswerChannel = {
      send: (message) => peer.notify('owner/answer', message),
    };
    channels.set(peer, created);
    return created;
  }

  function forgetPeer(peer: LinkPeer): void {
    const channel = channels.get(peer);
    if (!channel) return;
    channels.delete(peer);
    dropChannel(owners, channel);
  }

  function takeLinkEvent(peer: LinkPeer, method: string, params: unknown): void {
    switch (method) {
      case 'owner/message': {
        const { group, epoch, message } = params as {
          group: GroupName;
          epoch: number;
          message: ToOwnerMessage;
        };
        deliverToOwner(owners, channelOf(peer), group, epoch, message);
        return;
      }
      case 'owner/answer':
        if (running.callers) dispatchAnswer(running.callers, params as FromOwnerMessage);
        return;
      case 'target/announcement':
        deliverAnnouncement(owners, params as Announcement);
        return;
      case 'caller/cancel': {
        const { processId, secretKey } = params as { processId: number; secretKey: number };
        if (running.callers) cancelLocal(running.callers, processId, secretKey);
        return;
      }
      default:
        counters.count('refusal.unknown-link-event');
    }
  }

  function answerLinkRequest(_peer: LinkPeer, method: string, params: unknown): unknown {
    switch (method) {
      case 'request/fate': {
        const { group, query } = params as { group: GroupName; query: FateQuery };
        return answerFateQuery(owners, group, query);
      }
      case 'rate/draw':
        return answerDrawHere(params as TokenDraw) ?? null;
      default:
        throw new Error(`unknown method ${method}`);
    }
  }

  function answerDrawHere(draw: TokenDraw): TokenGrant | undefined {
    const setting = customerSetting(control, draw.customer);
    const heldEpoch = control.heldEpoch(`customer/${draw.customer}`);
    return answerDraw(homes, draw, setting, heldEpoch, performance.now());
  }

  async function drawTokens(draw: Omit<TokenDraw, 'epoch'>): Promise<TokenGrant | undefined> {
    const resource: Resource = `customer/${draw.customer}`;
    const assignment = assignmentOf(control, resource);
    if (!assignment) {
      requestResource(resource, undefined);
      return undefined;
    }
    const request: TokenDraw = { ...draw, epoch: assignment.epoch };
    if (assignment.incarnation === control.incarnation()) return answerDrawHere(request);
    const peer = links.linkTo(assignment.linkAddress);
    if (!peer) return undefined;
    const answer = await peer.request('rate/draw', request, DRAW_TIMEOUT_MS);
    return (answer.orDefault(null) as TokenGrant | null) ?? undefined;
  }

  function requestResource(resource: Resource, zone: string | undefined): void {
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(resource) ?? 0) < timing.heartbeatMs) return;
    requestedAtMs.set(resource, nowMs);
    void control.call('resource/request', { resource, zone });
  }

  /** A group's new owner learns about its servers from the entries that they announce themselves to. */
  function informNewOwners(deltas: readonly RecordDelta[]): void {
    for (const { stored } of deltas) {
      if (stored.record.kind !== 'assignment') continue;
      const group = /^group\/(.+)$/.exec(stored.record.assignment.resource)?.[1];
      if (group !== undefined) informOwner(toGroupName(group), INFORM_ATTEMPTS);
    }
  }

  function informOwner(group: GroupName, attempts: number): void {
    const recent = recentAnnouncements(announcements, group, performance.now());
    const assignment = assignmentOf(control, `group/${group}`);
    if (recent.length === 0 || !assignment) return;
    const isReached = recent.every((announcement) => {
      if (deliverAnnouncement(owners, announcement)) return true;
      const peer = links.linkTo(assignment.linkAddress);
      return peer?.notify('target/announcement', announcement) ?? false;
    });
    if (isReached || attempts <= 1) return;
    setTimeout(() => {
      informOwner(group, attempts - 1);
    }, INFORM_RETRY_MS);
  }

  function routeAnnouncement(announcement: Announcement): void {
    cacheAnnouncement(announcements, announcement, performance.now());
    if (deliverAnnouncement(owners, announcement)) return;
    const resource: Resource = `group/${announcement.group}`;
    const assignment = assignmentOf(control, resource);
    const peer = assignment && links.linkTo(assignment.linkAddress);
    if (peer?.notify('target/announcement', announcement)) return;
    const zone = announcement.role === 'primary' ? announcement.zone : undefined;
    requestResource(resource, zone);
  }

  function forwardCancel(processId: number, secretKey: number): void {
    const addresses = new Set<string>();
    for (const { record } of control.records.values()) {
      if (record.kind === 'assignment') addresses.add(record.assignment.linkAddress);
    }
    for (const address of addresses) {
      links.linkTo(address)?.notify('caller/cancel', { processId, secretKey });
    }
  }

  async function stop(): Promise<{ cutSessions: number }> {
    isStopping = true;
    log(`entry ${entry.id} is stopping`);
    control.startStopping();
    if (running.callers) stopAccepting(running.callers);
    announceServer.close();
    announceServer.closeAllConnections();
    await handOverAll(owners, requests.stopGraceMs);
    const cutSessions = await awaitCallers(performance.now() + requests.stopGraceMs);
    await control.call('entry/ended', { incarnation: control.incarnation() });
    control.close();
    links.close();
    await linkServer.close();
    counters.close();
    log(`entry ${entry.id} has stopped`);
    return { cutSessions };
  }

  async function awaitCallers(untilMs: number): Promise<number> {
    const open = () => running.callers?.sessions.size ?? 0;
    while (open() > 0 && performance.now() < untilMs) {
      if (running.callers) closeIdle(running.callers);
      await delay(STOP_POLL_MS);
    }
    const cutSessions = open();
    for (const session of running.callers?.sessions.values() ?? []) session.socket.destroy();
    return cutSessions;
  }
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
