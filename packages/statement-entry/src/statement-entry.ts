/** Wires the parts of an entry that speaks a statement-level dialect. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  assignmentOf,
  type CustomerName,
  documentOf,
  type RateLimit,
  type RecordDelta,
  type Resource,
  type StatementRefusalReason,
  type StatementSettings,
  type TimingSettings,
} from '@bramleykeel/core';
import {
  type ControlClient,
  createRateClient,
  createRateHomes,
  drawFromHome,
  type RateDrawContext,
  startControlClient,
} from '@bramleykeel/entry-shared';
import {
  type Counters,
  DEFAULT_LINK_TIMING,
  type LinkPeer,
  listenForLinks,
  type Log,
} from '@bramleykeel/link';
import { checkSessionStart, isKeyWithdrawn } from './accept/access.js';
import { closeSession, isIdle } from './accept/session.js';
import {
  type CallerSession,
  createSession,
  type SessionEnvironment,
} from './accept/session-state.js';
import {
  answerNear,
  handleEvent,
  handleLinkClosed,
  handleRequest,
  type StatementApp,
  tellOwnerEnded,
} from './app.js';
import { createEntryLinks, type EntryLinks } from './locate/entry-links.js';
import { decodeOffer, type NearOfferCode, type NearOfferRequestCode } from './near/near-offer.js';
import { createNearReads, discardOffers, type NearReads } from './near/near-reads.js';
import {
  queryOwner,
  createOwnerClient,
  handleLinkLost,
  failSupersededStatements,
  type OwnerClient,
  handleOutcome,
} from './locate/owner-client.js';
import { type EntryChannel, acceptRollback, acceptStatement } from './owner/owner-app.js';
import {
  closeAllStatementOwners,
  createStatementOwnerRegistry,
  findStatementOwner,
  handOverStatementOwners,
  reconcileStatementOwners,
  type StatementOwnerRegistry,
} from './owner/owner-registry.js';
import type { CallerPort } from './types/caller-port.js';
import { encodeStatement } from './types/link-codec.js';
import type { OpenTarget, PromoteServer, ReadTargetStatus } from './types/target-port.js';

export interface StatementEntryOptions {
  readonly entryId: string;
  readonly zone: string;
  /** The region of a zone; zones of a region are near to each other. */
  readonly regionOf: (zone: string) => string;
  readonly linkAddress: string;
  readonly linkMbps?: number;
  readonly isBesideControl?: boolean;
  readonly linkSecret: string;
  readonly timing: TimingSettings;
  readonly memberAddresses: () => readonly string[];
  /** How long running statements may take after a stop was ordered. */
  readonly stopGraceMs: number;
  /** Decodes the operators' document; `undefined` when it makes no sense to this version. */
  readonly decodeSettings: (body: Uint8Array) => StatementSettings | undefined;
  readonly openTarget: OpenTarget;
  readonly readTargetStatus: ReadTargetStatus;
  readonly promoteServer: PromoteServer;
  readonly log: Log;
  /** A line for each statement that has no result. */
  readonly callerLog: Log;
  readonly counters: Counters;
}

export interface StatementEntry {
  /**
   * Starts a caller's session, or says why it may not start. An entry that has just started waits a
   * moment for its first settings.
   */
  readonly startSession: (
    database: string,
    key: string | undefined,
    port: CallerPort,
  ) => Promise<CallerSession | StatementRefusalReason>;
  readonly endSession: (session: CallerSession) => void;
  /** Whether new callers should be sent here. */
  readonly isReady: () => boolean;
  /**
   * Hands everything over and lets running statements end.
   *
   * @param stopListening called once new callers are sent elsewhere
   */
  readonly stop: (stopListening: () => void) => Promise<void>;
}

const NEAR_TIMEOUT_MS = 400;
const LOCAL_CHANNEL = 'local';
/** Time over which idle sessions are closed when the entry stops, in milliseconds. */
const CLOSE_IDLE_OVER_MS = 1_500;
const STOP_POLL_MS = 25;
/**
 * A caller waits for the first settings of an entry for this long, in milliseconds: callers of the users'
 * platform give up after 2 s, and after a loss of all instances control takes less than 1 s.
 */
