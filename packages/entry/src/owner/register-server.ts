/** Registers the servers of a group with control, whose list of members lets a new owner determine the quorum. */
import { mayAddMember, type ServerName } from '@bramleykeel/core';
import type { GroupOwner } from './owner-state.js';

/** Notes which position covers all that was acknowledged before the present members were on record. */
export function trackMembership(owner: GroupOwner): void {
  const { servers: members } = owner.environment.groupRecord();
  const isKnown = owner.membership?.members.join() === members.join();
  // Before the position of the primary is known, a former owner may have acknowledged more than this one has seen.
  if (isKnown || owner.baseMark === undefined) return;
  owner.membership = { members, mark: owner.highestSeen };
}

/**
 * Proposes a server that has announced itself as a member. It counts neither for acknowledgements nor for a change of primary before
 * control has it on record; if it has to wait, it is proposed with one of its next announcements.
 */
export function registerServer(owner: GroupOwner, server: ServerName): void {
  const { group, epoch: ownerEpoch, environment, view, membership } = owner;
  const { servers: members, primary, term } = environment.groupRecord();
  if (members.includes(server)) return;
  const isCurrent = membership?.members.join() === members.join();
  const heldBefore = isCurrent ? membership.mark : undefined;
  if (!mayAddMember(heldBefore, { view, members, primary, term })) {
    environment.log(`server ${server} waits until the members of ${group} have caught up`, {
      members: members.join(' '),
      heldBefore: heldBefore && `${heldBefore.term}.${heldBefore.offset}`,
    });
    return;
  }
  const from = { ownerEpoch, memberCount: members.length };
  void environment.propose({ kind: 'group/observe', group, server, from });
}
