/** Role changes of a control member. */
import type { RaftState } from './raft-state.js';
import { lastIndexOf, peersOf, resetElectionDeadline } from './raft-state.js';
import type { RaftEffect } from './types.js';

/** Steps down to follower. A newer term clears the vote and is persisted first. */
export function becomeFollower<Command>(
  state: RaftState<Command>,
  term: number,
  nowMs: number,
): RaftEffect<Command>[] {
  const effects: RaftEffect<Command>[] = [];
  if (term > state.currentTerm) {
    state.currentTerm = term;
    state.votedFor = undefined;
    effects.push({ kind: 'persist-vote', term, votedFor: undefined });
  }
  if (state.role === 'leader') state.ledUntilMs = nowMs;
  const hadOtherRole = state.role !== 'follower';
  state.role = 'follower';
  state.leaderId = undefined;
  state.votes.clear();
  resetElectionDeadline(state, nowMs);
  if (hadOtherRole) effects.push({ kind: 'role-changed', role: 'follower' });
  return effects;
}

/** Switches to the leader role. The caller must append the no-op entry that starts the term. */
export function becomeLeader<Command>(state: RaftState<Command>, nowMs: number): void {
  state.role = 'leader';
  state.leaderId = state.selfId;
  state.leaderSinceMs = nowMs;
  // Quorums overlap: a round of an earlier leader needs at least one voter that elected this leader.
  state.formerLeaderUntilMs = Math.max(...state.votes.values());
  state.votes.clear();
  state.roundStartsMs.clear();
  state.confirmedRound = state.round;
  state.progress = new Map();
  for (const peer of peersOf(state)) ensureProgress(state, peer, nowMs);
}

/** Returns the progress of a member, creating it if the member has just joined. */
export function ensureProgress<Command>(
  state: RaftState<Command>,
  member: Parameters<RaftState<Command>['progress']['get']>[0],
  nowMs: number,
) {
  const existing = state.progress.get(member);
  if (existing) return existing;
  const created = {
    nextIndex: lastIndexOf(state) + 1,
    matchIndex: 0,
    confirmedRound: 0,
    lastReplyMs: nowMs,
    diskId: undefined,
    hasRegressed: false,
  };
  state.progress.set(member, created);
  return created;
}
