/** Explains where a request would be sent now, without sending it. */
import {
  type CustomerName,
  explainServer,
  type GroupName,
  type Intent,
  type LogPosition,
  type RouteExplanation,
  type RouteRequest,
  waitingCount,
  ZERO_POSITION,
} from '@bramleykeel/core';
import { findOwner, type OwnerRegistry } from './owner-registry.js';
import type { GroupOwner } from './owner-state.js';
import { createRouteContext, isAtCustomerLimit, toRouteRequest } from './scheduler.js';

export interface ExplainRequest {
  readonly group: GroupName;
  readonly epoch: number;
  readonly customer: CustomerName;
  readonly access: Intent;
  /** The session mark; `null`: that of a session which is new to the owner. */
  readonly mark: LogPosition | null;
  readonly readAgeAllowanceMs: number | null;
}

export interface OwnerExplanation extends Omit<RouteExplanation, 'route'> {
  readonly epoch: number;
  readonly outcome:
    | { readonly kind: 'run'; readonly server: string }
    | { readonly kind: 'wait'; readonly reason: string }
    | { readonly kind: 'no-primary' };
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
  if (!owner?.environment.holdsLease()) return undefined;
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
  const { route, servers } = explainServer(routed ?? asked, context);
  if (!routed) {
    const reason = 'the mark is past every position seen in the group';
    const excluded = servers.map((server) => {
      return { ...server, isChosen: false, reason: server.reason ?? ('behind-mark' as const) };
    });
    return { ...facts, outcome: { kind: 'wait', reason }, routedAs: null, servers: excluded };
  }
  const outcome = outcomeOf(owner, customer, route);
  return { ...facts, outcome, routedAs: { intent: routed.intent, mark: routed.mark }, servers };
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
