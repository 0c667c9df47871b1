/** Creates the components of an entry and connects them. */
import { setTimeout as delay } from 'node:timers/promises';
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import {
  customerSetting,
  type EntrySettings,
  groupSetting,
  type RecordDelta,
  type Resource,
  toCustomerName,
} from '@bramleykeel/core';
import {
  createCounters,
  createLog,
  DEFAULT_LINK_TIMING,
  type LinkPeer,
  listenForLinks,
  readProcessLimits,
  surviveUnhandledRejections,
} from '@bramleykeel/link';
import {
  type ControlClient,
  createRateClient,
  createRateHomes,
  drawFromHome,
  type ExplainPart,
  type RateDrawContext,
  describeRateHome,
  startControlClient,
} from '@bramleykeel/entry-shared';
import { createClassifier, loadParser } from '@bramleykeel/postgres-wire';
import {
  type CallerRegistry,
  closeIdleSessions,
  closeOverdueSessions,
  closeSessionsWithWithdrawnKeys,
  dispatchOwnerMessage,
  dispatchPortLost,
  listenForCallers,
  stopAccepting,
} from './accept/caller-registry.js';
import { createCallerLimits } from './accept/caller-limits.js';
import type { CallerEnvironment } from './accept/caller-state.js';
import type { AccessRules } from './accept/startup.js';
import {
  type EntryApp,
  handleEvent,
  handleLinkClosed,
  handleRequest,
  notifyOwnerEnded,
} from './app.js';
import { createKeyIndex, findKey, isKeyInForce, updateKeyIndex } from './authenticate/key-index.js';
import { createEntryLinks, type EntryLinks } from './locate/owner-locator.js';
import type { AnswerChannel } from './owner/answer-channel.js';
import {
  answerRequestStatusQuery,
  closeAllOwners,
  createOwnerRegistry,
  deliverAnnouncement,
  deliverToOwner,
  describeOwners,
  findOwner,
  handOverAll,
  type OwnerRegistry,
  reconcileOwners,
} from './owner/owner-registry.js';
import { type ExplainRequest, explainRequest } from './owner/explain-request.js';
import { listenForAnnouncements } from './target/announce-server.js';
import { createAnnouncementCache } from './target/announcement-cache.js';
import {
  type AnnouncementRouter,
  informNewOwners,
  routeAnnouncement,
} from './target/announcement-router.js';

export interface EntryDaemon {
  /**
   * Hands over all groups, waits for running requests to end, and closes all connections. Resolves
   * with the number of sessions that were still open when the stop grace period ended.
   */
  readonly stop: () => Promise<{ readonly cutSessions: number }>;
}

/** Number of query texts whose classification is cached. */
const CLASSIFIER_CACHE_ENTRIES = 5_000;
/** How often callers are checked for messages that were not finished in time. */
const TIMEOUT_CHECK_MS = 1_000;
const STOP_POLL_INTERVAL_MS = 20;
/** Last part of the time to stop, in which sessions that never pause are closed after an answer. */
const BUSY_SESSION_CLOSE_SHARE = 0.3;

/**
 * Starts an entry.
 *
 * @throws when an address is taken or a certificate cannot be read
 * @example
 * const daemon = await startEntry(settings);
 * await daemon.stop();
 */
