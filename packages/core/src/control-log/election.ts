/** Leader election of the control log: pre-vote, vote and the transition to leader. */
import type { MemberId } from '../types/ids.js';
import type { RaftState } from './raft-state.js';
import {
  hasHadNoLeader,
  lastIndexOf,
  lastTermOf,
  mayVote,
  membershipOf,
  quorumSize,
  resetPreVoteDeadline,
  silentForMs,
  votersOf,
} from './raft-state.js';
import { appendAsLeader } from './replication.js';
import { becomeFollower, becomeLeader } from './roles.js';
import type { RaftEffect, RaftMessage } from './types.js';

type VoteRequest<Command> = Extract<RaftMessage<Command>, { kind: 'vote-request' }>;
type VoteReply<Command> = Extract<RaftMessage<Command>, { kind: 'vote-reply' }>;

/**
 * Time in which a member leaves the election to another one that has its vote or takes precedence, in milliseconds:
 * enough for two round trips between regions and two disk syncs.
 */
const DEFERENCE_MS = 120;

/** Requests a pre-vote or a vote from all voters. A vote first increments and persists the term. */
export function startElection<Command>(
  state: RaftState<Command>,
  isPreVote: boolean,
  nowMs: number,
): RaftEffect<Command>[] {
  const effects: RaftEffect<Command>[] = [];
  state.leaderId = undefined;
  state.votes = new Map([[state.selfId, nowMs - silentForMs(state, nowMs)]]);
  const role = isPreVote ? 'pre-candidate' : 'candidate';
  if (state.role !== role) effects.push({ kind: 'role-changed', role });
  state.role = role;
  if (!isPreVote) {
    state.currentTerm += 1;
    state.votedFor = state.selfId;
    effects.push({ kind: 'persist-vote', term: state.currentTerm, votedFor: state.selfId });
  }
  resetPreVoteDeadline(state, nowMs);
  if (!isPreVote && hasHadNoLeader(state)) state.initialVotes += 1;
  if (hasWonVote(state)) return [...effects, ...advanceElection(state, nowMs)];
  const request = createVoteRequest(state, isPreVote);
  for (const voter of votersOf(state)) {
    if (voter !== state.selfId) effects.push({ kind: 'send', to: voter, message: request });
  }
  return effects;
}

function createVoteRequest<Command>(
  state: RaftState<Command>,
  isPreVote: boolean,
): VoteRequest<Command> {
  return {
    kind: 'vote-request',
    isPreVote,
    term: isPreVote ? state.currentTerm + 1 : state.currentTerm,
    lastIndex: lastIndexOf(state),
    lastTerm: lastTermOf(state),
  };
}

/**
 * Requests a pre-vote from a member as soon as it can be reached, if there has been no leader since this process
 * started. After a loss of all members the election thus waits for a quorum and not for its timeouts.
 */
export function handlePeerReachable<Command>(
  state: RaftState<Command>,
  peer: MemberId,
  nowMs: number,
): RaftEffect<Command>[] {
  if (!hasHadNoLeader(state) || !mayVote(state) || !votersOf(state).includes(peer)) return [];
  if (state.role === 'follower') {
    return nowMs < state.defersUntilMs ? [] : startElection(state, true, nowMs);
  }
  if (state.role !== 'pre-candidate' || state.votes.has(peer)) return [];
  return [{ kind: 'send', to: peer, message: createVoteRequest(state, true) }];
}

/**
 * Whether another member that has started as well takes precedence as leader: the one with the longer log, then
 * the one with the lower id. Without an order, members that start together would split the votes.
 */
function takesPrecedence<Command>(
  state: RaftState<Command>,
  from: MemberId,
  { lastTerm, lastIndex }: VoteRequest<Command>,
): boolean {
  const isLogLonger =
    lastTerm > lastTermOf(state) ||
    (lastTerm === lastTermOf(state) && lastIndex > lastIndexOf(state));
  const isLogEqual = lastTerm === lastTermOf(state) && lastIndex === lastIndexOf(state);
  return isLogLonger || (isLogEqual && from < state.selfId);
}

