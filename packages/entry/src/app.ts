/** Events and requests that an entry takes from other entries, registered by name. */
import type {
  Announcement,
  RequestStatusQuery,
  FromOwnerMessage,
  GroupName,
  SessionId,
  ToOwnerMessage,
} from '@bramleykeel/core';
import type { Counters, LinkPeer } from '@bramleykeel/link';
import { type CallerRegistry, cancelLocal, dispatchAnswer } from './accept/caller-registry.js';
import {
  answerEncodedDraw,
  type EncodedDraw,
  type RateDrawContext,
} from '@bramleykeel/entry-shared';
import type { EntryLinks } from './locate/owner-locator.js';
import type { AnswerChannel } from './owner/answer-channel.js';
import type { GroupOwner } from './owner/owner-state.js';
import {
  answerFateQuery,
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
  /** `undefined` until callers are listened for. */
  readonly callers: () => CallerRegistry | undefined;
}

/** Group, epoch, and the sessions whose requests may still run. */
type OwnerEndedCode = readonly [group: GroupName, epoch: number, running: readonly SessionId[]];

type EventHandler = (app: EntryApp, peer: LinkPeer, params: unknown) => void;
type RequestHandler = (app: EntryApp, params: unknown) => unknown;

const EVENT_HANDLERS: Readonly<Record<string, EventHandler>> = {
  'owner/message': (app, peer, params) => {
    const { group, epoch, message } = params as {
      group: GroupName;
      epoch: number;
      message: ToOwnerMessage;
    };
    deliverToOwner(app.owners, channelOf(app, peer), group, epoch, message);
  },
  'owner/answer': (app, _peer, params) => {
    const callers = app.callers();
    if (callers) dispatchAnswer(callers, params as FromOwnerMessage);
  },
  'owner/ended': (app, _peer, params) => {
    app.links().endOwner(...(params as OwnerEndedCode));
  },
  'target/announcement': (app, _peer, params) => {
    deliverAnnouncement(app.owners, params as Announcement);
  },
  'caller/cancel': (app, _peer, params) => {
    const { processId, secretKey } = params as { processId: number; secretKey: number };
    const callers = app.callers();
    if (callers) cancelLocal(callers, processId, secretKey);
  },
};

const REQUEST_HANDLERS: Readonly<Record<string, RequestHandler>> = {
  'request/fate': (app, params) => {
    const { group, query } = params as { group: GroupName; query: RequestStatusQuery };
    return answerFateQuery(app.owners, group, query);
  },
  'rate/draw': (app, params) => answerEncodedDraw(app.draws, params as EncodedDraw),
};

/** Takes an event; an unknown one is counted and dropped. */
export function handleEvent(app: EntryApp, peer: LinkPeer, method: string, params: unknown): void {
  const handler = EVENT_HANDLERS[method];
  if (handler) handler(app, peer, params);
  else app.counters.count('refusal.unknown-link-event');
}

/** Answers a request; an unknown one fails at the asking side. */
export function handleRequest(app: EntryApp, method: string, params: unknown): unknown {
  const handler = REQUEST_HANDLERS[method];
  if (!handler) throw new Error(`unknown method ${method}`);
  return handler(app, params);
}

/** Tells the entries that an owner's epoch is over here, after all its answers. */
export function tellOwnerEnded(
  app: EntryApp,
  { group, epoch }: GroupOwner,
  running: readonly SessionId[],
): void {
  const code: OwnerEndedCode = [group, epoch, running];
  for (const peer of app.channels.keys()) peer.notify('owner/ended', code);
}

/** A link to another entry was closed: its sessions end here. */
export function handleLinkClosed(app: EntryApp, peer: LinkPeer): void {
  const channel = app.channels.get(peer);
  if (!channel) return;
  app.channels.delete(peer);
  dropChannel(app.owners, channel);
}

function channelOf(app: EntryApp, peer: LinkPeer): AnswerChannel {
  const known = app.channels.get(peer);
  if (known) return known;
  const created: AnswerChannel = { send: (message) => peer.notify('owner/answer', message) };
  app.channels.set(peer, created);
  return created;
}
