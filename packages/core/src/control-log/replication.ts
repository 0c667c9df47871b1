/** Replication of the control log: append, log matching, commit and follower catch-up. */
import type { MemberId } from '../types/ids.js';
import type { RaftState } from './raft-state.js';
import {
  resetStaggeredElectionDeadline,
  entryAt,
  lastIndexOf,
  membershipOf,
  peersOf,
  quorumSize,
  termAt,
  votersOf,
} from './raft-state.js';
import { becomeFollower, ensureProgress } from './roles.js';
import type { LogEntry, LogPayload, RaftEffect, RaftMessage } from './types.js';

type AppendRequest<Command> = Extract<RaftMessage<Command>, { kind: 'append' }>;
type AppendReply<Command> = Extract<RaftMessage<Command>, { kind: 'append-reply' }>;
type SnapshotRequest<Command> = Extract<RaftMessage<Command>, { kind: 'install-snapshot' }>;

/** Maximum number of log entries in one append message. */
const MAX_ENTRIES_PER_APPEND = 256;

/** Appends payloads to the leader's log and replicates them. No-op unless this member is leader. */
export function appendAsLeader<Command>(
  state: RaftState<Command>,
  payloads: readonly LogPayload<Command>[],
  nowMs: number,
): RaftEffect<Command>[] {
  if (state.role !== 'leader' || payloads.length === 0) return [];
  const firstIndex = lastIndexOf(state) + 1;
  const entries = payloads.map((payload, offset) => ({
    index: firstIndex + offset,
    term: state.currentTerm,
    payload,
  }));
  state.entries.push(...entries);
  return [
    { kind: 'persist-entries', entries },
    ...advanceCommit(state),
    ...broadcastAppend(state, nowMs),
  ];
}

/** Starts a round: sends an append (possibly empty) or a snapshot to every other member. */
export function broadcastAppend<Command>(
  state: RaftState<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  state.round += 1;
  state.roundStartsMs.set(state.round, nowMs);
  state.heartbeatDueMs = nowMs + state.timing.heartbeatMs;
  const sends = peersOf(state).map((peer) => sendAppend(state, peer, nowMs));
  return [...sends, ...confirmRounds(state)];
}

function sendAppend<Command>(
  state: RaftState<Command>,
  peer: MemberId,
  nowMs: number,
): RaftEffect<Command> {
  const progress = ensureProgress(state, peer, nowMs);
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = termAt(state, previousIndex);
  if (previousTerm === undefined) return { kind: 'send-snapshot', to: peer, round: state.round };
  const start = previousIndex - state.snapshot.index;
  const entries = state.entries.slice(start, start + MAX_ENTRIES_PER_APPEND);
  // Entries in flight are not resent. A member that missed them rejects the next append.
  progress.nextIndex += entries.length;
  const message: AppendRequest<Command> = {
    kind: 'append',
    term: state.currentTerm,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
    round: state.round,
  };
  return { kind: 'send', to: peer, message };
}

/** Check-quorum: a leader without replies from a quorum for an election timeout must step down. */
export function hasLostQuorum<Command>(state: RaftState<Command>, nowMs: number): boolean {
  const voters = votersOf(state);
  const limitMs = state.timing.electionTimeoutMaxMs;
  const reachable = voters.filter((voter) => {
    if (voter === state.selfId) return true;
    const progress = state.progress.get(voter);
    return progress !== undefined && nowMs - progress.lastReplyMs < limitMs;
  });
  return reachable.length < quorumSize(voters.length);
}

export function handleAppend<Command>(
  state: RaftState<Command>,
  from: MemberId,
  request: AppendRequest<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  if (request.term < state.currentTerm) {
    return [replyToAppend(state, from, request.round, false, lastIndexOf(state))];
  }
  const effects = acceptLeader(state, from, nowMs);
  if (!matchesLog(state, request)) {
    const hint = Math.min(lastIndexOf(state), request.previousIndex - 1);
    effects.push(replyToAppend(state, from, request.round, false, hint));
    return effects;
  }
  effects.push(...mergeEntries(state, request.entries));
  const matchIndex = request.previousIndex + request.entries.length;
  effects.push(replyToAppend(state, from, request.round, true, matchIndex));
  effects.push(...commitUpTo(state, Math.min(request.commitIndex, matchIndex)));
  return effects;
}

function acceptLeader<Command>(
  state: RaftState<Command>,
  from: MemberId,
  nowMs: number,
): RaftEffect<Command>[] {
  const effects = state.role === 'follower' ? [] : becomeFollower(state, state.currentTerm, nowMs);
  state.leaderId = from;
  state.leaderContactMs = nowMs;
  resetStaggeredElectionDeadline(state, nowMs);
  return effects;
}

function matchesLog<Command>(state: RaftState<Command>, request: AppendRequest<Command>): boolean {
  if (request.previousIndex < state.snapshot.index) return true;
  return termAt(state, request.previousIndex) === request.previousTerm;
}

/** Appends new entries; a conflicting suffix is replaced from the first differing entry. */
function mergeEntries<Command>(
  state: RaftState<Command>,
  entries: readonly LogEntry<Command>[],
): RaftEffect<Command>[] {
  const uncompacted = entries.filter((entry) => entry.index > state.snapshot.index);
  const firstNew = uncompacted.findIndex((entry) => termAt(state, entry.index) !== entry.term);
  if (firstNew < 0) return [];
  const added = uncompacted.slice(firstNew);
  const [first] = added;
  if (!first) return [];
  state.entries.length = first.index - state.snapshot.index - 1;
  state.entries.push(...added);
  return [{ kind: 'persist-entries', entries: added }];
}

