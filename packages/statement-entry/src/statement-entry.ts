/** Assembles an entry for statement-level dialects. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type AdmissionWaits,
  admissionWaitsAt,
  type CustomerName,
  documentOf,
  evacuatedZones,
  evacuationKey,
  DEFAULT_PLACEMENT_BOUNDS,
  type GroupName,
  homeRulesOf,
  type RateLimit,
  type RecordDelta,
  type StatementSettings,
} from '@bramleykeel/core';
import {
  type ControlClient,
  createRateClient,
  createRateHomes,
  drawFromHome,
  type RateDrawContext,
  startControlClient,
} from '@bramleykeel/entry-shared';
import { type LinkPeer, listenForLinks } from '@bramleykeel/link';
import { checkSessionStart, isKeyWithdrawn } from './accept/access.js';
import { closeSession, isIdle } from './accept/session.js';
import {
  drainSessions,
  lastStartOf,
  stopPhaseAt,
  type StopSchedule,
} from './accept/session-drain.js';
import {
  type CallerSession,
  createSession,
  type SessionEnvironment,
} from './accept/session-state.js';
import {
  answerOfferRequest,
  handleEvent,
  handleLinkClosed,
  handleRequest,
  type StatementApp,
  notifyOwnerEnded,
} from './app.js';
import {
  type EncodedQuestion,
  explainAtEntry,
  type ExplainMethod,
} from './explain/explain-at-entry.js';
import { createEntryLinks, ENTRY_LINK_TIMING, type EntryLinks } from './locate/entry-links.js';
import { createOwnerTransport } from './locate/owner-transport.js';
import { createResourceRequests } from './locate/resource-requests.js';
import { locateReader, readerResource } from './near/locate-reader.js';
import { createReadAttempt, missingResultOf } from './near/read-attempt.js';
import { createReaderClient } from './near/reader-client.js';
import { createReaderTransport } from './near/reader-transport.js';
import {
  decodeOffer,
  type EncodedReaderOffer,
  type EncodedReaderOfferRequest,
} from './near/reader-offer.js';
import {
  closeEndedReaders,
  createReplicaReads,
  discardOffers,
  handOverReaders,
  readAtReplica,
  releaseServer,
  type ReplicaReads,
} from './near/replica-reads.js';
import {
  queryOwner,
  createOwnerClient,
  handleLinkLost,
  failSupersededStatements,
  type OwnerClient,
  handleOutcome,
} from './locate/owner-client.js';
import { handOverMisplacedGroups } from './owner/home-handover.js';
import { startInstanceRelief } from './owner/instance-relief.js';
import type { EntryChannel } from './owner/owner-app.js';
import {
  closeAllStatementOwners,
  createStatementOwnerRegistry,
  handOverStatementOwners,
  reconcileStatementOwners,
  type StatementOwnerRegistry,
} from './owner/owner-registry.js';
import type { CallerPort } from './types/caller-port.js';
import { DEFAULT_MAX_CONNECTIONS } from './target/connection-budget.js';
import type { ExplainAnswer, ExplainRequest } from './types/explanation.js';
import type { StatementEntry, StatementEntryOptions } from './types/entry-options.js';

const READER_OFFER_TIMEOUT_MS = 400;
const READER_RELEASE_TIMEOUT_MS = 300;
const LOCAL_CHANNEL_ID = 'local';
/**
 * Maximum wait of a caller for an entry's first settings, in milliseconds. Callers of the users' platform
 * give up after 2 s; after a loss of all instances control is available again within 1 s.
 */
const FIRST_SETTINGS_WAIT_MS = 1_500;
const SETTINGS_POLL_MS = 20;
/** Time until the load balancer stops sending new callers: two failed checks, 1 s apart. In milliseconds. */
const BALANCER_UPDATE_MS = 2_400;
/** Control finds out by itself if the notice of the end does not arrive. In milliseconds. */
const ENDED_NOTICE_TIMEOUT_MS = 200;
/** Time that an open transaction has to finish before its group is handed over, in milliseconds. */
const HANDOVER_GRACE_MS = 700;
/** Maximum wait for a customer's tokens before it is refused for exceeding its rate, in milliseconds. */
const RATE_WAIT_MS = 100;

/**
 * Starts an entry.
 *
 * @throws when the link address is in use
 * @example
 * const entry = await startStatementEntry(options);
 * const session = await entry.startSession('bookings', key, port);
 */
