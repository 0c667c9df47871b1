/** Slots of target servers that requests occupy, and what their customers are charged for them. */
import { recordFinished } from '@bramleykeel/core';
import type { TargetPool } from '../target/target-pool.js';
import type { GroupOwner, OwnerRequest, PinnedConnection } from './owner-state.js';

/** Occupies a slot of the server for the request. */
export function takeSlot(
  owner: GroupOwner,
  request: OwnerRequest,
  place: { readonly server: PinnedConnection['server']; readonly pool: TargetPool },
): void {
  const { server, pool } = place;
  pool.runningCount += 1;
  request.slot = { server, pool, sinceMs: performance.now() };
  countRunning(owner, request, 1);
}

/** Gives the slot back and charges the customer for the time it was held. */
export function freeSlot(owner: GroupOwner, request: OwnerRequest): void {
  const { slot, session } = request;
  if (!slot) return;
  const nowMs = performance.now();
  slot.pool.runningCount -= 1;
  countRunning(owner, request, -1);
  request.slot = undefined;
  recordFinished(owner.queue, session.customer, nowMs - slot.sinceMs, nowMs);
}

/** Requests of a customer that run on a server now. */
export function runningOf(owner: GroupOwner, request: OwnerRequest, server: string): number {
  return owner.runningByCustomer.get(`${server}/${request.session.customer}`) ?? 0;
}

function countRunning(owner: GroupOwner, request: OwnerRequest, change: 1 | -1): void {
  const { slot, session } = request;
  if (!slot) return;
  const key = `${slot.server}/${session.customer}`;
  const count = (owner.runningByCustomer.get(key) ?? 0) + change;
  if (count > 0) owner.runningByCustomer.set(key, count);
  else owner.runningByCustomer.delete(key);
}