function replyToAppend<Command>(
  state: RaftState<Command>,
  to: MemberId,
  round: number,
  isAccepted: boolean,
  matchIndex: number,
): RaftEffect<Command> {
  const message: AppendReply<Command> = {
    kind: 'append-reply',
    term: state.currentTerm,
    isAccepted,
    matchIndex,
    round,
    diskId: state.diskId,
  };
  return { kind: 'send', to, message };
}

export function handleInstallSnapshot<Command>(
  state: RaftState<Command>,
  from: MemberId,
  request: SnapshotRequest<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  if (request.term < state.currentTerm) {
    return [replyToAppend(state, from, request.round, false, lastIndexOf(state))];
  }
  const effects = acceptLeader(state, from, nowMs);
  const { snapshot } = request;
  if (snapshot.index > state.commitIndex) {
    const isPrefixOfLog = termAt(state, snapshot.index) === snapshot.term;
    // A snapshot that arrives late must not remove later entries, which this member has confirmed.
    const remaining = isPrefixOfLog
      ? state.entries.slice(snapshot.index - state.snapshot.index)
      : [];
    state.entries = remaining;
    state.snapshot = {
      index: snapshot.index,
      term: snapshot.term,
      membership: snapshot.membership,
    };
    state.commitIndex = snapshot.index;
    effects.push({ kind: 'restore-snapshot', snapshot, remaining: [...remaining] });
  }
  effects.push(replyToAppend(state, from, request.round, true, snapshot.index));
  return effects;
}

export function handleAppendReply<Command>(
  state: RaftState<Command>,
  from: MemberId,
  reply: AppendReply<Command>,
  nowMs: number,
): RaftEffect<Command>[] {
  if (state.role !== 'leader' || reply.term !== state.currentTerm) return [];
  const progress = ensureProgress(state, from, nowMs);
  const effects: RaftEffect<Command>[] = [];
  if (progress.diskId !== reply.diskId) {
    progress.diskId = reply.diskId;
    progress.matchIndex = 0;
    progress.hasRegressed = false;
  }
  if (reply.matchIndex < progress.matchIndex && !reply.isAccepted && !progress.hasRegressed) {
    progress.hasRegressed = true;
    effects.push({ kind: 'member-regressed', member: from });
  }
  progress.lastReplyMs = nowMs;
  progress.confirmedRound = Math.max(progress.confirmedRound, reply.round);
  if (reply.isAccepted) {
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  } else {
    progress.nextIndex = Math.max(1, reply.matchIndex + 1);
  }
  effects.push(...advanceCommit(state), ...confirmRounds(state));
  const needsMore = !reply.isAccepted || progress.nextIndex <= lastIndexOf(state);
  if (needsMore) effects.push(sendAppend(state, from, nowMs));
  return effects;
}

/** A reply counts only if it comes from the disk recorded in the log and that disk has not regressed. */
function countsForQuorum<Command>(state: RaftState<Command>, member: MemberId): boolean {
  const progress = state.progress.get(member);
  if (!progress || progress.hasRegressed) return false;
  return membershipOf(state)[member]?.diskId === progress.diskId;
}

function advanceCommit<Command>(state: RaftState<Command>): RaftEffect<Command>[] {
  const voters = votersOf(state);
  const matched = voters
    .map((voter) => {
      if (voter === state.selfId) return lastIndexOf(state);
      return countsForQuorum(state, voter) ? (state.progress.get(voter)?.matchIndex ?? 0) : 0;
    })
    .sort((left, right) => right - left);
  const candidate = matched[quorumSize(voters.length) - 1] ?? 0;
  if (termAt(state, candidate) !== state.currentTerm) return [];
  return commitUpTo(state, candidate);
}

function commitUpTo<Command>(state: RaftState<Command>, index: number): RaftEffect<Command>[] {
  if (index <= state.commitIndex) return [];
  const applied: LogEntry<Command>[] = [];
  for (let next = state.commitIndex + 1; next <= index; next += 1) {
    const entry = entryAt(state, next);
    if (entry) applied.push(entry);
  }
  state.commitIndex = index;
  return [{ kind: 'apply', entries: applied }];
}

/** A round is confirmed once a quorum replied to it: no newer leader was elected before it began. */
function confirmRounds<Command>(state: RaftState<Command>): RaftEffect<Command>[] {
  const voters = votersOf(state);
  const rounds = voters
    .map((voter) => {
      if (voter === state.selfId) return state.round;
      return countsForQuorum(state, voter) ? (state.progress.get(voter)?.confirmedRound ?? 0) : 0;
    })
    .sort((left, right) => right - left);
  const confirmed = rounds[quorumSize(voters.length) - 1] ?? 0;
  if (confirmed <= state.confirmedRound) return [];
  const startedAtMs = state.roundStartsMs.get(confirmed);
  state.confirmedRound = confirmed;
  for (const round of state.roundStartsMs.keys()) {
    if (round <= confirmed) state.roundStartsMs.delete(round);
  }
  if (startedAtMs === undefined) return [];
  return [{ kind: 'round-confirmed', round: confirmed, startedAtMs }];
}