export async function startEntry(settings: EntrySettings): Promise<EntryDaemon> {
  const { entry, requests, timing } = settings;
  const log = createLog('entry');
  const counters = createCounters('entry', settings.statsd);
  const limits = readProcessLimits(settings.limits);
  await loadParser();
  const secureContext = readSecureContext(settings);
  const keyIndex = createKeyIndex();
  const resourceRequestedAtMs = new Map<Resource, number>();
  // Set last: before the entry listens for callers, there are no sessions to deliver events to.
  const callerRegistry: { current: CallerRegistry | undefined } = { current: undefined };
  let closesAfterAnswers = false;

  const linkServer = await listenForLinks(
    entry.linkAddress,
    {
      secret: settings.link.secret,
      ...DEFAULT_LINK_TIMING,
      maxDescriptors: settings.limits.maxDescriptors,
    },
    {
      onRequest: (_peer, method, params) => handleRequest(app, method, params),
      onNotify: dispatchEvent,
      onClose: (peer) => {
        handleLinkClosed(app, peer);
      },
    },
  );
  const controlOptions = {
    entryId: entry.id,
    linkAddress: entry.linkAddress,
    zone: entry.zone,
    linkSecret: settings.link.secret,
    timing,
    memberAddresses: () => settings.members.map(({ linkAddress }) => linkAddress),
  };
  const control: ControlClient = startControlClient(controlOptions, log, {
    onRecords: handleRecordChanges,
    onStatusRequest: () => ({
      entryId: entry.id,
      callers: callerRegistry.current?.sessions.size ?? 0,
      owners: describeOwners(owners),
      counters: counters.totals(),
    }),
    onExplainRequest: explain,
    onLeaseEnded: () => {
      closeAllOwners(owners);
      links.refresh();
    },
  });
  const owners: OwnerRegistry = createOwnerRegistry(
    settings,
    control,
    counters,
    (owner, running) => {
      notifyOwnerEnded(app, owner, running);
    },
  );
  const draws: RateDrawContext = {
    homes: createRateHomes(),
    control,
    linkTo: (linkAddress) => links.linkTo(linkAddress),
    limitOf: (customer) => customerSetting(control, customer),
    requestResource,
  };
  const app: EntryApp = {
    counters,
    owners,
    draws,
    channels: new Map(),
    links: () => links,
    callers: () => callerRegistry.current,
  };
  const links: EntryLinks = createLinks();
  const router: AnnouncementRouter = {
    cache: createAnnouncementCache(),
    control,
    links: () => links,
    deliverLocally: (announcement) => deliverAnnouncement(owners, announcement),
    requestResource,
  };
  const announceServer = await listenForAnnouncements(
    entry.announceAddress,
    settings.targets.announceToken,
    limits,
    counters,
    (announcement) => {
      routeAnnouncement(router, announcement);
    },
  );
  callerRegistry.current = await listenForCallers({
    address: entry.callerAddress,
    secureContext,
    sessionPrefix: randomUUID().slice(0, 13),
    environment: createCallerEnvironment(),
    rules: createAccessRules(),
    onUnmatchedCancel: forwardCancel,
  });
  log(`entry ${entry.id} serves callers at ${entry.callerAddress}`);
  // After a stall of this process, input that is waiting in sockets is read first.
  const timeoutCheck = setInterval(() => setImmediate(closeOverdue), TIMEOUT_CHECK_MS);
  const endSurviving = surviveUnhandledRejections(log, counters);
  return { stop };

  function explain(part: ExplainPart, params: unknown): unknown {
    if (part === 'explain/choice') return explainRequest(owners, params as ExplainRequest);
    const { customer } = params as Pick<ExplainRequest, 'customer'>;
    const limit = customerSetting(control, customer);
    const epoch = control.heldEpoch(`customer/${customer}`);
    if (!limit || epoch === undefined) return undefined;
    return describeRateHome(draws.homes, customer, limit, epoch);
  }

  function closeOverdue(): void {
    if (callerRegistry.current) closeOverdueSessions(callerRegistry.current);
  }

  function createLinks(): EntryLinks {
    const localChannel: AnswerChannel = {
      send: (message) => {
        queueMicrotask(() => {
          if (callerRegistry.current) dispatchOwnerMessage(callerRegistry.current, message);
        });
      },
    };
    return createEntryLinks({
      records: control.records,
      linkSecret: settings.link.secret,
      ownIncarnation: control.incarnation,
      isLocalOwner: (group, epoch) => findOwner(owners, group, epoch) !== undefined,
      sendToLocalOwner: (group, epoch, message) => {
        deliverToOwner(owners, localChannel, group, epoch, message);
      },
      queryLocalRequestStatus: (group, query) => answerRequestStatusQuery(owners, group, query),
      requestResource: (resource) => {
        requestResource(resource, undefined);
      },
      reportSuspect: (incarnation, linkAddress) => {
        void control.call('entry/suspect', { incarnation, linkAddress });
      },
      onPortLost: (port) => {
        if (callerRegistry.current) dispatchPortLost(callerRegistry.current, port);
      },
      onNotify: dispatchEvent,
    });
  }

  function createCallerEnvironment(): CallerEnvironment {
    return {
      counters,
      log: createLog('caller'),
      locator: links,
      rates: createRateClient({
        rateWaitMs: requests.rateWaitMs,
        homeWaitMs: () => requests.failoverWaitMs,
        draw: (draw) => drawFromHome(draws, draw),
      }),
      classify: createClassifier(CLASSIFIER_CACHE_ENTRIES),
      maxMessageBytes: entry.maxMessageBytes,
      limits: createCallerLimits(
        limits,
        { maxCallers: entry.maxCallers, messageTimeoutMs: settings.limits.messageTimeoutMs },
        createLog('limits'),
      ),
      failoverWaitMs: requests.failoverWaitMs,
      hasFreshSettings: control.hasFreshSettings,
      readAgeAllowanceMs: (customer) =>
        customerSetting(control, customer)?.readAgeAllowanceMs ?? null,
      closesAfterAnswers: () => closesAfterAnswers,
    };
  }

  function createAccessRules(): AccessRules {
    return {
      isKnownGroup: (group) => control.records.has(`groups/${group}`),
      hasFreshSettings: control.hasFreshSettings,
      isKnownCustomer: (customer) => customerSetting(control, customer) !== undefined,
      findKey: (customer, secret) => findKey(keyIndex, customer, secret),
      keylessCustomer: (group) => {
        const name = groupSetting(control, group).openToAllAs;
        return name === null ? undefined : toCustomerName(name);
      },
    };
  }

  function dispatchEvent(peer: LinkPeer, method: string, params: unknown): void {
    handleEvent(app, peer, method, params);
  }

  function handleRecordChanges(deltas: readonly RecordDelta[]): void {
    const hasWithdrawnKey = updateKeyIndex(keyIndex, deltas);
    reconcileOwners(owners);
    links.refresh();
    informNewOwners(router, deltas);
    if (!hasWithdrawnKey || !callerRegistry.current) return;
    closeSessionsWithWithdrawnKeys(callerRegistry.current, ({ customer, key }) => {
      return key !== undefined && isKeyInForce(keyIndex, customer, key);
    });
  }

  function requestResource(resource: Resource, zone: string | undefined): void {
    const nowMs = performance.now();
    if (nowMs - (resourceRequestedAtMs.get(resource) ?? 0) < timing.heartbeatMs) return;
    resourceRequestedAtMs.set(resource, nowMs);
    void control.call('resource/request', { resource, zone });
  }

  /** Forwards a cancel request, which may arrive at any entry, to all holders of resources. */
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
    log(`entry ${entry.id} is stopping`);
    control.startStopping();
    if (callerRegistry.current) stopAccepting(callerRegistry.current);
    announceServer.close();
    announceServer.closeAllConnections();
    await handOverAll(owners, requests.stopGraceMs);
    const cutSessions = await drainCallers(performance.now() + requests.stopGraceMs);
    await control.call('entry/ended', { incarnation: control.incarnation() });
    control.close();
    links.close();
    await linkServer.close();
    counters.close();
    clearInterval(timeoutCheck);
    endSurviving();
    log(`entry ${entry.id} has stopped`);
    return { cutSessions };
  }

  async function drainCallers(deadlineMs: number): Promise<number> {
    const countOpenSessions = () => callerRegistry.current?.sessions.size ?? 0;
    const closeBusyFromMs = deadlineMs - requests.stopGraceMs * BUSY_SESSION_CLOSE_SHARE;
    while (countOpenSessions() > 0 && performance.now() < deadlineMs) {
      closesAfterAnswers = performance.now() >= closeBusyFromMs;
      if (callerRegistry.current) closeIdleSessions(callerRegistry.current);
      await delay(STOP_POLL_INTERVAL_MS);
    }
    const cutSessions = countOpenSessions();
    for (const session of callerRegistry.current?.sessions.values() ?? []) session.socket.destroy();
    return cutSessions;
  }
}

function readSecureContext({ entry }: EntrySettings) {
  const { tlsCertificateFile, tlsKeyFile } = entry;
  if (tlsCertificateFile === undefined || tlsKeyFile === undefined) return undefined;
  return createSecureContext({
    cert: readFileSync(tlsCertificateFile),
    key: readFileSync(tlsKeyFile),
  });
}
