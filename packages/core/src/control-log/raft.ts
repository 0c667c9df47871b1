/**
 * Consensus protocol of the control log, without I/O: Raft with pre-vote, check-quorum, single-member
 * membership changes and quorum-confirmed rounds.
 */
import type { MemberId } from '../types/ids.js';
import {
  advanceWonPreVote,
  handlePeerReachable,
  handleVoteReply,
  handleVoteRequest,
  startElection,
} from './election.js';
import type { RaftState } from './raft-state.js';
import { mayVote, termAt } from './raft-state.js';
import {
  appendAsLeader,
  broadcastAppend,
  handleAppend,
  handleAppendReply,
  handleInstallSnapshot,
  hasLostQuorum,
} from './replication.js';
import { becomeFollower } from './roles.js';
import type { RaftEffect, RaftEvent, RaftMessage, SnapshotMeta } from './types.js';

/**
 * Processes one event, updating `state` in place, and returns the effects to execute in order.
 *
 * @param nowMs monotonic time in milliseconds
 * @example
 * const effects = stepRaft(state, { kind: 'tick' }, performance.now());
 */
export function stepRaft<Command>(
  state: RaftState<Command>,
  event: RaftEvent<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  // A plain switch, because this runs for each tick and message and patterns allocate a closure for each case.
  switch (event.kind) {
    case 'tick':
      return handleTick(state, nowMs);
    case 'peer-reachable':
      return handlePeerReachable(state, event.peer, nowMs);
    case 'start-round':
      return state.role === 'leader' ? broadcastAppend(state, nowMs) : [];
    case 'message':
      return handleMessage(state, event.from, event.message, nowMs);
    case 'propose':
      return appendAsLeader(state, event.payloads, nowMs);
    case 'snapshot-saved':
      return compactLog(state, event.snapshot);
  }
}

function handleTick<Command>(state: RaftState<Command>, nowMs: number): RaftEffect<Command>[] {
  if (state.role === 'leader') {
    if (hasLostQuorum(state, nowMs)) return becomeFollower(state, state.currentTerm, nowMs);
    if (nowMs >= state.heartbeatDueMs) return broadcastAppend(state, nowMs);
    return [];
  }
  if (!mayVote(state)) return [];
  if (nowMs >= state.electionDeadlineMs) return startElection(state, true, nowMs);
  return advanceWonPreVote(state, nowMs);
}

function handleMessage<Command>(
  state: RaftState<Command>,
  from: MemberId,
  message: RaftMessage<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  const effects = adoptNewerTerm(state, message, nowMs);
  const handled = handleCurrentMessage(state, from, message, nowMs);
  return effects.length > 0 ? [...effects, ...handled] : handled;
}

function handleCurrentMessage<Command>(
  state: RaftState<Command>,
  from: MemberId,
  message: RaftMessage<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  switch (message.kind) {
    case 'vote-request':
      return handleVoteRequest(state, from, message, nowMs);
    case 'vote-reply':
      return handleVoteReply(state, from, message, nowMs);
    case 'append':
      return handleAppend(state, from, message, nowMs);
    case 'append-reply':
      return handleAppendReply(state, from, message, nowMs);
    case 'install-snapshot':
      return handleInstallSnapshot(state, from, message, nowMs);
  }
}

/**
 * Steps down if the message has a newer term. Vote requests are excluded, so that a returning member
 * cannot disrupt a leader: a pre-vote request never raises the term, and a vote request only after the
 * leader-contact check. A granted pre-vote reply does not raise the term either; a rejected one does,
 * because otherwise the member with the longest log could stay on an outdated term.
 */
function adoptNewerTerm<Command>(
  state: RaftState<Command>,
  message: RaftMessage<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  if (message.term <= state.currentTerm) return [];
  if (message.kind === 'vote-request') return [];
  if (message.kind === 'vote-reply' && message.isPreVote && message.isGranted) return [];
  return becomeFollower(state, message.term, nowMs);
}

function compactLog<Command>(
  state: RaftState<Command>,
  snapshot: SnapshotMeta,
): RaftEffect<Command>[] {
  if (snapshot.index <= state.snapshot.index) return [];
  if (termAt(state, snapshot.index) === undefined) return [];
  state.entries = state.entries.slice(snapshot.index - state.snapshot.index);
  state.snapshot = snapshot;
  return [];
}
