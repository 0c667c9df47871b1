/**
 * Changes of the membership: members with new disks, members at new addresses, and voters that are
 * gone. Each step is a single-member change, committed before the next one is made.
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
  /** Where other members reach it; only needed by a member that the membership does not name yet. */
  readonly address?: string;
  readonly adminAddress?: string;
  /** Whether its disk lasts, so that it may vote once it has caught up. */
  readonly isEligible: boolean;
}

export type JoinAnswer = 'waiting' | 'member' | 'refused' | 'not-leader';

/** A member heard from on its known disk within this time is alive: a second one is a mistake. */
const ALIVE_WITHIN_MS = 1_000;
/** A voter that has not answered for this long may lose its vote to a learner that has caught up. */
const VOTER_GONE_AFTER_MS = 2_000;
/** A learner that has not answered for this long is taken off the membership; it may join again. */
const LEARNER_GONE_AFTER_MS = 15_000;

/**
 * Leader's side of a join: first the new disk is recorded without a vote, so that the member is sent
 * the log; once it has caught up it is admitted. Both are committed changes of the membership.
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
    performance.now() - progress.lastReplyMs < ALIVE_WITHIN_MS &&
    record.isVoter;
  if (isOldDiskAlive && progress.matchIndex > 0) return 'refused';
  if (hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return 'waiting';
  log(`member ${request.id} has a new disk; it follows without a vote until it has caught up`);
  const { diskId, isEligible } = request;
  changeMember(driver, request.id, { ...record, diskId, isVoter: false, isEligible });
  return 'waiting';
}

function addLearner(driver: LogDriver, request: JoinRequest, log: Log): JoinAnswer {
  const { id, diskId, address, adminAddress = '', isEligible } = request;
  if (address === undefined) return 'refused';
  if (hasPendingMembership(driver.raft) || !hasCommittedInTerm(driver)) return 'waiting';
  log(`member ${id} at ${address} is new; it follows without a vote until it has caught up`);
  changeMember(driver, id, { address, adminAddress, diskId, isVoter: false, isEligible });
  return 'waiting';
}

/**
 * Makes at most one change that brings the membership closer to `maxVoters` live voters. Called
 * regularly on the leader.
 */
export function tendMembership(driver: LogDriver, maxVoters: number, log: Log): void {
  const { raft } = driver;
  if (raft.role !== 'leader' || hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return;
  const membership = membershipOf(raft);
  const candidate = findCaughtUpLearner(driver, membership);
  const voters = Object.entries(membership).filter(([, { isVoter }]) => isVoter);
  if (candidate && voters.length < maxVoters) {
    log(`member ${candidate} has caught up and votes`);
    setVote(driver, membership, candidate, true);
    return;
  }
  const goneVoter = voters.find(([id]) => isSilentFor(driver, id, VOTER_GONE_AFTER_MS))?.[0];
  if (candidate && goneVoter !== undefined) {
    log(`member ${goneVoter} does not answer; it loses its vote to ${candidate}`);
    setVote(driver, membership, goneVoter, false);
    return;
  }
  const goneLearner = Object.entries(membership).find(
    ([id, { isVoter }]) => !isVoter && isSilentFor(driver, id, LEARNER_GONE_AFTER_MS),
  )?.[0];
  if (goneLearner === undefined) return;
  log(`member ${goneLearner} has no vote and does not answer; it is taken off the membership`);
  const rest = Object.entries(membership).filter(([id]) => id !== goneLearner);
  driver.proposePayload({ kind: 'membership', membership: Object.fromEntries(rest) });
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
    const isAlive = performance.now() - progress.lastReplyMs < ALIVE_WITHIN_MS;
    return isAlive && progress.matchIndex >= raft.commitIndex;
  })?.[0];
}

function isSilentFor({ raft }: LogDriver, id: string, silentMs: number): boolean {
  if (id === raft.selfId) return false;
  const nowMs = performance.now();
  const lastReplyMs = raft.progress.get(id as MemberId)?.lastReplyMs ?? raft.leaderSinceMs;
  return nowMs - Math.max(lastReplyMs, raft.leaderSinceMs) > silentMs;
}

/** A membership may only change once the leader has committed an entry of its own term. */
function hasCommittedInTerm({ raft }: LogDriver): boolean {
  const committed = raft.entries[raft.commitIndex - raft.snapshot.index - 1];
  const term = committed?.term ?? raft.snapshot.term;
  return term === raft.currentTerm;
}

function setVote(driver: LogDriver, membership: Membership, id: string, isVoter: boolean): void {
  const record = membership[id];
  if (record) changeMember(driver, id, { ...record, isVoter });
}

function changeMember(driver: LogDriver, id: string, record: MemberRecord): void {
  const membership = { ...membershipOf(driver.raft), [id]: record };
  driver.proposePayload({ kind: 'membership', membership });
}
