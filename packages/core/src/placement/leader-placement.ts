/** Where the primary of a group may be, and when it is replaced as planned because of its place. */

/** The rules for the places of a group's servers. */
export interface PlacementRules {
  readonly evacuatedZones: ReadonlySet<string>;
  /** Regions in which the primary should be; `undefined` if it may be anywhere. */
  readonly homes: readonly string[] | undefined;
  readonly regionOf: (zone: string) => string;
}

/** A server as far as its fitness to lead can be told without asking it. */
export interface LeaderCandidate {
  readonly zone: string;
  readonly isLeaving: boolean;
  /** Whether connections to it fail. */
  readonly isFailing: boolean;
}

/** How well a zone suits the primary. Nothing starts on an evacuated server; the other two serve statements. */
export type LeaderPlacement = 'suitable' | 'outside-homes' | 'evacuated';

/** Why a primary that works is replaced. */
export type PlannedChangeReason = 'leaving' | 'evacuated' | 'outside-homes';

/**
 * How well a zone suits the primary.
 *
 * @example
 * leaderPlacement('ub-a', { evacuatedZones: new Set(['ub-a']), homes: undefined, regionOf }); // 'evacuated'
 */
export function leaderPlacement(
  zone: string,
  { evacuatedZones, homes, regionOf }: PlacementRules,
): LeaderPlacement {
  if (evacuatedZones.has(zone)) return 'evacuated';
  return homes === undefined || homes.includes(regionOf(zone)) ? 'suitable' : 'outside-homes';
}

/**
 * Whether a server could take over as the primary.
 *
 * @example
 * const isReplaceable = others.some((other) => canLead(other, rules));
 */
export function canLead(
  { zone, isLeaving, isFailing }: LeaderCandidate,
  { evacuatedZones }: PlacementRules,
): boolean {
  return !isLeaving && !isFailing && !evacuatedZones.has(zone);
}

/**
 * Why the primary should be replaced now; `undefined` if it leads on, also for want of a server that could lead in its
 * place. A primary outside the homes is replaced only by one in them.
 *
 * @example
 * const reason = plannedChangeReason(primary, others, rules);
 * if (reason === 'evacuated') await changePrimary(owner, 'the zone of the primary is evacuated', true);
 */
export function plannedChangeReason(
  primary: LeaderCandidate,
  others: readonly LeaderCandidate[],
  rules: PlacementRules,
): PlannedChangeReason | undefined {
  const successors = others.filter((other) => canLead(other, rules));
  if (successors.length === 0) return undefined;
  if (primary.isLeaving) return 'leaving';
  const placement = leaderPlacement(primary.zone, rules);
  if (placement === 'evacuated') return 'evacuated';
  const isSuitable = ({ zone }: LeaderCandidate) => leaderPlacement(zone, rules) === 'suitable';
  return placement === 'outside-homes' && successors.some(isSuitable) ? 'outside-homes' : undefined;
}
