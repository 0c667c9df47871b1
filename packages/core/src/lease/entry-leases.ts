/**
 * Entry leases as tracked by the control leader. One lease per incarnation covers all resources
 * assigned to it, so that the number of renewals does not grow with groups and customers.
 */
import { type Assignment, kindOf, type ResourceKind } from '../control-state/types.js';
import { isHome } from '../placement/home-regions.js';
import type { EntryId, Incarnation } from '../types/ids.js';

export interface LeaseTiming {
  readonly leaseMs: number;
  /**
   * Lease of entries on narrow instances, in milliseconds; `leaseMs` if absent. What they hold goes on without control
   * for as long.
   */
  readonly longLeaseMs?: number | undefined;
  /** Additional wait before a resource is reassigned, to allow for clock drift. */
  readonly driftMarginMs: number;
}

export interface EntryLease {
  readonly entryId: EntryId;
  readonly incarnation: Incarnation;
  readonly linkAddress: string;
  readonly zone: string;
  /** Bandwidth of the entry's instance in Mbit/s; `undefined` if unknown. */
  readonly linkMbps?: number | undefined;
  /**
   * Whether a control member runs on the same instance. Other entries are preferred as holders, so that
   * the loss of such an instance does not affect groups as well.
   */
  readonly isBesideControl?: boolean | undefined;
  /** Time since the process bound `linkAddress`, or since it took this incarnation if that was later. */
  readonly incarnationAgeMs?: number | undefined;
  readonly isStopping: boolean;
  readonly settingsRevision: number;
  readonly expiresAtMs: number;
}

export interface EntryLeases {
  readonly timing: LeaseTiming;
  readonly leaderSinceMs: number;
  /** Latest time at which an earlier leader can have granted a lease. */
  readonly formerGrantsUntilMs: number;
  readonly leases: Map<Incarnation, EntryLease>;
  /**
   * Incarnations that have ended (proven dead, expired, or stopped after a handover), with the time after
   * which they have certainly not acted.
   */
  readonly ended: Map<Incarnation, number>;
}

/** Starts without leases. A new leader waits until leases granted by earlier leaders have expired. */
export function createEntryLeases(
  timing: LeaseTiming,
  leaderSinceMs: number,
  formerGrantsUntilMs = leaderSinceMs,
): EntryLeases {
  return { timing, leaderSinceMs, formerGrantsUntilMs, leases: new Map(), ended: new Map() };
}

/**
 * Records a renewal. The lease runs from `nowMs`, the time of the leader's reply. An ended incarnation
 * cannot renew; its process must register under a new one.
 */
export function renewLease(
  state: EntryLeases,
  renewal: Omit<EntryLease, 'expiresAtMs'>,
  nowMs: number,
): 'renewed' | 'ended' {
  if (state.ended.has(renewal.incarnation)) return 'ended';
  endEarlierIncarnationsAtAddress(state, renewal, nowMs);
  const expiresAtMs = nowMs + leaseMsOf(state.timing, renewal);
  state.leases.set(renewal.incarnation, { ...renewal, expiresAtMs });
  return 'renewed';
}

/**
 * Duration of an entry's lease, in milliseconds. It is long on narrow instances: each holds little, so that a silent one
 * concerns few, while a loss of control concerns all.
 *
 * @example
 * leaseMsOf({ leaseMs: 1_050, driftMarginMs: 80, longLeaseMs: 3_000 }, { linkMbps: 2 }); // 3000
 */
export function leaseMsOf(
  { leaseMs, longLeaseMs = leaseMs }: LeaseTiming,
  entry: Pick<EntryLease, 'linkMbps'>,
): number {
  return isWide(entry) ? leaseMs : longLeaseMs;
}

/** Whether an instance has more than a narrow link. */
export function isWide({ linkMbps }: Pick<EntryLease, 'linkMbps'>): boolean {
  return linkMbps === undefined || linkMbps >= MIN_WIDE_LINK_MBPS;
}

/** Only one process can be bound to an address, so earlier incarnations at the address have ended. */
function endEarlierIncarnationsAtAddress(
  state: EntryLeases,
  renewal: Omit<EntryLease, 'expiresAtMs'>,
  nowMs: number,
): void {
  if (state.leases.has(renewal.incarnation)) return;
  const endedAtMs = nowMs - (renewal.incarnationAgeMs ?? 0);
  for (const lease of state.leases.values()) {
    if (lease.linkAddress === renewal.linkAddress)
      endIncarnation(state, lease.incarnation, endedAtMs);
  }
}

/**
 * Ends the assignment holders whose address is now used by a newer incarnation, including holders
 * whose lease this leader did not grant. Returns whether any were ended.
 */
