/** Handlers for the requests and events that an entry receives over links, by method name. */
import {
  type GroupName,
  type ServerAnnouncement,
  type ServerName,
  toGroupName,
} from '@bramleykeel/core';
import {
  answerEncodedDraw,
  type EncodedDraw,
  type RateDrawContext,
} from '@bramleykeel/entry-shared';
import type { Counters, LinkPeer } from '@bramleykeel/link';
import type { EncodedQuestion } from './explain/explain-at-entry.js';
import { handleOwnerEnded, type OwnerClient, handleOutcome } from './locate/owner-client.js';
import { decodeFateStatements, type EncodedFateRequest } from './locate/statement-fate.js';
import { explainRead } from './near/explain-read.js';
import { createReadAttempt, encodeMissingResult, missingResultOf } from './near/read-attempt.js';
import {
  createReaderOffer,
  type EncodedReaderOffer,
  type EncodedReaderOfferRequest,
  encodeOffer,
  type ReaderOfferRequest,
} from './near/reader-offer.js';
import { readAtReplica, releaseServer, type ReplicaReads } from './near/replica-reads.js';
import { explainStatement } from './owner/explain-statement.js';
import {
  acceptRollback,
  acceptStatement,
  acceptWithdrawal,
  type EntryChannel,
  settleFates,
} from './owner/owner-app.js';
import type { Job, StatementOwner } from './owner/owner-state.js';
import { workAtServer } from './owner/target-work.js';
import {
  deliverServerAnnouncement,
  deliverServerLeave,
  dropChannel,
  findStatementOwner,
  type StatementOwnerRegistry,
} from './owner/owner-registry.js';
import {
  decodeOutcome,
  decodeStatement,
  encodeOutcome,
  type EncodedOutcome,
  type EncodedStatement,
} from './types/link-codec.js';

export interface StatementApp {
  readonly counters: Counters;
  readonly registry: StatementOwnerRegistry;
  readonly owners: OwnerClient;
  readonly draws: RateDrawContext;
  readonly replicaReads: ReplicaReads;
  readonly channels: Map<LinkPeer, EntryChannel>;
  /** Retry delay sent to callers when this entry no longer owns the group, in milliseconds. */
  readonly noOwnerRetryMs: number;
  channelCount: number;
}

/** Group, epoch, and the numbers of the receiver's statements that are still running. */
type EncodedOwnerEnded = readonly [group: GroupName, epoch: number, running: readonly number[]];

/** Sent in place of an answer that no frame of a link can hold; its statement may have changed data. */
const TOO_LONG = {
  kind: 'unknown',
  reason: 'the answer is too long to be passed on',
} as const;

type RequestHandler = (app: StatementApp, params: unknown) => unknown;
type EventHandler = (app: StatementApp, peer: LinkPeer, params: unknown) => void;

const REQUEST_HANDLERS: Readonly<Record<string, RequestHandler>> = {
  'rate/draw': (app, params) => answerEncodedDraw(app.draws, params as EncodedDraw),
  'reader/ask': (app, params) => {
    const [group, epoch, zone, entryId, readerRunning] = params as EncodedReaderOfferRequest;
    const request = { zone, entryId, readerRunning };
    return answerOfferRequest(app, toGroupName(group), epoch, request);
  },
  'reader/run': async ({ replicaReads }, params) => {
    const { group, request } = decodeStatement(params as EncodedStatement);
    const deadlineMs = performance.now() + request.budgetMs;
    const attempt = createReadAttempt();
    const outcome = await readAtReplica(replicaReads, group, request, deadlineMs, attempt);
    if (outcome) return encodeOutcome(request.number, outcome);
    return encodeMissingResult(missingResultOf(attempt));
  },
  'statement/fate': ({ registry }, params) => {
    const request = params as EncodedFateRequest;
    const [group, epoch, sentWithinMs] = request;
    const owner = findStatementOwner(registry, group, epoch);
    return (owner && settleFates(owner, decodeFateStatements(request), sentWithinMs)) ?? null;
  },
  'statement/explain': ({ registry }, params) => {
    const [group, epoch, question] = params as EncodedQuestion;
    const owner = findStatementOwner(registry, toGroupName(group), epoch);
    return owner ? explainStatement(owner, question) : null;
  },
  'reader/explain': ({ replicaReads }, params) => {
    const [group, , question] = params as EncodedQuestion;
    return explainRead(replicaReads, toGroupName(group), question);
  },
  'reader/release': ({ replicaReads }, params) => {
    const [group, server] = params as readonly [GroupName, ServerName];
    return releaseServer(replicaReads, group, server);
  },
  'server/announce': (app, params) => {
    const { asksWork, ...announcement } = params as ServerAnnouncement & { asksWork?: boolean };
    const isAccepted = deliverServerAnnouncement(app.registry, announcement);
    if (!isAccepted || asksWork !== true) return isAccepted;
    const owner = app.registry.owners.get(announcement.group);
    return (owner && workAtServer(owner, announcement.server)) ?? true;
  },
  'server/leave': (app, params) => {
    deliverServerLeave(app.registry, params as ServerName);
    return true;
  },
};

