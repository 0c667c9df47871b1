/** Chooses the server of a group that runs a request. */
import type { ServerName } from '../types/ids.js';
import { coversMark, type LogPosition } from '../types/position.js';
import type { GroupView, ServerView } from './server-view.js';

export type Intent = 'read' | 'write';

export interface RouteRequest {
  readonly intent: Intent;
  /** The log position that the server must have reached. */
  readonly mark: LogPosition;
  /** Maximum staleness of a replica, in milliseconds; `null` for no limit beyond the mark. */
  readonly readAgeAllowanceMs: number | null;
  readonly waitedMs: number;
}

/** The part of an owner's state that routing depends on. */
export interface RouteContext {
  readonly view: GroupView;
  readonly primary: ServerName | undefined;
  readonly term: number;
  readonly nowMs: number;
  /** Announcements older than this make a replica ineligible, in milliseconds. */
  readonly staleAnnouncementMs: number;
  /** How long a read waits for a replica before it goes to the primary, in milliseconds. */
  readonly replicaWaitMs: number;
  readonly isUsable: (server: ServerName) => boolean;
  readonly freeSlots: (server: ServerName) => number;
}

/** Why a server is not given a read. */
export type ReadExclusion =
  | 'is-primary'
  | 'not-a-replica'
  | 'older-term'
  | 'leaving'
  | 'announcement-too-old'
  | 'unusable'
  | 'behind-mark'
  | 'too-stale';

export type Route =
  | { readonly kind: 'run'; readonly server: ServerName }
  /** No server can run the request now: its slots are taken, or a replica still has to catch up. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'no-primary' };

/**
 * Chooses a server. A read goes to the replica with the most free slots among those that cover the
 * mark and are within the allowed staleness. If none of these has a free slot, the read waits for up to
 * `replicaWaitMs` for a replica that lags or is busy, and then goes to the primary; without any usable
 * replica it goes there at once. Writes always go to the primary.
 *
 * @example
 * chooseServer({ intent: 'read', mark, readAgeAllowanceMs: null, waitedMs: 0 }, context);
 */
export function chooseServer(request: RouteRequest, context: RouteContext): Route {
  if (request.intent === 'write') return routeToPrimary(context);
  const replicas = [...context.view.servers.values()].filter(
    (server) => servingExclusion(server, context) === undefined,
  );
  const eligible = replicas.filter(
    (server) => readExclusion(server, request, context) === undefined,
  );
  const free = eligible.filter(({ server }) => context.freeSlots(server) > 0);
  const [best] = free.sort(
    (left, right) => context.freeSlots(right.server) - context.freeSlots(left.server),
  );
  if (best) return { kind: 'run', server: best.server };
  const isWorthWaiting = eligible.length > 0 || replicas.length > 0;
  if (isWorthWaiting && request.waitedMs < context.replicaWaitMs) return { kind: 'wait' };
  return routeToPrimary(context);
}

function routeToPrimary(context: RouteContext): Route {
  const { primary } = context;
  if (primary === undefined || !context.isUsable(primary)) return { kind: 'no-primary' };
  if (context.freeSlots(primary) <= 0) return { kind: 'wait' };
  return { kind: 'run', server: primary };
}

/**
 * Why a server does not run a read as a replica; `undefined` if it may, once it has a free slot.
 *
 * @example
 * readExclusion(server, request, context); // 'behind-mark'
 */
export function readExclusion(
  server: ServerView,
  { mark, readAgeAllowanceMs }: RouteRequest,
  context: RouteContext,
): ReadExclusion | undefined {
  const exclusion = servingExclusion(server, context);
  if (exclusion !== undefined) return exclusion;
  if (!coversMark(server.announcement.position, mark)) return 'behind-mark';
  const isRecent =
    readAgeAllowanceMs === null || context.nowMs - server.upToDateAtMs <= readAgeAllowanceMs;
  return isRecent ? undefined : 'too-stale';
}

/** Replicas of an older term are excluded: their logs may contain writes that the group has lost. */
function servingExclusion(server: ServerView, context: RouteContext): ReadExclusion | undefined {
  const { announcement } = server;
  if (server.server === context.primary) return 'is-primary';
  if (announcement.role !== 'replica') return 'not-a-replica';
  if (announcement.term !== context.term) return 'older-term';
  if (announcement.isLeaving) return 'leaving';
  if (context.nowMs - server.heardAtMs > context.staleAnnouncementMs) return 'announcement-too-old';
  return context.isUsable(server.server) ? undefined : 'unusable';
}
