/** The regions in which statements may run and through whose processes their content may pass. */

/** What a route or a customer says about its regions; empty without a limit. */
export interface HomeLimit {
  readonly homeRegions: readonly string[];
}

/** The regions of a statement; `none` if route and customer contradict each other. */
export type EffectiveHomes =
  | { readonly kind: 'anywhere' }
  | { readonly kind: 'regions'; readonly regions: readonly string[] }
  | { readonly kind: 'none' };

/** Regions that a statement is limited to; `null` without a limit. */
export type Homes = readonly string[] | null;

const ANYWHERE: EffectiveHomes = { kind: 'anywhere' };

/** The limits that apply to a statement, combined: a region has to be a home of both. */
export function effectiveHomes(route: HomeLimit, customer: HomeLimit | undefined): EffectiveHomes {
  const isLimited =
    route.homeRegions.length > 0 || (customer !== undefined && customer.homeRegions.length > 0);
  if (!isLimited) return ANYWHERE;
  const common = commonHomes(customer ? [route, customer] : [route]);
  if (common === undefined) return ANYWHERE;
  return common.length === 0 ? { kind: 'none' } : { kind: 'regions', regions: common };
}

/**
 * The regions that all limits have in common, empty if they contradict each other; `undefined` if none limits anything.
 *
 * @example
 * commonHomes([{ homeRegions: ['ub', 'erdenet'] }, { homeRegions: [] }, { homeRegions: ['ub'] }]); // ['ub']
 */
export function commonHomes(limits: Iterable<HomeLimit>): readonly string[] | undefined {
  let common: readonly string[] | undefined;
  for (const { homeRegions } of limits) {
    if (homeRegions.length === 0) continue;
    common = (common ?? [...new Set(homeRegions)]).filter((region) => homeRegions.includes(region));
  }
  return common;
}

/** Whether a region is a home; an unknown region is one only without a limit. */
export function isHome(homes: Homes | undefined, region: string | undefined): boolean {
  return !homes || (region !== undefined && homes.includes(region));
}

/** An entry that holds a resource, as seen from the entry that a caller is connected to. */
export interface HolderPlace {
  /** Whether it is that entry itself. */
  readonly isLocal: boolean;
  /** `undefined` if the assignment was made by a version that records no zone. */
  readonly zone: string | undefined;
}

/**
 * Whether a statement may be forwarded to the holder of a resource.
 *
 * @example
 * if (!mayForward(draft.homes, port, regionOf)) return notRun('no-home-server');
 */
export function mayForward(
  homes: Homes,
  { isLocal, zone }: HolderPlace,
  regionOf: (zone: string) => string,
): boolean {
  return isLocal || isHome(homes, zone === undefined ? undefined : regionOf(zone));
}

/**
 * The homes of each group that has restricted routes, which are the regions that all of these have in common. Groups whose
 * routes contradict each other are left out, because no place suits them.
 *
 * @example
 * homesOfGroups(settings.routes.values()).get(group); // ['ub']
 */
export function homesOfGroups<Group extends string>(
  routes: Iterable<HomeLimit & { readonly group: Group }>,
): ReadonlyMap<Group, readonly string[]> {
  const routesOf = new Map<Group, HomeLimit[]>();
  for (const route of routes) {
    if (route.homeRegions.length === 0) continue;
    routesOf.set(route.group, [...(routesOf.get(route.group) ?? []), route]);
  }
  const homes = [...routesOf].map(([group, limits]) => [group, commonHomes(limits) ?? []] as const);
  return new Map(homes.filter(([, regions]) => regions.length > 0));
}

/** Time between two changes of a group's primary that only move it into a home, in milliseconds. */
export const HOME_CHANGE_INTERVAL_MS = 10_000;