export async function startStatementEntry(options: StatementEntryOptions): Promise<StatementEntry> {
  const { log, counters, timing, readDistribution = 'nearest' } = options;
  const startedAtMs = performance.now();
  const sessions = new Set<CallerSession>();
  let settings: StatementSettings | undefined;
  let evacuated: ReadonlySet<string> = new Set();
  let stopSchedule: StopSchedule | undefined;
  let transactionCount = 0;

  const linkServer = await listenForLinks(
    options.linkAddress,
    {
      secret: options.linkSecret,
      ...ENTRY_LINK_TIMING,
      maxDescriptors: options.maxDescriptors,
      onTooMany: () => {
        counters.count('limit.link-connections');
      },
    },
    {
      onRequest: (_peer, method, params) => handleRequest(app, method, params),
      onNotify: forwardEvent,
      onClose: (peer) => {
        handleLinkClosed(app, peer);
      },
    },
  );
  const control: ControlClient = startControlClient(options, log, {
    onRecords: applyRecords,
    onStatusRequest: () => ({ entryId: options.entryId, counters: counters.totals() }),
    onSuspension: () => {
      discardOffers(replicaReads);
    },
    onLeaseEnded: () => {
      closeAllStatementOwners(registry);
      closeEndedReaders(replicaReads);
      failSupersededStatements(owners);
    },
  });
  const resources = createResourceRequests(() => control, timing.renewEveryMs);
  const registry: StatementOwnerRegistry = createStatementOwnerRegistry({
    ...options,
    control,
    settings: () => settings,
    evacuatedZones: () => evacuated,
    readDistribution,
    placementBounds: options.placementBounds ?? DEFAULT_PLACEMENT_BOUNDS,
    releaseFromReader: async ({ incarnation, linkAddress }, group, server) => {
      if (incarnation === control.incarnation()) return releaseServer(replicaReads, group, server);
      const peer = links.linkTo(linkAddress);
      const released = await peer?.request(
        'reader/release',
        [group, server],
        READER_RELEASE_TIMEOUT_MS,
      );
      return released?.orDefault(false) === true;
    },
    onOwnerEnded: (owner, running) => {
      notifyOwnerEnded(app, owner, running);
    },
  });
  const links: EntryLinks = createEntryLinks({
    linkSecret: options.linkSecret,
    records: control.records,
    onNotify: forwardEvent,
    onLinkLost: (linkAddress) => {
      handleLinkLost(owners, linkAddress);
    },
    onLinkOpen: () => undefined,
    reportSuspect: (incarnation, linkAddress) => {
      void control.call('entry/suspect', { incarnation, linkAddress });
    },
  });
  const localChannel: EntryChannel = {
    id: LOCAL_CHANNEL_ID,
    isLocal: true,
    answer: (number, outcome) => {
      handleOutcome(owners, number, outcome);
    },
  };
  const owners: OwnerClient = createOwnerClient({
    control,
    links: () => links,
    regionOf: options.regionOf,
    homeRules: () => homeRulesOf(settings),
    ...createOwnerTransport(registry, localChannel, () => links),
    requestResource: resources.request,
    lastStartMs: () => (stopSchedule ? lastStartOf(stopSchedule) : Number.POSITIVE_INFINITY),
  });
  const region = options.regionOf(options.zone);
  const readerOf = (group: GroupName) => readerResource(group, region);
  const replicaReads: ReplicaReads = createReplicaReads({
    regionOf: options.regionOf,
    evacuatedZones: () => evacuated,
    homeRules: () => homeRulesOf(settings),
    readDistribution,
    mayBeCold: (group) => (settings?.groups.get(group)?.coldRatePerSecond ?? 0) > 0,
    openTarget: options.openTarget,
    counters,
    log,
    formerReader: (group) => control.formerHolder(readerOf(group)),
    maxServerConnections: (group) =>
      settings?.groups.get(group)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    requestOffer: (group, readerRunning) => {
      const { zone, entryId } = options;
      const offerRequest = { zone, entryId, readerRunning };
      return queryOwner(owners, group, {
        method: 'reader/ask',
        params: (epoch): EncodedReaderOfferRequest => {
          const request = [group, epoch, zone, entryId] as const;
          return readerRunning.length > 0 ? [...request, readerRunning] : request;
        },
        answerLocally: (epoch) => answerOfferRequest({ registry }, group, epoch, offerRequest),
        timeoutMs: READER_OFFER_TIMEOUT_MS,
      }).then((encoded) => decodeOffer(encoded as EncodedReaderOffer | null | undefined));
    },
  });
  const readers = createReaderClient({
    regionOf: options.regionOf,
    counters,
    locateReader: (group) =>
      locateReader(
        { control, region, regionOf: options.regionOf, requestResource: resources.request },
        group,
      ),
    runHere: async (group, draft, deadlineMs) => {
      const attempt = createReadAttempt();
      const outcome = await readAtReplica(replicaReads, group, draft, deadlineMs, attempt);
      return outcome ?? missingResultOf(attempt);
    },
    sendToReader: createReaderTransport(() => links),
  });
  const draws: RateDrawContext = {
    homes: createRateHomes(),
    control,
    linkTo: (linkAddress) => links.linkTo(linkAddress),
    limitOf: (customer) => limitOf(settings, customer),
    requestResource: resources.request,
  };
  const app: StatementApp = {
    counters,
    registry,
    owners,
    draws,
    replicaReads,
    channels: new Map(),
    noOwnerRetryMs: timing.renewEveryMs,
    channelCount: 0,
  };
  const environment: SessionEnvironment = {
    settings: () => settings,
    hasFreshSettings: control.hasFreshSettings,
    stopPhase: () => (stopSchedule ? stopPhaseAt(stopSchedule, performance.now()) : 'serving'),
    returnsTokens: options.overloadControl === true,
    rates: createRateClient({
      rateWaitMs: RATE_WAIT_MS,
      homeWaitMs: () => waits().homeMs,
      ratePerSecond: (customer) => limitOf(settings, customer)?.ratePerSecond,
      draw: (draw) => drawFromHome(draws, draw),
    }),
    waits,
    owners,
    readers,
    counters,
    log: options.callerLog,
    overloadControl: options.overloadControl ?? false,
    nextTransactionNumber: () => {
      transactionCount += 1;
      return transactionCount;
    },
    successCount: 0,
  };
  const reconcileTimer = setInterval(() => {
    reconcileStatementOwners(registry);
    closeEndedReaders(replicaReads);
    if (!stopSchedule) handOverMisplacedGroups(registry);
    resources.requestRateHome(settings);
  }, timing.renewEveryMs);
  const stopRelief = startInstanceRelief({
    registry,
    linkMbps: options.linkMbps,
    isStopping: () => stopSchedule !== undefined,
  });
  log(`entry ${options.entryId} listens for other entries at ${options.linkAddress}`);
  return { startSession, endSession, explain, isReady, stop };

  function explain(request: ExplainRequest): Promise<ExplainAnswer> {
    const answerLocally = (method: ExplainMethod, params: EncodedQuestion) =>
      handleRequest(app, method, params);
    const { entryId, zone, regionOf } = options;
    const ownState = { control, environment, draws, links, answerLocally };
    return explainAtEntry({ entryId, zone, regionOf, ...ownState }, request);
  }

  async function startSession(database: string, key: string | undefined, port: CallerPort) {
    const untilMs = performance.now() + FIRST_SETTINGS_WAIT_MS;
    while (!settings && !stopSchedule && performance.now() < untilMs) await delay(SETTINGS_POLL_MS);
    const isRefused = environment.stopPhase() !== 'serving';
    const reason = isRefused ? 'entry-stopping' : checkSessionStart(environment, database, key);
    if (reason !== undefined) {
      counters.count(`refusal.${reason}`);
      return reason;
    }
    const session = createSession(database, key, port, environment);
    sessions.add(session);
    return session;
  }

  function endSession(session: CallerSession): void {
    sessions.delete(session);
    closeSession(session);
  }

  function waits(): AdmissionWaits {
    return admissionWaitsAt(performance.now() - startedAtMs);
  }

  function isReady(): boolean {
    return !stopSchedule && settings !== undefined && control.hasFreshSettings();
  }

  function applyRecords(deltas: readonly RecordDelta[]): void {
    if (deltas.some(({ stored }) => stored.record.kind === 'document')) applyDocument();
    if (deltas.some(({ key }) => key.startsWith(evacuationKey(''))))
      evacuated = evacuatedZones(control);
    reconcileStatementOwners(registry);
    closeEndedReaders(replicaReads);
    failSupersededStatements(owners);
    links.prune();
  }

  function forwardEvent(peer: LinkPeer, method: string, params: unknown): void {
    handleEvent(app, peer, method, params);
  }

  function applyDocument(): void {
    const document = documentOf(control);
    const decoded = document && options.decodeSettings(document.body);
    if (!decoded) {
      log(
        `settings document ${document?.version ?? '?'} cannot be decoded; keeping the previous settings`,
      );
      return;
    }
    settings = decoded;
    log(`settings document ${decoded.version} is in force`);
    for (const session of sessions) {
      if (isIdle(session) && isKeyWithdrawn(session)) session.port.close();
    }
  }

  async function stop(stopListening: () => void): Promise<void> {
    const startedAtMs = performance.now();
    stopSchedule = { startedAtMs, graceMs: options.stopGraceMs };
    log(`entry ${options.entryId} is stopping`);
    control.startStopping();
    setTimeout(stopListening, BALANCER_UPDATE_MS);
    await Promise.all([
      handOverStatementOwners(registry, HANDOVER_GRACE_MS),
      handOverReaders(replicaReads, HANDOVER_GRACE_MS, releaseReader),
      drainSessions(sessions, stopSchedule, startedAtMs + BALANCER_UPDATE_MS),
    ]);
    const ended = control.call('entry/ended', { incarnation: control.incarnation() });
    await Promise.race([ended, delay(ENDED_NOTICE_TIMEOUT_MS)]);
    clearInterval(reconcileTimer);
    stopRelief();
    control.close();
    links.close();
    await linkServer.close();
    counters.close();
    log(`entry ${options.entryId} has stopped`);
  }

  async function releaseReader(group: GroupName): Promise<void> {
    const resource = readerOf(group);
    const epoch = control.heldEpoch(resource);
    if (epoch === undefined) return;
    const incarnation = control.incarnation();
    await control.call('resource/release', { resource, epoch, incarnation });
  }
}

function limitOf(
  settings: StatementSettings | undefined,
  customer: CustomerName,
): RateLimit | undefined {
  return settings?.customers.get(customer);
}