export function endEarlierHoldersAtAddress(
  state: EntryLeases,
  assignments: readonly Assignment[],
  renewal: Pick<EntryLease, 'incarnation' | 'linkAddress' | 'incarnationAgeMs'>,
  nowMs: number,
): boolean {
  const earlier = assignments.filter(
    ({ linkAddress, incarnation }) =>
      linkAddress === renewal.linkAddress &&
      incarnation !== renewal.incarnation &&
      !state.ended.has(incarnation),
  );
  const endedAtMs = nowMs - (renewal.incarnationAgeMs ?? 0);
  for (const { incarnation } of earlier) endIncarnation(state, incarnation, endedAtMs);
  return earlier.length > 0;
}

/**
 * Records that an incarnation can no longer run or acknowledge requests.
 *
 * @param atMs time after which it has certainly not acted; the earliest one reported is kept
 */
export function endIncarnation(state: EntryLeases, incarnation: Incarnation, atMs: number): void {
  state.ended.set(incarnation, Math.min(atMs, state.ended.get(incarnation) ?? atMs));
  state.leases.delete(incarnation);
}

/** For how long the holder of an assignment has certainly ended; `undefined` if it may still act. */
export function holderEndedForMs(
  state: EntryLeases,
  { incarnation }: Pick<Assignment, 'incarnation'>,
  nowMs: number,
): number | undefined {
  const endedAtMs = state.ended.get(incarnation);
  return endedAtMs === undefined ? undefined : Math.max(0, Math.floor(nowMs - endedAtMs));
}

/** The time at which the lease of a holder has expired, if it was granted by an earlier leader. */
function formerLeaseEndMs(
  { formerGrantsUntilMs, timing }: EntryLeases,
  assignment: Pick<Assignment, 'leaseMs'>,
): number {
  // Assignments of former versions do not contain the lease.
  const leaseMs = assignment.leaseMs ?? Math.max(timing.leaseMs, timing.longLeaseMs ?? 0);
  return formerGrantsUntilMs + leaseMs + timing.driftMarginMs;
}

/** Whether the holder of an assignment may still act on it. */
export function mayHolderAct(state: EntryLeases, assignment: Assignment, nowMs: number): boolean {
  if (state.ended.has(assignment.incarnation)) return false;
  const lease = state.leases.get(assignment.incarnation);
  if (lease) return nowMs < leaseEndMs(state, lease);
  return nowMs < formerLeaseEndMs(state, assignment);
}

/** Ends all incarnations whose lease and drift margin have expired, and returns them. */
export function endExpiredLeases(state: EntryLeases, nowMs: number): Incarnation[] {
  const expired = [...state.leases.values()].filter((lease) => nowMs >= leaseEndMs(state, lease));
  for (const lease of expired) endIncarnation(state, lease.incarnation, leaseEndMs(state, lease));
  return expired.map(({ incarnation }) => incarnation);
}

function leaseEndMs({ timing }: EntryLeases, { expiresAtMs }: EntryLease): number {
  return expiresAtMs + timing.driftMarginMs;
}

/** Entries that can be assigned resources. */
export function liveEntries(state: EntryLeases, nowMs: number): EntryLease[] {
  return [...state.leases.values()].filter(
    (lease) => nowMs < lease.expiresAtMs && !lease.isStopping,
  );
}

/** Placement preference for a resource. */
export interface HolderPreference {
  readonly kind: ResourceKind;
  readonly zone: string | undefined;
  /** Region of a zone, if zones are grouped; other zones of the region are the second choice. */
  readonly regionOf?: (zone: string) => string | undefined;
  /** Regions in which the holder should be before all else; `undefined` without a limit. */
  readonly homes?: readonly string[] | undefined;
  readonly excluded: Incarnation | undefined;
  /** Whether the resource is a group that is too heavy for narrow instances. */
  readonly isHeavy?: boolean;
}

/** Instances with less bandwidth, in Mbit/s, are narrow. Where there are both, control runs on the wide ones. */
const MIN_WIDE_LINK_MBPS = 20;

/**
 * How many homes or readers a narrow instance holds before another one is used. Each entry has a link to each
 * holder, so few holders are better than one for each resource. Groups are spread, because their owners do the work.
 */
const MAX_HELD_BY_NARROW_INSTANCE = { customer: 24, reader: 4 };

/**
 * Chooses the entry for a resource. Narrow instances come first, so that what they hold survives the loss of all wide
 * ones, which run control.
 *
 * - Groups are owned in the preferred zone, where their primary is, one to a narrow instance if there is one.
 * - Groups that are too heavy for narrow instances go to wide ones, of any zone if need be.
 * - Homes of rates and readers are on narrow instances of any zone, many to each.
 *
 * A group with home regions is owned in one of them, if there is an entry. After that count the preferred zone, absence of a control member on the instance, and number of resources; ties are
 * broken by entry id.
 *
 * @example
 * const preference = { kind: 'group', zone: 'erdenet-a', excluded: undefined } as const;
 * chooseHolder(leases, listAssignments(state), preference, nowMs);
 */
