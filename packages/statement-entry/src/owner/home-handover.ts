/** Hands groups over to an entry in a home region after a change of settings has made this one no home. */
import { type Assignment, isHome, listAssignments } from '@bramleykeel/core';
import { handOverGroup, type StatementOwnerRegistry } from './owner-registry.js';
import type { StatementOwner } from './owner-state.js';

/** Time that open transactions have before their group moves, in milliseconds; its callers wait meanwhile. */
const MOVE_GRACE_MS = 200;
/**
 * An owner moves its group only after this time, in milliseconds: if control finds no entry in a home, the group goes to
 * another one outside, which would hand it over as well.
 */
const MIN_OWNED_MS = 10_000;

/**
 * Hands over the groups whose routes have their homes elsewhere, if an entry there holds something, so that control
 * finds one.
 *
 * @example
 * setInterval(() => handOverMisplacedGroups(registry), timing.renewEveryMs);
 */
export function handOverMisplacedGroups(registry: StatementOwnerRegistry): void {
  const misplaced = [...registry.owners.values()].filter(isMisplaced);
  if (misplaced.length === 0) return;
  const assignments = listAssignments(registry.options.control);
  for (const owner of misplaced) {
    if (!assignments.some((assignment) => isHeldInHome(owner, assignment))) continue;
    owner.environment.log('the group has its homes in other regions');
    void handOverGroup(registry, owner, MOVE_GRACE_MS, {});
  }
}

function isMisplaced({ environment, isStopping, startedAtMs }: StatementOwner): boolean {
  const homes = environment.homeRegions();
  if (!homes || isStopping || performance.now() - startedAtMs < MIN_OWNED_MS) return false;
  return !isHome(homes, environment.regionOf(environment.zone));
}

function isHeldInHome({ environment }: StatementOwner, { zone }: Assignment): boolean {
  return zone !== undefined && isHome(environment.homeRegions(), environment.regionOf(zone));
}
