/** Predicts when a request would start, from measured slot times. Requests are not refused by it in this dialect. */
import {
  chooseServer,
  type CustomerName,
  type ForecastServer,
  forecastStart,
  type RouteContext,
  type RouteRequest,
  type ServerName,
  type StartForecast,
  visitAhead,
  type WaitingAhead,
} from '@bramleykeel/core';
import { freeSlots } from '../target/target-pool.js';
import type { GroupOwner } from './owner-state.js';

type KnownServer = ForecastServer & { readonly server: ServerName };

/**
 * Predicts the start of a request that arrives now. Returns `undefined` if no server may run it, or if too few answers
 * of one are measured.
 *
 * @example
 * predictWait(owner, customer, routed, createRouteContext(owner))?.startInMs;
 */
export function predictWait(
  owner: GroupOwner,
  customer: CustomerName,
  request: RouteRequest,
  context: RouteContext,
): StartForecast | undefined {
  const known = listKnown(owner);
  const mayRun = known.filter(({ server }) => isCandidate(server, request, context));
  const isPrimary = ({ server }: KnownServer) => server === context.primary;
  const primary = known.filter(isPrimary);
  const ahead = aheadOf(owner, customer, known, primary);
  const forecastOn = (servers: readonly KnownServer[]) =>
    forecastStart({ servers, access: request.intent, ahead, lesserShare: 0 });
  const replicas = mayRun.filter((server) => !isPrimary(server));
  if (replicas.length === 0) return forecastOn(mayRun);
  const atReplicas = forecastOn(replicas);
  const atPrimary = forecastOn(mayRun.filter(isPrimary));
  if (!atReplicas || !atPrimary) return atReplicas;
  // A read goes to the primary only after it has waited for a replica.
  const primaryInMs = Math.max(context.replicaWaitMs, atPrimary.startInMs);
  return primaryInMs < atReplicas.startInMs ? { ...atPrimary, startInMs: primaryInMs } : atReplicas;
}

/** Whether a server would run the request if it alone had a free slot and the wait for replicas were over. */
function isCandidate(server: ServerName, request: RouteRequest, context: RouteContext): boolean {
  const waited = { ...request, waitedMs: context.replicaWaitMs };
  const isFree = (other: ServerName) => Number(other === server);
  const route = chooseServer(waited, { ...context, freeSlots: isFree });
  return route.kind === 'run' && route.server === server;
}

function listKnown({ pools, loads }: GroupOwner): KnownServer[] {
  return [...pools].map(([server, pool]) => ({
    server,
    slots: pool.slots,
    freePlaces: freeSlots(pool),
    service: loads.get(server)?.service ?? new Map(),
  }));
}

function aheadOf(
  { queue, pinnedWaiting }: GroupOwner,
  customer: CustomerName,
  known: readonly KnownServer[],
  primary: readonly KnownServer[],
): readonly WaitingAhead<KnownServer>[] {
  const counts = { read: 0, write: 0 };
  for (const { intent } of pinnedWaiting) counts[intent] += 1;
  visitAhead(queue, customer, ({ intent }) => {
    counts[intent] += 1;
  });
  const work: WaitingAhead<KnownServer>[] = [
    { servers: primary, access: 'write', count: counts.write },
    { servers: known, access: 'read', count: counts.read },
  ];
  return work.filter(({ servers }) => servers.length > 0);
}