export function chooseHolder(
  state: EntryLeases,
  assignments: readonly Assignment[],
  preference: HolderPreference,
  nowMs: number,
): EntryLease | undefined {
  const held = countHeld(assignments, preference.kind);
  // One pass instead of sorting: after a loss of all, hundreds of resources choose among hundreds of entries.
  let best: { readonly lease: EntryLease; readonly rank: readonly number[] } | undefined;
  for (const lease of state.leases.values()) {
    const isCandidate =
      nowMs < lease.expiresAtMs && !lease.isStopping && lease.incarnation !== preference.excluded;
    if (!isCandidate) continue;
    const rank = rankHolder(lease, preference, held);
    const order = best ? compareRanks(rank, best.rank) : -1;
    if (best && (order > 0 || (order === 0 && lease.entryId >= best.lease.entryId))) continue;
    best = { lease, rank };
  }
  return best?.lease;
}

interface HeldCounts {
  readonly ofAllKinds: ReadonlyMap<Incarnation, number>;
  /** Resources of the kind that a holder is chosen for. */
  readonly ofKind: ReadonlyMap<Incarnation, number>;
}

function countHeld(assignments: readonly Assignment[], kind: ResourceKind): HeldCounts {
  const ofAllKinds = new Map<Incarnation, number>();
  const ofKind = new Map<Incarnation, number>();
  for (const { resource, incarnation } of assignments) {
    ofAllKinds.set(incarnation, (ofAllKinds.get(incarnation) ?? 0) + 1);
    if (kindOf(resource) === kind) ofKind.set(incarnation, (ofKind.get(incarnation) ?? 0) + 1);
  }
  return { ofAllKinds, ofKind };
}

/** What speaks against an entry as the holder, the most important first; lower is better. */
function rankHolder(
  lease: EntryLease,
  preference: HolderPreference,
  held: HeldCounts,
): readonly number[] {
  const widthRank = isWide(lease) === (preference.isHeavy === true) ? 0 : 1;
  const zoneRank = rankZone(lease.zone, preference);
  const controlRank = lease.isBesideControl === true ? 1 : 0;
  const loadRank = rankLoad(lease, preference.kind, held);
  const prefersZone = preference.kind === 'group' && preference.isHeavy !== true;
  const homeRank = isInHomes(lease.zone, preference) ? 0 : 1;
  return prefersZone
    ? [homeRank, zoneRank, widthRank, controlRank, loadRank]
    : [homeRank, widthRank, zoneRank, controlRank, loadRank];
}

function isInHomes(zone: string, { homes, regionOf }: HolderPreference): boolean {
  return isHome(homes, regionOf?.(zone) ?? zone);
}

function rankZone(zone: string, { zone: preferred, regionOf }: HolderPreference): number {
  if (zone === preferred) return 0;
  const region = preferred === undefined ? undefined : regionOf?.(preferred);
  return region !== undefined && region === regionOf?.(zone) ? 1 : 2;
}

function rankLoad(lease: EntryLease, kind: ResourceKind, held: HeldCounts): number {
  const { incarnation } = lease;
  if (kind === 'group' || isWide(lease)) return held.ofAllKinds.get(incarnation) ?? 0;
  // Holders with room come first, then instances that hold none.
  const count = held.ofKind.get(incarnation) ?? 0;
  return count > 0 && count < MAX_HELD_BY_NARROW_INSTANCE[kind] ? -1 : count;
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  for (const [index, value] of left.entries()) {
    const difference = value - (right[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/**
 * Returns the assignments whose holder may no longer act, and ends these holders, so that none can
 * renew its lease before the reassignment is committed.
 */
export function endExpiredHolders(
  state: EntryLeases,
  assignments: readonly Assignment[],
  nowMs: number,
): Assignment[] {
  const orphaned = assignments.filter((assignment) => !mayHolderAct(state, assignment, nowMs));
  // The time of a holder that has ended is known already, and closer than what a former leader's lease tells.
  const unended = orphaned.filter(({ incarnation }) => !state.ended.has(incarnation));
  for (const assignment of unended) {
    const lease = state.leases.get(assignment.incarnation);
    const endedAtMs = lease ? leaseEndMs(state, lease) : formerLeaseEndMs(state, assignment);
    endIncarnation(state, assignment.incarnation, Math.min(nowMs, endedAtMs));
  }
  return orphaned;
}
