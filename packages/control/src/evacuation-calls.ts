/** Evacuations of zones: index, change and list, as answered by the leader. */
import { type Evacuation, evacuationIndexOf, listEvacuations } from '@bramleykeel/core';
import { confirmLeadership, type LeaderService } from './leader/leader-service.js';

export interface EvacuationChange {
  readonly zone: string;
  /** Whether the zone shall be evacuated; otherwise the order is withdrawn. */
  readonly isOrdered: boolean;
  /** The index that {@link readEvacuationIndex} returned. */
  readonly expectedIndex: number;
}

export type EvacuationIndexAnswer =
  { readonly kind: 'found'; readonly index: number } | { readonly kind: 'unavailable' };

export interface EvacuationChangeAnswer {
  readonly kind: 'accepted' | 'superseded' | 'unavailable';
}

export type EvacuationListAnswer =
  | { readonly kind: 'found'; readonly evacuations: readonly Evacuation[] }
  | { readonly kind: 'unavailable' };

/**
 * Returns the index that a change of the zone has to name. It is not confirmed by a quorum: an outdated index only
 * makes the change fail.
 */
export function readEvacuationIndex(leader: LeaderService, zone: string): EvacuationIndexAnswer {
  return { kind: 'found', index: evacuationIndexOf(leader.driver.control(), zone) };
}

/**
 * Orders or withdraws an evacuation; accepted once it is synced at a quorum. A change that asks for the present state
 * goes through the log as well, so that only a confirmed leader acknowledges it.
 */
export async function changeEvacuation(
  leader: LeaderService,
  { zone, isOrdered, expectedIndex }: EvacuationChange,
): Promise<EvacuationChangeAnswer> {
  const result = await leader.driver.propose(
    isOrdered
      ? { kind: 'evacuation/order', zone, expectedIndex, wallClockMs: Date.now() }
      : { kind: 'evacuation/withdraw', zone, expectedIndex },
  );
  if (!result) return { kind: 'unavailable' };
  if (result.kind !== 'done') return { kind: 'superseded' };
  const action = isOrdered ? 'ordered' : 'withdrawn';
  leader.log(`evacuation of ${zone} ${action}`, { zone });
  return { kind: 'accepted' };
}

/** Lists the evacuations in force after a quorum has confirmed that this member still leads. */
export async function readEvacuations(leader: LeaderService): Promise<EvacuationListAnswer> {
  const isConfirmed = await confirmLeadership(leader);
  if (!isConfirmed) return { kind: 'unavailable' };
  return { kind: 'found', evacuations: listEvacuations(leader.driver.control()) };
}
