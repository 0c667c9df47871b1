/**
 * Whether an owner knows all replicas of its group. An owner that has led a primary does, and so does one that was sent the
 * servers by a control member to which such an owner has said so. After the loss of all processes nobody does: a replica that
 * joined right before may have acknowledged commits, and is neither on record nor announced if it is out of reach.
 */
import type { StatementOwner } from './owner-state.js';

/**
 * A server of which nothing was heard for this long, in milliseconds, is taken to be lost for good. Until then a change of
 * primary may have to wait for the commits in its log.
 */
export const LOST_FOR_GOOD_MS = 60_000;

/** Whether the owner knows all replicas that may still return. */
export function isMembershipKnown(owner: StatementOwner): boolean {
  return owner.isMembershipKnown || performance.now() - owner.startedAtMs >= LOST_FOR_GOOD_MS;
}

/**
 * Takes the word of a control member that has sent all servers that it knows.
 *
 * @param isKnownThere whether these were all servers of the group
 * @returns whether this owner knows all servers
 */
export function exchangeMembership(owner: StatementOwner, isKnownThere: boolean): boolean {
  if (isKnownThere && !owner.isMembershipKnown) {
    owner.isMembershipKnown = true;
    owner.environment.log('a control member knows all servers of the group', {
      servers: [...owner.servers.keys()].join(' '),
    });
  }
  return owner.isMembershipKnown;
}
