/** Chooses entries for resources that have none, and writes the choice to the log. */
import {
  type Assignment,
  assignmentOf,
  chooseHolder,
  type HolderPreference,
  type Incarnation,
  listAssignments,
  type Resource,
} from '@bramleykeel/core';
import type { LeaderService } from './leader-service.js';

/** Gives one resource to an entry; returns whether it has a holder now. */
export async function assign(
  service: LeaderService,
  resource: Resource,
  excluded: Incarnation | undefined,
): Promise<boolean> {
  const assigned = await assignAll(service, [resource], excluded);
  return assigned.length > 0;
}

/** Gives resources to entries, all with one write to the log; returns those that have a holder now. */
export async function assignAll(
  service: LeaderService,
  resources: readonly Resource[],
  excluded: Incarnation | undefined,
): Promise<readonly Assignment[]> {
  const free = resources.filter((resource) => !service.assigning.has(resource));
  const assignments = chooseHolders(service, free, excluded);
  if (assignments.length === 0) return [];
  for (const { resource } of assignments) service.assigning.add(resource);
  const commands = assignments.map((assignment) => ({ kind: 'owner/assign', assignment }) as const);
  const results = await service.driver.proposeAll(commands);
  for (const { resource } of assignments) service.assigning.delete(resource);
  const done = assignments.filter((_assignment, index) => results[index]?.kind === 'done');
  for (const assignment of done) noteAssigned(service, assignment);
  return done;
}

/** Those chosen already count as held, so that many resources do not all go to the same entry. */
function chooseHolders(
  service: LeaderService,
  resources: readonly Resource[],
  excluded: Incarnation | undefined,
): Assignment[] {
  const control = service.driver.control();
  const isTaken = new Set(resources);
  const held = listAssignments(control).filter(({ resource }) => !isTaken.has(resource));
  const chosen: Assignment[] = [];
  for (const resource of resources) {
    const current = assignmentOf(control, resource);
    const wishedZone = service.zoneWishes.get(resource) ?? current?.wishedZone;
    const wish: HolderPreference = { zone: wishedZone, regionOf: service.regionOf, excluded };
    const holder = chooseHolder(service.leases, [...held, ...chosen], wish, performance.now());
    if (!holder) continue;
    const { entryId, incarnation, linkAddress } = holder;
    const epoch = (current?.epoch ?? 0) + 1;
    const assignment = { resource, epoch, entryId, incarnation, linkAddress };
    chosen.push(wishedZone === undefined ? assignment : { ...assignment, wishedZone });
  }
  return chosen;
}

function noteAssigned(
  service: LeaderService,
  { resource, epoch, entryId, incarnation }: Assignment,
): void {
  service.released.delete(resource);
  const [kind = '', name = ''] = resource.split('/');
  service.log(`${resource} is now held by ${entryId}`, {
    [kind]: name,
    epoch,
    incarnation,
    controlTerm: service.driver.raft.currentTerm,
  });
}
