/** Replacement of a member that lost its disk: without a vote until caught up and admitted. */
import {
  type DiskId,
  hasPendingMembership,
  type MemberId,
  type MemberRecord,
  membershipOf,
} from '@bramleykeel/core';
import type { Log } from '@bramleykeel/link';
import type { LogDriver } from './log-driver.js';

export interface JoinRequest {
  readonly id: MemberId;
  readonly diskId: DiskId;
}

export type JoinAnswer = 'waiting' | 'member' | 'refused' | 'not-leader';

/** A member heard from on its known disk within this time is alive: a second one is a mistake. */
const ALIVE_WITHIN_MS = 2_000;

/**
 * Leader's side of a join: first the new disk is recorded without a vote, so that the member is sent
 * the log; once it has caught up it is admitted. Both are committed changes of the membership.
 */
export function handleJoin(driver: LogDriver, request: JoinRequest, log: Log): JoinAnswer {
  const { raft } = driver;
  if (raft.role !== 'leader') return 'not-leader';
  const record = membershipOf(raft)[request.id];
  if (!record) return 'refused';
  if (record.diskId === request.diskId) return record.isVoter ? 'member' : 'waiting';
  const progress = raft.progress.get(request.id);
  const isOldDiskAlive =
    progress?.diskId === record.diskId &&
    performance.now() - progress.lastReplyMs < ALIVE_WITHIN_MS &&
    record.isVoter;
  if (isOldDiskAlive && progress.matchIndex > 0) return 'refused';
  if (hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return 'waiting';
  log(`member ${request.id} has a new disk; it follows without a vote until it has caught up`);
  changeMember(driver, request.id, { ...record, diskId: request.diskId, isVoter: false });
  return 'waiting';
}

/** Admits non-voting members that have everything committed so far. Called regularly on the leader. */
export function admitCaughtUpMembers(driver: LogDriver, log: Log): void {
  const { raft } = driver;
  if (raft.role !== 'leader' || hasPendingMembership(raft) || !hasCommittedInTerm(driver)) return;
  for (const [id, record] of Object.entries(membershipOf(raft))) {
    const progress = raft.progress.get(id as MemberId);
    if (record.isVoter || progress?.diskId !== record.diskId) continue;
    if (progress.matchIndex < raft.commitIndex) continue;
    log(`member ${id} has caught up and votes again`);
    changeMember(driver, id, { ...record, isVoter: true });
    return;
  }
}

/** A membership may only change once the leader has committed an entry of its own term. */
function hasCommittedInTerm({ raft }: LogDriver): boolean {
  const committed = raft.entries[raft.commitIndex - raft.snapshot.index - 1];
  const term = committed?.term ?? raft.snapshot.term;
  return term === raft.currentTerm;
}

function changeMember(driver: LogDriver, id: string, record: MemberRecord): void {
  const membership = { ...membershipOf(driver.raft), [id]: record };
  driver.proposePayload({ kind: 'membership', membership });
}
