/** Since when an entry holds its resources, and what is known about their former holders. */
import type {
  Assignment,
  FormerHolder,
  Incarnation,
  RecordDelta,
  Resource,
} from '@bramleykeel/core';

export interface HeldResources {
  /** When the present assignment of each resource of this entry arrived. */
  readonly assignedAtMs: Map<Resource, number>;
}

export function createHeldResources(): HeldResources {
  return { assignedAtMs: new Map() };
}

/** Records which of the new assignments are those of this incarnation. */
export function recordAssignments(
  { assignedAtMs }: HeldResources,
  deltas: readonly RecordDelta[],
  incarnation: Incarnation,
): void {
  const nowMs = performance.now();
  for (const { stored } of deltas) {
    if (stored.record.kind !== 'assignment') continue;
    const { resource, incarnation: holder } = stored.record.assignment;
    if (holder === incarnation) assignedAtMs.set(resource, nowMs);
    else assignedAtMs.delete(resource);
  }
}

/** For how long the former holder of a resource has certainly ended, in milliseconds; 0 if that is unknown. */
export function formerHolderEndedForMs(
  held: HeldResources,
  resource: Resource,
  assignment: Assignment | undefined,
): number {
  const endedForMs = assignment?.formerEndedForMs;
  return endedForMs === undefined ? 0 : endedForMs + heldForMs(held, resource);
}

/** What is known about the former holder of a resource that this entry holds. */
export function formerHolderOf(held: HeldResources, assignment: Assignment): FormerHolder {
  const { resource, epoch, isHandedOver = false } = assignment;
  return {
    epoch,
    heldForMs: heldForMs(held, resource),
    endedForMs: formerHolderEndedForMs(held, resource, assignment),
    hasReleased: isHandedOver,
  };
}

function heldForMs({ assignedAtMs }: HeldResources, resource: Resource): number {
  const nowMs = performance.now();
  return nowMs - (assignedAtMs.get(resource) ?? nowMs);
}
