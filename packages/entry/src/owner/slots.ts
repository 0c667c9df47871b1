/** Accounting of target server slots: occupancy per request and slot time charged per customer. */
import { type CustomerName, recordFinished } from '@bramleykeel/core';
import type { TargetPool } from '../target/target-pool.js';
import type { GroupOwner, OwnerRequest, PinnedConnection } from './owner-state.js';

/** Acquires a slot of the server for the request. */
export function acquireSlot(
  owner: GroupOwner,
  request: OwnerRequest,
  place: { readonly server: PinnedConnection['server']; readonly pool: TargetPool },
): void {
  const { server, pool } = place;
  pool.runningCount += 1;
  request.slot = { server, pool, occupiedSinceMs: performance.now() };
  adjustRunningCount(owner, request, 1);
}

/** Releases the slot and charges the customer for the time it was held. */
export function releaseSlot(owner: GroupOwner, request: OwnerRequest): void {
  const { slot, session } = request;
  if (!slot) return;
  const nowMs = performance.now();
  slot.pool.runningCount -= 1;
  adjustRunningCount(owner, request, -1);
  request.slot = undefined;
  recordFinished(owner.queue, session.customer, nowMs - slot.occupiedSinceMs, nowMs);
}

/** Number of requests of a customer that occupy slots of a server. */
export function runningCountOf(owner: GroupOwner, customer: CustomerName, server: string): number {
  return owner.runningByCustomer.get(`${server}/${customer}`) ?? 0;
}

function adjustRunningCount(owner: GroupOwner, request: OwnerRequest, change: 1 | -1): void {
  const { slot, session } = request;
  if (!slot) return;
  const key = `${slot.server}/${session.customer}`;
  const count = (owner.runningByCustomer.get(key) ?? 0) + change;
  if (count > 0) owner.runningByCustomer.set(key, count);
  else owner.runningByCustomer.delete(key);
}
