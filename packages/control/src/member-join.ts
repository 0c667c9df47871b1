/**
 * Membership changes: members with new disks, new members, and unresponsive voters and learners.
 * Each step changes a single member and is committed before the next one is proposed.
 */
import {
  type DiskId,
  hasPendingMembership,
  type MemberId,
  type MemberRecord,
  type Membership,
  membershipOf,
} from '@bramleykeel/core';
import type { Log } from '@bramleykeel/link';
import type { LogDriver } from './log-driver.js';

export interface JoinRequest {
  readonly id: MemberId;
  readonly diskId: DiskId;
  /** Link address; required only if the member is not in the membership yet. */
  readonly address?: string;
  readonly adminAddress?: string;
  /** Whether it has persistent storage; only then may it become a voter once it has caught up. */
  readonly isEligible: boolean;
}

export type JoinAnswer = 'waiting' | 'member' | 'refused' | 'not-leader';

/**
 * A member that replied from its recorded disk within this time is alive. If it is a voter, a join with
 * its id from another disk is a mistake and is refused.
 */
const MEMBER_ALIVE_TIMEOUT_MS = 1_000;
/** A voter that has not replied for this long may be replaced by a learner that has caught up. */
const VOTER_TIMEOUT_MS = 2_000;
/** A learner that has not replied for this long is removed from the membership; it may rejoin. */
const LEARNER_TIMEOUT_MS = 15_000;

/**
 * Handles a join request on the leader. The member's new disk is first recorded as a learner, so that
 * the log is replicated to it; `reconcileMembership` makes it a voter once it has caught up. Both
 * steps are committed membership changes.
 */
export function handleJoin(
  driver: LogDriver,
  request: JoinRequest,
  allowsNewMembers: boolean,
  log: Log,
): JoinAnswer {
  const { raft } = driver;
  if (raft.role !== 'leader') return 'not-leader';
  const record = membershipOf(raft)[request.id];
  if (!record) return allowsNewMembers ? addLearner(driver, request, log) : 'refused';
  if (record.diskId === request.diskId) return record.isVoter ? 'member' : 'waiting';
  const progress = raft.progress.get(request.id);
  const isOldDiskAlive =
    progress?.diskId === record.diskId &&
    performance.now() - progress.lastReplyMs < MEMBER_ALIVE_TIMEOUT_MS &&
    record.isVoter;
  if (isOldDiskAlive && progress.matchIndex > 0) return 'refused';
  if (hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return 'waiting';
  log(`member ${request.id} has a new disk; adding it as a learner until it has caught up`);
  const { diskId, isEligible } = request;
  changeMember(driver, request.id, { ...record, diskId, isVoter: false, isEligible });
  return 'waiting';
}

function addLearner(driver: LogDriver, request: JoinRequest, log: Log): JoinAnswer {
  const { id, diskId, address, adminAddress = '', isEligible } = request;
  if (address === undefined) return 'refused';
  if (hasPendingMembership(driver.raft) || !hasCommittedInTerm(driver)) return 'waiting';
  log(`member ${id} at ${address} is new; adding it as a learner until it has caught up`);
  changeMember(driver, id, { address, adminAddress, diskId, isVoter: false, isEligible });
  return 'waiting';
}

/**
 * Makes at most one change that brings the membership closer to `maxVoters` live voters. Called
 * periodically; does nothing on members that do not lead.
 */
export function reconcileMembership(driver: LogDriver, maxVoters: number, log: Log): void {
  const { raft } = driver;
  if (raft.role !== 'leader' || hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return;
  const membership = membershipOf(raft);
  const candidate = findCaughtUpLearner(driver, membership);
  const voters = Object.entries(membership).filter(([, { isVoter }]) => isVoter);
  if (candidate && voters.length < maxVoters) {
    log(`member ${candidate} has caught up and becomes a voter`);
    setVoter(driver, membership, candidate, true);
    return;
  }
  const unresponsiveVoter = voters.find(([id]) =>
    isUnresponsiveFor(driver, id, VOTER_TIMEOUT_MS),
  )?.[0];
  if (candidate && unresponsiveVoter !== undefined) {
    log(
      `member ${unresponsiveVoter} does not answer; demoting it to a learner in favour of ${candidate}`,
    );
    setVoter(driver, membership, unresponsiveVoter, false);
    return;
  }
  const unresponsiveLearner = Object.entries(membership).find(
    ([id, { isVoter }]) => !isVoter && isUnresponsiveFor(driver, id, LEARNER_TIMEOUT_MS),
  )?.[0];
  if (unresponsiveLearner === undefined) return;
  log(`learner ${unresponsiveLearner} does not answer; removing it from the membership`);
  const remainingMembers = Object.entries(membership).filter(([id]) => id !== unresponsiveLearner);
  driver.proposePayload({ kind: 'membership', membership: Object.fromEntries(remainingMembers) });
}

/** Link addresses of all members. */
export function addressesOf(membership: Membership): string[] {
  return Object.values(membership).map(({ address }) => address);
}

function findCaughtUpLearner({ raft }: LogDriver, membership: Membership): string | undefined {
  return Object.entries(membership).find(([id, record]) => {
    const progress = raft.progress.get(id as MemberId);
    if (record.isVoter || record.isEligible === false) return false;
    if (progress?.diskId !== record.diskId) return false;
    const isAlive = performance.now() - progress.lastReplyMs < MEMBER_ALIVE_TIMEOUT_MS;
    return isAlive && progress.matchIndex >= raft.commitIndex;
  })?.[0];
}

function isUnresponsiveFor({ raft }: LogDriver, id: string, timeoutMs: number): boolean {
  if (id === raft.selfId) return false;
  const nowMs = performance.now();
  const lastReplyMs = raft.progress.get(id as MemberId)?.lastReplyMs ?? raft.leaderSinceMs;
  return nowMs - Math.max(lastReplyMs, raft.leaderSinceMs) > timeoutMs;
}

/** The membership may only change once the leader has committed an entry of its own term. */
function hasCommittedInTerm({ raft }: LogDriver): boolean {
  const committed = raft.entries[raft.commitIndex - raft.snapshot.index - 1];
  const term = committed?.term ?? raft.snapshot.term;
  return term === raft.currentTerm;
}

function setVoter(driver: LogDriver, membership: Membership, id: string, isVoter: boolean): void {
  const record = membership[id];
  if (record) changeMember(driver, id, { ...record, isVoter });
}

function changeMember(driver: LogDriver, id: string, record: MemberRecord): void {
  const membership = { ...membershipOf(driver.raft), [id]: record };
  driver.proposePayload({ kind: 'membership', membership });
}
