/** Explains where a request would be sent now, without sending it. */
import {
  type CustomerName,
  explainServer,
  type GroupName,
  type Intent,
  type LoadAccess,
  type LogPosition,
  type RouteExplanation,
  type RouteRequest,
  type ServerExplanation,
  type ServerReason,
  waitingCount,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { findOwner, type OwnerRegistry } from './owner-registry.js';
import type { GroupOwner } from './owner-state.js';
import { isEvacuated } from './evacuated-targets.js';
import { predictWait } from './predict-wait.js';
import {
  createRouteContext,
  isAtCustomerLimit,
  queueRefusal,
  toRouteRequest,
} from './scheduler.js';

export interface ExplainRequest {
  readonly group: GroupName;
  readonly epoch: number;
  readonly customer: CustomerName;
  readonly access: Intent;
  /** The session mark; `null`: that of a session which is new to the owner. */
  readonly mark: LogPosition | null;
  readonly readAgeAllowanceMs: number | null;
}

/** A server with its standing; all ages and times are in milliseconds. */
export interface ExplainedServer extends Omit<ServerExplanation, 'reason'> {
  /** `undefined` for the chosen server. */
  readonly reason: ServerReason | 'evacuated' | 'set-aside' | undefined;
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** For how long it is still not used after a failed connection; 0 if it is used. */
  readonly setAsideLeftMs: number;
  readonly slots: number;
  readonly runningCount: number;
  /** Measured slot times. */
  readonly service: readonly {
    readonly access: LoadAccess;
    readonly meanMs: number;
    readonly spreadMs: number;
    readonly sampleCount: number;
    readonly ageMs: number;
  }[];
}

export interface OwnerExplanation {
  readonly servers: readonly ExplainedServer[];
  /** Time until the start; `null` while too few answers are measured, or if no server may run it. */
  readonly predictedWaitMs: number | null;
  readonly epoch: number;
  readonly outcome:
    | { readonly kind: 'run'; readonly server: string }
    | { readonly kind: 'wait'; readonly reason: string }
    | { readonly kind: 'no-primary' }
    | {
        readonly kind: 'refused';
        readonly reason: 'owner-stopping' | 'no-primary' | 'queue-full';
      };
  /** The request as it is routed; `null` if its mark is past every position seen in the group. */
  readonly routedAs: Pick<RouteRequest, 'intent' | 'mark'> | null;
  readonly waitingRequests: number;
  readonly failoverPhase: string;
}

/**
 * Explains a request with the functions and the state with which the owner would schedule it.
 *
 * @returns `undefined` if this entry does not own the group under the epoch
 */
export function explainRequest(
  registry: OwnerRegistry,
  request: ExplainRequest,
): OwnerExplanation | undefined {
  const owner = findOwner(registry, request.group, request.epoch);
  return owner?.environment.holdsLease() === true ? explainAtOwner(owner, request) : undefined;
}

/** As {@link explainRequest}, for an owner. */
export function explainAtOwner(
  owner: GroupOwner,
  request: Omit<ExplainRequest, 'group' | 'epoch'>,
): OwnerExplanation {
  const { customer, access: intent, readAgeAllowanceMs } = request;
  const mark = request.mark ?? owner.customerMarks.get(customer) ?? ZERO_POSITION;
  const facts = {
    epoch: owner.epoch,
    waitingRequests: waitingCount(owner.queue) + owner.pinnedWaiting.length,
    failoverPhase: owner.failover.phase.kind,
  };
  const asked = { intent, mark, readAgeAllowanceMs, waitedMs: 0 };
  const routed = toRouteRequest(owner, asked);
  const context = createRouteContext(owner);
  const explained = explainServer(routed ?? asked, context);
  const servers = explained.servers.map((server) => addStanding(owner, server, context.nowMs));
  if (!routed) {
    const reason = 'the mark is past every position seen in the group';
    const excluded = servers.map((server) => {
      return { ...server, isChosen: false, reason: server.reason ?? ('behind-mark' as const) };
    });
    const outcome = refusalOf(owner, customer) ?? ({ kind: 'wait', reason } as const);
    return { ...facts, outcome, routedAs: null, predictedWaitMs: null, servers: excluded };
  }
  const outcome = refusalOf(owner, customer) ?? outcomeOf(owner, customer, explained.route);
  const predicted = predictWait(owner, customer, routed, context)?.startInMs ?? null;
  return {
    ...facts,
    outcome,
    routedAs: { intent: routed.intent, mark: routed.mark },
    predictedWaitMs: outcome.kind === 'run' ? 0 : predicted,
    servers,
  };
}

function refusalOf(
  owner: GroupOwner,
  customer: CustomerName,
): Extract<OwnerExplanation['outcome'], { kind: 'refused' }> | undefined {
  const reason = owner.isStopping ? 'owner-stopping' : queueRefusal(owner, customer);
  return reason && { kind: 'refused', reason };
}

/** Names evacuations and pauses after failed connections, which the choice knows as unusable servers only. */
function addStanding(
  owner: GroupOwner,
  explained: ServerExplanation,
  nowMs: number,
): ExplainedServer {
  const { server, reason } = explained;
  const pool = owner.pools.get(server);
  const service = [...(owner.loads.get(server)?.service ?? [])];
  const setAsideLeftMs = Math.max(0, (owner.unusableUntilMs.get(server) ?? 0) - nowMs);
  const isOut = isEvacuated(owner, server);
  const isSetAside = reason === 'unusable' && setAsideLeftMs > 0;
  const standing = isSetAside ? 'set-aside' : reason;
  return {
    ...explained,
    reason: isOut && reason !== undefined ? 'evacuated' : standing,
    zone: owner.view.servers.get(server)?.announcement.zone ?? '',
    isEvacuated: isOut,
    setAsideLeftMs,
    slots: pool?.slots ?? 0,
    runningCount: pool?.runningCount ?? 0,
    service: service.map(([access, { atMs, ...measured }]) => {
      return { access, ...measured, ageMs: nowMs - atMs };
    }),
  };
}

function outcomeOf(
  owner: GroupOwner,
  customer: CustomerName,
  route: RouteExplanation['route'],
): OwnerExplanation['outcome'] {
  if (route.kind === 'no-primary') return route;
  if (route.kind === 'wait') {
    return { kind: 'wait', reason: 'no server that may run it has a free slot' };
  }
  if (isAtCustomerLimit(owner, customer, route.server)) {
    const reason = `the customer occupies its share of the slots of ${route.server}`;
    return { kind: 'wait', reason };
  }
  return route;
}
