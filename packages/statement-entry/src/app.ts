/** Requests and events that an entry takes over links, registered by name. */
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
import { handleOwnerEnded, type OwnerClient, handleOutcome } from './locate/owner-client.js';
import {
  encodeOffer,
  type NearOfferCode,
  type NearOfferRequest,
  type NearOfferRequestCode,
  createNearOffer,
} from './near/near-offer.js';
import { type EntryChannel, acceptRollback, acceptStatement } from './owner/owner-app.js';
import type { StatementOwner } from './owner/owner-state.js';
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
  type OutcomeCode,
  type StatementCode,
} from './types/link-codec.js';

export interface StatementApp {
  readonly counters: Counters;
  readonly registry: StatementOwnerRegistry;
  readonly owners: OwnerClient;
  readonly draws: RateDrawContext;
  readonly channels: Map<LinkPeer, EntryChannel>;
  /** What a caller is told to wait when this entry does not own its group any more, in milliseconds. */
  readonly movedRetryMs: number;
  channelCount: number;
}

/** Group, epoch, and the numbers of the receiver's statements that still run. */
type OwnerEndedCode = readonly [group: GroupName, epoch: number, running: readonly number[]];

type RequestHandler = (app: StatementApp, params: unknown) => unknown;
type EventHandler = (app: StatementApp, peer: LinkPeer, params: unknown) => void;

const REQUEST_HANDLERS: Readonly<Record<string, RequestHandler>> = {
  'rate/draw': (app, params) => answerEncodedDraw(app.draws, params as EncodedDraw),
  'near/ask': (app, params) => {
    const [group, epoch, zone, entryId] = params as NearOfferRequestCode;
    return answerNear(app, toGroupName(group), epoch, { zone, entryId });
  },
  'server/announce': (app, params) =>
    deliverServerAnnouncement(app.registry, params as ServerAnnouncement),
  'server/leave': (app, params) => {
    deliverServerLeave(app.registry, params as ServerName);
    return true;
  },
};

const EVENT_HANDLERS: Readonly<Record<string, EventHandler>> = {
  'statement/run': (app, peer, params) => {
    takeRemoteStatement(app, peer, params as StatementCode);
  },
  'statement/outcome': (app, _peer, params) => {
    const { number, outcome } = decodeOutcome(params as OutcomeCode);
    handleOutcome(app.owners, number, outcome);
  },
  'owner/ended': (app, _peer, params) => {
    const [group, epoch, running] = params as OwnerEndedCode;
    handleOwnerEnded(app.owners, group, epoch, running);
  },
  'statement/rollback': (app, peer, params) => {
    const [group, epoch, transaction] = params as [GroupName, number, number];
    const owner = findStatementOwner(app.registry, group, epoch);
    if (owner) acceptRollback(owner, channelOf(app, peer), transaction);
  },
};

/** Answers a request; an unknown one fails at the asking side. */
export function handleRequest(app: StatementApp, method: string, params: unknown): unknown {
  const handler = REQUEST_HANDLERS[method];
  if (!handler) throw new Error(`unknown method ${method}`);
  return handler(app, params);
}

/** Takes an event; an unknown one is counted and dropped. */
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

/** Tells the entries that have sent statements that an owner's epoch is over here, after all its answers. */
export function tellOwnerEnded(app: StatementApp, owner: StatementOwner): void {
  for (const [peer, channel] of app.channels) {
    const running = [...owner.running]
      .filter((job) => job.channel === channel && !job.isEnded)
      .map(({ request }) => request.number);
    const code: OwnerEndedCode = [owner.group, owner.epoch, running];
    peer.notify('owner/ended', code);
  }
}

/** A link from another entry was closed: its statements and transactions end here. */
export function handleLinkClosed(app: StatementApp, peer: LinkPeer): void {
  const channel = app.channels.get(peer);
  app.channels.delete(peer);
  if (channel) dropChannel(app.registry, channel);
}

/** Acknowledgements that already wait in the sockets are read first: they count as given. */
export async function answerNear(
  { registry }: Pick<StatementApp, 'registry'>,
  group: GroupName,
  epoch: number,
  question: NearOfferRequest,
): Promise<NearOfferCode | null> {
  await new Promise((resolve) => setImmediate(resolve));
  const owner = findStatementOwner(registry, group, epoch);
  return encodeOffer(owner && createNearOffer(owner, question));
}

function takeRemoteStatement(app: StatementApp, peer: LinkPeer, code: StatementCode): void {
  const { group, epoch, request } = decodeStatement(code);
  const channel = channelOf(app, peer);
  const owner = findStatementOwner(app.registry, group, epoch);
  if (owner) {
    acceptStatement(owner, channel, request);
    return;
  }
  // A transaction that was begun here went with its owner.
  const isLater = request.transaction?.isFirst === false;
  channel.answer(
    request.number,
    isLater
      ? { kind: 'aborted', reason: 'the owner of the transaction has gone' }
      : { kind: 'not-run', reason: 'no-owner', retryAfterMs: app.movedRetryMs },
  );
}

function channelOf(app: StatementApp, peer: LinkPeer): EntryChannel {
  const known = app.channels.get(peer);
  if (known) return known;
  app.channelCount += 1;
  const created: EntryChannel = {
    id: `link-${app.channelCount}`,
    answer: (number, outcome) => {
      peer.notify('statement/outcome', encodeOutcome(number, outcome));
    },
  };
  app.channels.set(peer, created);
  return created;
}
