/** Handlers for events and requests that other entries send over links, by method name. */
import type {
  Announcement,
  RequestStatusQuery,
  FromOwnerMessage,
  GroupName,
  SessionId,
  ToOwnerMessage,
} from '@bramleykeel/core';
import type { Counters, LinkPeer } from '@bramleykeel/link';
import {
  type CallerRegistry,
  cancelLocalRequest,
  dispatchOwnerMessage,
} from './accept/caller-registry.js';
import {
  answerEncodedDraw,
  type EncodedDraw,
  type RateDrawContext,
} from '@bramleykeel/entry-shared';
import type { EntryLinks } from './locate/owner-locator.js';
import type { AnswerChannel } from './owner/answer-channel.js';
import type { GroupOwner } from './owner/owner-state.js';
import {
  answerRequestStatusQuery,
  deliverAnnouncement,
  deliverToOwner,
  dropChannel,
  type OwnerRegistry,
} from './owner/owner-registry.js';

export interface EntryApp {
  readonly counters: Counters;
  readonly owners: OwnerRegistry;
  readonly draws: RateDrawContext;
  readonly channels: Map<LinkPeer, AnswerChannel>;
  readonly links: () => EntryLinks;
  /** Returns `undefined` until the entry listens for callers. */
  readonly callers: () => CallerRegistry | undefined;
}

/** Parameters of `owner/ended`; `running` lists the sessions whose requests may still run. */
type EncodedOwnerEnded = readonly [group: GroupName, epoch: number, running: readonly SessionId[]];

type EventHandler = (app: EntryApp, peer: LinkPeer, params: unknown) => void;
type RequestHandler = (app: EntryApp, params: unknown) => unknown;

const EVENT_HANDLERS: Readonly<Record<string, EventHandler>> = {
  'owner/message': (app, peer, params) => {
    const { group, epoch, message } = params as {
      group: GroupName;
      epoch: number;
      message: ToOwnerMessage;
    };
    deliverToOwner(app.owners, getOrCreateChannel(app, peer), group, epoch, message);
  },
  'owner/answer': (app, _peer, params) => {
    const callers = app.callers();
    if (callers) dispatchOwnerMessage(callers, params as FromOwnerMessage);
  },
  'owner/ended': (app, _peer, params) => {
    app.links().handleOwnerEnded(...(params as EncodedOwnerEnded));
  },
  'target/announcement': (app, _peer, params) => {
    deliverAnnouncement(app.owners, params as Announcement);
  },
  'caller/cancel': (app, _peer, params) => {
    const { processId, secretKey } = params as { processId: number; secretKey: number };
    const callers = app.callers();
    if (callers) cancelLocalRequest(callers, processId, secretKey);
  },
};

const REQUEST_HANDLERS: Readonly<Record<string, RequestHandler>> = {
  'request/fate': (app, params) => {
    const { group, query } = params as { group: GroupName; query: RequestStatusQuery };
    return answerRequestStatusQuery(app.owners, group, query);
  },
  'rate/draw': (app, params) => answerEncodedDraw(app.draws, params as EncodedDraw),
};

/** Handles an event; events with an unknown method are counted and dropped. */
export function handleEvent(app: EntryApp, peer: LinkPeer, method: string, params: unknown): void {
  const handler = EVENT_HANDLERS[method];
  if (handler) handler(app, peer, params);
  else app.counters.count('refusal.unknown-link-event');
}

/**
 * Answers a request.
 *
 * @throws when the method is unknown; the request then fails at the peer
 */
export function handleRequest(app: EntryApp, method: string, params: unknown): unknown {
  const handler = REQUEST_HANDLERS[method];
  if (!handler) throw new Error(`unknown method ${method}`);
  return handler(app, params);
}

/**
 * Notifies the linked entries that an owner's epoch has ended at this entry. The notification
 * follows all answers of that owner.
 */
export function notifyOwnerEnded(
  app: EntryApp,
  { group, epoch }: GroupOwner,
  running: readonly SessionId[],
): void {
  const params: EncodedOwnerEnded = [group, epoch, running];
  for (const peer of app.channels.keys()) peer.notify('owner/ended', params);
}

/** Closes the sessions of an entry whose link was closed. */
export function handleLinkClosed(app: EntryApp, peer: LinkPeer): void {
  const channel = app.channels.get(peer);
  if (!channel) return;
  app.channels.delete(peer);
  dropChannel(app.owners, channel);
}

function getOrCreateChannel(app: EntryApp, peer: LinkPeer): AnswerChannel {
  const existing = app.channels.get(peer);
  if (existing) return existing;
  const created: AnswerChannel = { send: (message) => peer.notify('owner/answer', message) };
  app.channels.set(peer, created);
  return created;
}
