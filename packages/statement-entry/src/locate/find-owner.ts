/** Finds the owner of a group without asking for one. */
import { type Assignment, assignmentOf, type GroupName, type RecordStore } from '@bramleykeel/core';

export interface OwnerDirectory {
  readonly options: { readonly control: RecordStore };
  /** The newest epoch of each group whose end the owner has reported. */
  readonly endedEpochs: ReadonlyMap<GroupName, number>;
}

/** The assignment of a group's owner; `undefined` if there is none, or if that owner has ended. */
export function findOwnerAssignment(
  { options, endedEpochs }: OwnerDirectory,
  group: GroupName,
): Assignment | undefined {
  const assignment = assignmentOf(options.control, `group/${group}`);
  // The owner has ended and control has not announced its successor here yet.
  const hasEnded = assignment && assignment.epoch <= (endedEpochs.get(group) ?? 0);
  return hasEnded === true ? undefined : assignment;
}