export function handleVoteRequest<Command>(
  state: RaftState<Command>,
  from: MemberId,
  request: VoteRequest<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  const effects: RaftEffect<Command>[] = [];
  const canConsiderVote = !hasRecentLeader(state, nowMs) && mayVote(state);
  if (canConsiderVote && !request.isPreVote && request.term > state.currentTerm) {
    effects.push(...becomeFollower(state, request.term, nowMs));
  }
  const isGranted = canConsiderVote && canGrantVote(state, from, request);
  if (isGranted && !request.isPreVote) {
    state.votedFor = from;
    resetPreVoteDeadline(state, nowMs);
    if (hasHadNoLeader(state)) state.initialVotes += 1;
    state.defersUntilMs = nowMs + DEFERENCE_MS;
    effects.push({ kind: 'persist-vote', term: state.currentTerm, votedFor: from });
  }
  if (isGranted && request.isPreVote && hasHadNoLeader(state)) {
    if (takesPrecedence(state, from, request)) state.defersUntilMs = nowMs + DEFERENCE_MS;
  }
  const reply: VoteReply<Command> = {
    kind: 'vote-reply',
    isPreVote: request.isPreVote,
    term: isGranted ? request.term : state.currentTerm,
    isGranted,
    diskId: state.diskId,
    silentForMs: silentForMs(state, nowMs),
  };
  effects.push({ kind: 'send', to: from, message: reply });
  return effects;
}

export function handleVoteReply<Command>(
  state: RaftState<Command>,
  from: MemberId,
  reply: VoteReply<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  const awaitedRole = reply.isPreVote ? 'pre-candidate' : 'candidate';
  const awaitedTerm = reply.isPreVote ? state.currentTerm + 1 : state.currentTerm;
  if (state.role !== awaitedRole || !reply.isGranted || reply.term !== awaitedTerm) return [];
  if (membershipOf(state)[from]?.diskId !== reply.diskId) return [];
  state.votes.set(from, nowMs - reply.silentForMs);
  if (reply.isPreVote) return advanceWonPreVote(state, nowMs);
  return hasWonVote(state) ? advanceElection(state, nowMs) : [];
}

/** Requests votes once a pre-vote is won and no other member takes precedence any more. */
export function advanceWonPreVote<Command>(
  state: RaftState<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  if (state.role !== 'pre-candidate' || nowMs < state.defersUntilMs) return [];
  return hasWonVote(state) ? advanceElection(state, nowMs) : [];
}

function advanceElection<Command>(state: RaftState<Command>, nowMs: number): RaftEffect<Command>[] {
  if (state.role === 'pre-candidate') return startElection(state, false, nowMs);
  becomeLeader(state, nowMs);
  return [
    { kind: 'role-changed', role: 'leader' },
    ...appendAsLeader<Command>(state, [{ kind: 'noop' }], nowMs),
  ];
}

function hasWonVote<Command>(state: RaftState<Command>): boolean {
  const voters = votersOf(state);
  const granted = voters.filter((voter) => state.votes.has(voter)).length;
  return granted >= quorumSize(voters.length);
}

function hasRecentLeader<Command>(state: RaftState<Command>, nowMs: number): boolean {
  if (state.role === 'leader') return true;
  return nowMs - state.leaderContactMs < state.timing.electionTimeoutMinMs;
}

function canGrantVote<Command>(
  state: RaftState<Command>,
  from: MemberId,
  request: VoteRequest<Command>,
): boolean {
  if (request.term < state.currentTerm) return false;
  if (request.isPreVote && request.term === state.currentTerm) return false;
  const hasVoteAvailable = state.votedFor === undefined || state.votedFor === from;
  if (!request.isPreVote && !hasVoteAvailable) return false;
  const isLogCurrent =
    request.lastTerm > lastTermOf(state) ||
    (request.lastTerm === lastTermOf(state) && request.lastIndex >= lastIndexOf(state));
  return isLogCurrent;
}