const FIRST_SETTINGS_WAIT_MS = 1_500;
const SETTINGS_POLL_MS = 20;
/** Share of the turns in which an entry asks for a home, so that many entries do not all ask at once. */
const HOME_REQUEST_SHARE = 0.25;
/** The balancer needs two misses, a second apart, to send callers elsewhere. In milliseconds. */
const STILL_CALLED_MS = 2_400;
/** An open transaction may go on for this long before its group is handed over, in milliseconds. */
const HANDOVER_GRACE_MS = 700;
/** A customer's tokens are waited for this long before it counts as above its rate, in milliseconds. */
const RATE_WAIT_MS = 100;
const HOME_WAIT_MS = 400;

/**
 * Starts an entry.
 *
 * @throws when the link address is taken
 * @example
 * const entry = await startStatementEntry(options);
 * const session = entry.startSession('bookings', key, port);
 */
export async function startStatementEntry(options: StatementEntryOptions): Promise<StatementEntry> {
  const { log, counters, timing } = options;
  const sessions = new Set<CallerSession>();
  const requestedAtMs = new Map<Resource, number>();
  let settings: StatementSettings | undefined;
  let isStopping = false;
  let transactionCount = 0;

  const linkServer = await listenForLinks(
    options.linkAddress,
    { secret: options.linkSecret, ...DEFAULT_LINK_TIMING },
    {
      onRequest: (_peer, method, params) => handleRequest(app, method, params),
      onNotify: takeEvent,
      onClose: (peer) => {
        handleLinkClosed(app, peer);
      },
    },
  );
  const control: ControlClient = startControlClient(options, log, {
    onRecords: takeRecords,
    onStatusRequest: () => ({ entryId: options.entryId, counters: counters.totals() }),
    onSuspension: () => {
      discardOffers(near);
    },
    onLeaseEnded: () => {
      closeAllStatementOwners(registry);
      failSupersededStatements(owners);
    },
  });
  const registry: StatementOwnerRegistry = createStatementOwnerRegistry({
    ...options,
    control,
    settings: () => settings,
    onOwnerEnded: (owner) => {
      tellOwnerEnded(app, owner);
    },
  });
  const links: EntryLinks = createEntryLinks({
    linkSecret: options.linkSecret,
    records: control.records,
    onNotify: takeEvent,
    onLinkLost: (linkAddress) => {
      handleLinkLost(owners, linkAddress);
    },
    onLinkOpen: () => undefined,
    reportSuspect: (incarnation, linkAddress) => {
      void control.call('entry/suspect', { incarnation, linkAddress });
    },
  });
  const localChannel: EntryChannel = {
    id: LOCAL_CHANNEL,
    answer: (number, outcome) => {
      handleOutcome(owners, number, outcome);
    },
  };
  const owners: OwnerClient = createOwnerClient({
    control,
    links: () => links,
    sendLocally: (group, epoch, request) => {
      const owner = findStatementOwner(registry, group, epoch);
      if (owner) acceptStatement(owner, localChannel, request);
      return owner !== undefined;
    },
    rollBackLocally: (group, epoch, transaction) => {
      const owner = findStatementOwner(registry, group, epoch);
      if (owner) acceptRollback(owner, localChannel, transaction);
    },
    sendOverLink: ({ group, epoch, linkAddress }, request) => {
      const code = encodeStatement(group, epoch, request);
      return links.linkTo(linkAddress)?.notify('statement/run', code) ?? false;
    },
    rollBackOverLink: ({ group, epoch, linkAddress }, transaction) => {
      links.linkTo(linkAddress)?.notify('statement/rollback', [group, epoch, transaction]);
    },
    requestResource,
  });
  const near: NearReads = createNearReads({
    zone: options.zone,
    openTarget: options.openTarget,
    counters,
    requestOffer: (group) => {
      const question = { zone: options.zone, entryId: options.entryId };
      return queryOwner(owners, group, {
        method: 'near/ask',
        params: (epoch): NearOfferRequestCode => [group, epoch, options.zone, options.entryId],
        answerLocally: (epoch) => answerNear({ registry }, group, epoch, question),
        timeoutMs: NEAR_TIMEOUT_MS,
      }).then((code) => decodeOffer(code as NearOfferCode | null | undefined));
    },
  });
  const draws: RateDrawContext = {
    homes: createRateHomes(),
    control,
    linkTo: (linkAddress) => links.linkTo(linkAddress),
    limitOf: (customer) => limitOf(settings, customer),
    requestResource,
  };
  const app: StatementApp = {
    counters,
    registry,
    owners,
    draws,
    channels: new Map(),
    movedRetryMs: timing.renewEveryMs,
    channelCount: 0,
  };
  const environment: SessionEnvironment = {
    settings: () => settings,
    hasFreshSettings: control.hasFreshSettings,
    isStopping: () => isStopping,
    rates: createRateClient({
      rateWaitMs: RATE_WAIT_MS,
      homeWaitMs: HOME_WAIT_MS,
      draw: (draw) => drawFromHome(draws, draw),
    }),
    owners,
    nearReads: near,
    counters,
    log: options.callerLog,
    nextTransactionNumber: () => {
      transactionCount += 1;
      return transactionCount;
    },
    successCount: 0,
  };
  const keepTimer = setInterval(() => {
    reconcileStatementOwners(registry);
    requestHome();
  }, timing.renewEveryMs);
  log(`entry ${options.entryId} listens for other entries at ${options.linkAddress}`);
  return { startSession, endSession, isReady, stop };

  async function startSession(database: string, key: string | undefined, port: CallerPort) {
    const untilMs = performance.now() + FIRST_SETTINGS_WAIT_MS;
    while (!settings && !isStopping && performance.now() < untilMs) await delay(SETTINGS_POLL_MS);
    const reason = checkSessionStart(environment, database, key);
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

  function isReady(): boolean {
    return !isStopping && settings !== undefined && control.hasFreshSettings();
  }

  function takeRecords(deltas: readonly RecordDelta[]): void {
    if (deltas.some(({ stored }) => stored.record.kind === 'document')) takeDocument();
    reconcileStatementOwners(registry);
    failSupersededStatements(owners);
    links.prune();
  }

  function takeEvent(peer: LinkPeer, method: string, params: unknown): void {
    handleEvent(app, peer, method, params);
  }

  function takeDocument(): void {
    const document = documentOf(control);
    const decoded = document && options.decodeSettings(document.body);
    if (!decoded) {
      log(
        `settings document ${document?.version ?? '?'} cannot be read; the last one stays in force`,
      );
      return;
    }
    settings = decoded;
    log(`settings document ${decoded.version} is in force`);
    for (const session of sessions) {
      if (isIdle(session) && isKeyWithdrawn(session)) session.port.close();
    }
  }

  /** Customers get homes before they come, a few at a time, whichever entry asks first. */
  function requestHome(): void {
    if (!settings || Math.random() > HOME_REQUEST_SHARE) return;
    const resources = [...settings.customers.keys()].map((name): Resource => `customer/${name}`);
    const homeless = resources.filter((resource) => !assignmentOf(control, resource));
    const next = homeless[Math.floor(Math.random() * homeless.length)];
    if (next !== undefined) requestResource(next, undefined);
  }

  function requestResource(resource: Resource, zone: string | undefined): void {
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(resource) ?? Number.NEGATIVE_INFINITY) < timing.renewEveryMs)
      return;
    requestedAtMs.set(resource, nowMs);
    void control.call('resource/request', zone === undefined ? { resource } : { resource, zone });
  }

  async function stop(stopListening: () => void): Promise<void> {
    isStopping = true;
    log(`entry ${options.entryId} is stopping`);
    control.startStopping();
    const untilMs = performance.now() + options.stopGraceMs;
    setTimeout(stopListening, STILL_CALLED_MS);
    await Promise.all([
      handOverStatementOwners(registry, HANDOVER_GRACE_MS),
      endSessions(performance.now() + STILL_CALLED_MS, untilMs),
    ]);
    await control.call('entry/ended', { incarnation: control.incarnation() });
    clearInterval(keepTimer);
    control.close();
    links.close();
    await linkServer.close();
    counters.close();
    log(`entry ${options.entryId} has stopped`);
  }

  /** New callers come until the balancer has noticed, so the end is not before `notBeforeMs`. */
  async function endSessions(notBeforeMs: number, untilMs: number): Promise<void> {
    const startedAtMs = performance.now();
    const isWanted = () => sessions.size > 0 || performance.now() < notBeforeMs;
    while (isWanted() && performance.now() < untilMs) {
      const share = (performance.now() - startedAtMs) / CLOSE_IDLE_OVER_MS;
      for (const session of sessions) {
        if (isIdle(session) && Math.random() < share) session.port.close();
      }
      await delay(STOP_POLL_MS);
    }
    for (const session of sessions) session.port.close();
  }
}

function limitOf(
  settings: StatementSettings | undefined,
  customer: CustomerName,
): RateLimit | undefined {
  return settings?.customers.get(customer);
}