const EVENT_HANDLERS: Readonly<Record<string, EventHandler>> = {
  'statement/run': (app, peer, params) => {
    acceptRemoteStatement(app, peer, params as EncodedStatement);
  },
  'statement/outcome': (app, _peer, params) => {
    const { number, outcome } = decodeOutcome(params as EncodedOutcome);
    handleOutcome(app.owners, number, outcome);
  },
  'owner/ended': (app, _peer, params) => {
    const [group, epoch, running] = params as EncodedOwnerEnded;
    handleOwnerEnded(app.owners, group, epoch, running);
  },
  'statement/withdraw': (app, peer, params) => {
    const [group, epoch, number] = params as [GroupName, number, number];
    const owner = findStatementOwner(app.registry, group, epoch);
    if (owner) acceptWithdrawal(owner, getOrCreateChannel(app, peer), number);
  },
  'statement/rollback': (app, peer, params) => {
    const [group, epoch, transaction] = params as [GroupName, number, number];
    const owner = findStatementOwner(app.registry, group, epoch);
    if (owner) acceptRollback(owner, getOrCreateChannel(app, peer), transaction);
  },
};

/**
 * Answers a request.
 *
 * @throws for an unknown method; the requesting peer receives the error
 */
export function handleRequest(app: StatementApp, method: string, params: unknown): unknown {
  const handler = REQUEST_HANDLERS[method];
  if (!handler) throw new Error(`unknown method ${method}`);
  return handler(app, params);
}

/** Handles an event; unknown methods are counted and ignored. */
export function handleEvent(
  app: StatementApp,
  peer: LinkPeer,
  method: string,
  params: unknown,
): void {
  const handler = EVENT_HANDLERS[method];
  if (handler) handler(app, peer, params);
  else app.counters.count('refusal.unknown-link-event');
}

/**
 * Notifies the entries that have sent statements that an owner's epoch has ended on this entry. Links keep the
 * order of messages, so the answers that the owner has given so far arrive first.
 */
export function notifyOwnerEnded(
  app: StatementApp,
  { group, epoch }: StatementOwner,
  running: readonly Job[],
): void {
  for (const [peer, channel] of app.channels) {
    const numbers = running
      .filter((job) => job.channel === channel && !job.isEnded)
      .map(({ request }) => request.number);
    const encoded: EncodedOwnerEnded = [group, epoch, numbers];
    peer.notify('owner/ended', encoded);
  }
}

/** Ends the statements and transactions of an entry whose link was closed. */
export function handleLinkClosed(app: StatementApp, peer: LinkPeer): void {
  const channel = app.channels.get(peer);
  app.channels.delete(peer);
  if (channel) dropChannel(app.registry, channel);
}

/**
 * Answers a reader's request for an offer. Waits for one event loop turn first, so that write acknowledgements
 * already received on the sockets are included in the offered position.
 */
export async function answerOfferRequest(
  { registry }: Pick<StatementApp, 'registry'>,
  group: GroupName,
  epoch: number,
  request: ReaderOfferRequest,
): Promise<EncodedReaderOffer | null> {
  await new Promise((resolve) => setImmediate(resolve));
  const owner = findStatementOwner(registry, group, epoch);
  return encodeOffer(owner && createReaderOffer(owner, request));
}

function acceptRemoteStatement(app: StatementApp, peer: LinkPeer, encoded: EncodedStatement): void {
  const { group, epoch, request } = decodeStatement(encoded);
  const channel = getOrCreateChannel(app, peer);
  const owner = findStatementOwner(app.registry, group, epoch);
  if (owner) {
    acceptStatement(owner, channel, request);
    return;
  }
  // A transaction that was begun under the former owner ended with it.
  const isContinuation = request.transaction?.isFirst === false;
  channel.answer(
    request.number,
    isContinuation
      ? { kind: 'aborted', reason: 'the owner of the transaction has gone' }
      : {
          kind: 'not-run',
          reason: 'no-owner',
          retryAfterMs: app.noOwnerRetryMs,
          reachedNoTarget: true,
        },
  );
}

function getOrCreateChannel(app: StatementApp, peer: LinkPeer): EntryChannel {
  const existing = app.channels.get(peer);
  if (existing) return existing;
  app.channelCount += 1;
  const created: EntryChannel = {
    id: `link-${app.channelCount}`,
    answer: (number, outcome) => {
      const isSent = peer.notify('statement/outcome', encodeOutcome(number, outcome));
      if (!isSent) peer.notify('statement/outcome', encodeOutcome(number, TOO_LONG));
    },
  };
  app.channels.set(peer, created);
  return created;
}
