/** Assigns resources without a holder to entries, and commits the assignments to the log. */
import {
  type Assignment,
  assignmentOf,
  chooseHolder,
  holderEndedForMs,
  type HolderPreference,
  type Incarnation,
  kindOf,
  leaseMsOf,
  listAssignments,
  type Resource,
} from '@bramleykeel/core';
import type { LeaderService } from './leader-service.js';

/** Assigns one resource to an entry; returns whether a new assignment was committed. */
export async function assignResource(
  service: LeaderService,
  resource: Resource,
  excluded: Incarnation | undefined,
): Promise<boolean> {
  const assigned = await assignResources(service, [resource], excluded);
  return assigned.length > 0;
}

/** Assigns resources to entries with one write to the log; returns the committed assignments. */
export async function assignResources(
  service: LeaderService,
  resources: readonly Resource[],
  excluded: Incarnation | undefined,
): Promise<readonly Assignment[]> {
  const unclaimed = resources.filter((resource) => !service.resourcesBeingAssigned.has(resource));
  const assignments = chooseHolders(service, unclaimed, excluded);
  if (assignments.length === 0) return [];
  for (const { resource } of assignments) service.resourcesBeingAssigned.add(resource);
  const commands = assignments.map((assignment) => ({ kind: 'owner/assign', assignment }) as const);
  const results = await service.driver.proposeAll(commands);
  for (const { resource } of assignments) service.resourcesBeingAssigned.delete(resource);
  const completed = assignments.filter((_assignment, index) => results[index]?.kind === 'done');
  for (const assignment of completed) recordAssignment(service, assignment);
  return completed;
}

/** Counts holders chosen in this call as well, so that resources are spread over the entries. */
function chooseHolders(
  service: LeaderService,
  resources: readonly Resource[],
  excluded: Incarnation | undefined,
): Assignment[] {
  const control = service.driver.control();
  const requested = new Set(resources);
  const currentAssignments = listAssignments(control).filter(
    ({ resource }) => !requested.has(resource),
  );
  const chosen: Assignment[] = [];
  for (const resource of resources) {
    const current = assignmentOf(control, resource);
    const isHeavy = current?.isHeavy === true || service.heavyGroups.has(resource);
    const preferredZone = service.preferredZones.get(resource) ?? current?.wishedZone;
    const preference: HolderPreference = {
      kind: kindOf(resource),
      zone: preferredZone,
      regionOf: service.regionOf,
      homes: service.homesOf(resource),
      excluded,
      isHeavy,
    };
    const holder = chooseHolder(
      service.leases,
      [...currentAssignments, ...chosen],
      preference,
      performance.now(),
    );
    if (!holder) continue;
    const { entryId, incarnation, linkAddress, zone } = holder;
    const epoch = (current?.epoch ?? 0) + 1;
    const formerEndedForMs =
      current && holderEndedForMs(service.leases, current, performance.now());
    const isHandedOver = current && service.releasedEpochs.get(resource) === current.epoch;
    chosen.push({
      ...{ resource, epoch, entryId, incarnation, linkAddress, zone },
      leaseMs: leaseMsOf(service.timing, holder),
      ...(preferredZone === undefined ? {} : { wishedZone: preferredZone }),
      ...(formerEndedForMs === undefined ? {} : { formerEndedForMs }),
      ...(isHandedOver === true ? { isHandedOver } : {}),
      ...(isHeavy ? { isHeavy } : {}),
    });
  }
  return chosen;
}

function recordAssignment(
  service: LeaderService,
  { resource, epoch, entryId, incarnation }: Assignment,
): void {
  service.releasedEpochs.delete(resource);
  const [kind = '', name = ''] = resource.split('/');
  service.log(`${resource} is now held by ${entryId}`, {
    [kind]: name,
    epoch,
    incarnation,
    controlTerm: service.driver.raft.currentTerm,
  });
}
