/** Explains the choice of a server, with the functions that make it. */
import type { ServerName } from '../types/ids.js';
import type { LogPosition } from '../types/position.js';
import {
  chooseServer,
  type ReadExclusion,
  readExclusion,
  type Route,
  type RouteContext,
  type RouteRequest,
} from './choose-server.js';
import type { ServerView } from './server-view.js';

/** Why a server was not chosen. */
export type ServerReason =
  | ReadExclusion
  | 'only-the-primary-runs-it'
  | 'no-free-slot'
  | 'fewer-free-slots'
  | 'a-replica-is-preferred'
  | 'waits-for-a-replica';

export interface ServerExplanation {
  readonly server: ServerName;
  readonly isChosen: boolean;
  readonly isPrimary: boolean;
  /** `undefined` for the chosen server. */
  readonly reason: ServerReason | undefined;
  readonly position: LogPosition;
  readonly freeSlots: number;
  /** Age of the announcement that position and role are from. */
  readonly heardAgoMs: number;
  /** Age of the latest time at which it was known to have the primary's whole log; `null`: never. */
  readonly upToDateAgoMs: number | null;
}

export interface RouteExplanation {
  readonly route: Route;
  readonly servers: readonly ServerExplanation[];
}

/**
 * Chooses a server as `chooseServer` does, and gives the reason against each of the others.
 *
 * @example
 * explainServer({ intent: 'read', mark, readAgeAllowanceMs: null, waitedMs: 0 }, context);
 */
export function explainServer(request: RouteRequest, context: RouteContext): RouteExplanation {
  const route = chooseServer(request, context);
  const servers = [...context.view.servers.values()].map((server) => ({
    server: server.server,
    isChosen: route.kind === 'run' && route.server === server.server,
    isPrimary: server.server === context.primary,
    reason: reasonAgainst(server, request, context, route),
    position: server.announcement.position,
    freeSlots: context.freeSlots(server.server),
    heardAgoMs: context.nowMs - server.heardAtMs,
    upToDateAgoMs: Number.isFinite(server.upToDateAtMs)
      ? context.nowMs - server.upToDateAtMs
      : null,
  }));
  return { route, servers };
}

function reasonAgainst(
  server: ServerView,
  request: RouteRequest,
  context: RouteContext,
  route: Route,
): ServerReason | undefined {
  if (route.kind === 'run' && route.server === server.server) return undefined;
  const isPrimary = server.server === context.primary;
  if (request.intent === 'write' && !isPrimary) return 'only-the-primary-runs-it';
  if (isPrimary && !context.isUsable(server.server)) return 'unusable';
  if (isPrimary && request.intent === 'read') {
    if (route.kind === 'run') return 'a-replica-is-preferred';
    if (request.waitedMs < context.replicaWaitMs) return 'waits-for-a-replica';
  }
  if (isPrimary) return 'no-free-slot';
  const exclusion = readExclusion(server, request, context);
  if (exclusion !== undefined) return exclusion;
  return context.freeSlots(server.server) > 0 ? 'fewer-free-slots' : 'no-free-slot';
}
