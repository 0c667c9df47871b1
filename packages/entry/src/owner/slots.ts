/** Accounting of target server slots: occupancy per request and slot time charged per customer. */
import {
  createServerLoad,
  type CustomerName,
  recordFinished,
  recordRefused,
  recordSent,
  recordServed,
  type ServerLoad,
  type ServerName,
} from '@bramleykeel/core';
import type { TargetPool } from '../target/target-pool.js';
import type { GroupOwner, OccupiedSlot, OwnerRequest, PinnedConnection } from './owner-state.js';

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
  recordSent(loadOf(owner, server), request.intent, performance.now());
}

/** Releases the slot and charges the customer for the time it was held. */
export function releaseSlot(owner: GroupOwner, request: OwnerRequest): void {
  const { slot, session } = request;
  if (!slot) return;
  const nowMs = performance.now();
  slot.pool.runningCount -= 1;
  adjustRunningCount(owner, request, -1);
  request.slot = undefined;
  measureSlotTime(owner, request, slot, nowMs);
  recordFinished(owner.queue, session.customer, nowMs - slot.occupiedSinceMs, nowMs);
}

/** One that got no connection says nothing about the server's slot times. */
function measureSlotTime(
  owner: GroupOwner,
  { intent, running }: OwnerRequest,
  { server, pool, occupiedSinceMs }: OccupiedSlot,
  nowMs: number,
): void {
  const load = loadOf(owner, server);
  if (!running) {
    recordRefused(load, intent, nowMs);
    return;
  }
  const occupied = pool.runningCount + 1;
  const served = { elapsedMs: nowMs - occupiedSinceMs, occupied, slots: pool.slots };
  recordServed(load, intent, served, nowMs);
}

function loadOf({ loads }: GroupOwner, server: ServerName): ServerLoad {
  const load = loads.get(server) ?? createServerLoad();
  loads.set(server, load);
  return load;
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
