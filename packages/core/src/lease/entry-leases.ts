/**
 * Leases of entries, as the control leader sees them: one lease for each incarnation covers every
 * resource assigned to it, so that renewals do not grow with the number of groups and customers.
 */
import type { Assignment } from '../control-state/types.js';
import type { EntryId, Incarnation } from '../types/ids.js';

export interface LeaseTiming {
  readonly leaseMs: number;
  /** Added before a resource is given to another entry, for clocks that run at different speeds. */
  readonly driftMarginMs: number;
}

export interface EntryLease {
  readonly entryId: EntryId;
  readonly incarnation: Incarnation;
  readonly linkAddress: string;
  readonly zone: string;
  /** Bandwidth of the entry's instance in Mbit/s; `undefined` when it is not known. */
  readonly linkMbps?: number | undefined;
  /** Whether a control member runs on the same instance: losing it should not take groups along. */
  readonly isBesideControl?: boolean | undefined;
  readonly isStopping: boolean;
  readonly settingsRevision: number;
  readonly expiresAtMs: number;
}

export interface EntryLeases {
  readonly timing: LeaseTiming;
  readonly leaderSinceMs: number;
  /** When an earlier leader can have granted a lease for the last time. */
  readonly formerGrantsUntilMs: number;
  readonly leases: Map<Incarnation, EntryLease>;
  /** Incarnations known to be over: proven dead, expired, or stopped after handing over. */
  readonly ended: Set<Incarnation>;
}

/** Starts with no knowledge: a new leader waits out what earlier leaders may have granted. */
export function createEntryLeases(
  timing: LeaseTiming,
  leaderSinceMs: number,
  formerGrantsUntilMs = leaderSinceMs,
): EntryLeases {
  return { timing, leaderSinceMs, formerGrantsUntilMs, leases: new Map(), ended: new Set() };
}

/**
 * Records a renewal; the lease runs from `nowMs`, the time of the leader's answer. An incarnation
 * that has ended stays so: its process has to come back under a new one.
 */
export function renewLease(
  state: EntryLeases,
  renewal: Omit<EntryLease, 'expiresAtMs'>,
  nowMs: number,
): 'renewed' | 'ended' {
  if (state.ended.has(renewal.incarnation)) return 'ended';
  endEarlierAtAddress(state, renewal);
  const expiresAtMs = nowMs + state.timing.leaseMs;
  state.leases.set(renewal.incarnation, { ...renewal, expiresAtMs });
  return 'renewed';
}

/** Only one process can be bound to an address, so earlier incarnations there are over. */
function endEarlierAtAddress(state: EntryLeases, renewal: Omit<EntryLease, 'expiresAtMs'>): void {
  if (state.leases.has(renewal.incarnation)) return;
  for (const lease of state.leases.values()) {
    if (lease.linkAddress === renewal.linkAddress) endIncarnation(state, lease.incarnation);
  }
}

/**
 * Holders of assignments whose address a newer incarnation has taken are over, also for a leader that
 * never granted their lease.
 */
export function endPredecessors(
  state: EntryLeases,
  assignments: readonly Assignment[],
  renewal: Pick<EntryLease, 'incarnation' | 'linkAddress'>,
): boolean {
  const earlier = assignments.filter(
    ({ linkAddress, incarnation }) =>
      linkAddress === renewal.linkAddress &&
      incarnation !== renewal.incarnation &&
      !state.ended.has(incarnation),
  );
  for (const { incarnation } of earlier) endIncarnation(state, incarnation);
  return earlier.length > 0;
}

/** Records that an incarnation can neither run nor acknowledge anything any more. */
export function endIncarnation(state: EntryLeases, incarnation: Incarnation): void {
  state.ended.add(incarnation);
  state.leases.delete(incarnation);
}

/** Tells whether the holder of an assignment may still act on it. */
export function mayHolderAct(state: EntryLeases, assignment: Assignment, nowMs: number): boolean {
  if (state.ended.has(assignment.incarnation)) return false;
  const lease = state.leases.get(assignment.incarnation);
  const { leaseMs, driftMarginMs } = state.timing;
  if (lease) return nowMs < lease.expiresAtMs + driftMarginMs;
  return nowMs < state.formerGrantsUntilMs + leaseMs + driftMarginMs;
}

/** Ends every incarnation whose lease has run out, margin included. Returns the ended ones. */
export function endExpiredLeases(state: EntryLeases, nowMs: number): Incarnation[] {
  const expired = [...state.leases.values()]
    .filter((lease) => nowMs >= lease.expiresAtMs + state.timing.driftMarginMs)
    .map((lease) => lease.incarnation);
  for (const incarnation of expired) endIncarnation(state, incarnation);
  return expired;
}

/** Entries that can take on a resource now. */
export function liveEntries(state: EntryLeases, nowMs: number): EntryLease[] {
  return [...state.leases.values()].filter(
    (lease) => nowMs < lease.expiresAtMs && !lease.isStopping,
  );
}

/** Where a resource is wanted. */
export interface HolderWish {
  readonly zone: string | undefined;
  /** The region of a zone, where zones are grouped: another zone of the region is the next best. */
  readonly regionOf?: (zone: string) => string | undefined;
  readonly excluded: Incarnation | undefined;
}

/**
 * Instances below this bandwidth, in Mbit/s, hold a resource only when there is no other: a group's
 * owner passes on all of the group's traffic, some 2 Mbit/s at the largest size that is planned for.
 */
const MIN_HOLDER_LINK_MBPS = 20;

/**
 * Chooses the entry for a resource: enough bandwidth first, then the wanted zone, then an
 * instance without a control member, then the one with the fewest resources.
 *
 * @example
 * chooseHolder(leases, listAssignments(state), { zone: 'erdenet-a', excluded: undefined }, nowMs);
 */
export function chooseHolder(
  state: EntryLeases,
  assignments: readonly Assignment[],
  wish: HolderWish,
  nowMs: number,
): EntryLease | undefined {
  const held = new Map<Incarnation, number>();
  for (const { incarnation } of assignments)
    held.set(incarnation, (held.get(incarnation) ?? 0) + 1);
  const candidates = liveEntries(state, nowMs).filter(
    (lease) => lease.incarnation !== wish.excluded,
  );
  const linkRank = ({ linkMbps }: EntryLease) =>
    linkMbps === undefined || linkMbps >= MIN_HOLDER_LINK_MBPS ? 0 : 1;
  const zoneRank = ({ zone }: EntryLease) => {
    if (zone === wish.zone) return 0;
    const region = wish.zone === undefined ? undefined : wish.regionOf?.(wish.zone);
    return region !== undefined && region === wish.regionOf?.(zone) ? 1 : 2;
  };
  return candidates.sort(
    (left, right) =>
      linkRank(left) - linkRank(right) ||
      zoneRank(left) - zoneRank(right) ||
      Number(left.isBesideControl ?? false) - Number(right.isBesideControl ?? false) ||
      (held.get(left.incarnation) ?? 0) - (held.get(right.incarnation) ?? 0) ||
      (left.entryId < right.entryId ? -1 : 1),
  )[0];
}

/**
 * Resources whose holder is over. The holders are marked as ended at the same time, so that none of
 * them can renew its lease while the reassignment is still on its way through the log.
 */
export function takeOrphans(
  state: EntryLeases,
  assignments: readonly Assignment[],
  nowMs: number,
): Assignment[] {
  const orphans = assignments.filter((assignment) => !mayHolderAct(state, assignment, nowMs));
  for (const { incarnation } of orphans) endIncarnation(state, incarnation);
  return orphans;
}
