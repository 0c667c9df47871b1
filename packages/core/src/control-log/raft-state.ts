/** State of one control member's view of the replicated log, and the queries on it. */
import type { DiskId, MemberId } from '../types/ids.js';
import type { LogEntry, Membership, RaftRole, RaftTiming, SnapshotMeta } from './types.js';

/** What a leader knows about one other member. */
export interface MemberProgress {
  nextIndex: number;
  matchIndex: number;
  confirmedRound: number;
  lastReplyMs: number;
  /** The disk that `matchIndex` was reported from. */
  diskId: DiskId | undefined;
  hasRegressed: boolean;
}

export interface RaftState<Command> {
  readonly selfId: MemberId;
  readonly diskId: DiskId;
  readonly timing: RaftTiming;
  readonly randomUnit: () => number;
  currentTerm: number;
  votedFor: MemberId | undefined;
  role: RaftRole;
  leaderId: MemberId | undefined;
  snapshot: SnapshotMeta;
  entries: LogEntry<Command>[];
  commitIndex: number;
  electionDeadlineMs: number;
  leaderContactMs: number;
  /** When this member led for the last time; it confirmed its own rounds until then. */
  ledUntilMs: number;
  /** When this process began: what an earlier one answered is not remembered. */
  readonly startedAtMs: number;
  /** Members that voted for this one, with the time from which each has heard of no leader. */
  votes: Map<MemberId, number>;
  progress: Map<MemberId, MemberProgress>;
  round: number;
  roundStartsMs: Map<number, number>;
  confirmedRound: number;
  heartbeatDueMs: number;
  leaderSinceMs: number;
  /** Since when no earlier leader can have had a round confirmed, as far as this leader can tell. */
  formerLeaderUntilMs: number;
}

/** What survives a restart. */
export interface DurableRaftState<Command> {
  readonly currentTerm: number;
  readonly votedFor: MemberId | undefined;
  readonly snapshot: SnapshotMeta;
  readonly entries: readonly LogEntry<Command>[];
}

export interface RaftIdentity {
  readonly selfId: MemberId;
  readonly diskId: DiskId;
  readonly timing: RaftTiming;
  readonly randomUnit: () => number;
}

/** Part of the first election timeout that a process which has just started does not wait. */
const START_SHORTER_SHARE = 0.6;

/** Builds the in-memory state from what was read back from disk. */
export function createRaftState<Command>(
  identity: RaftIdentity,
  durable: DurableRaftState<Command>,
  nowMs: number,
): RaftState<Command> {
  const state: RaftState<Command> = {
    ...identity,
    currentTerm: durable.currentTerm,
    votedFor: durable.votedFor,
    role: 'follower',
    leaderId: undefined,
    snapshot: durable.snapshot,
    entries: [...durable.entries],
    commitIndex: durable.snapshot.index,
    electionDeadlineMs: 0,
    leaderContactMs: Number.NEGATIVE_INFINITY,
    ledUntilMs: Number.NEGATIVE_INFINITY,
    startedAtMs: nowMs,
    votes: new Map(),
    progress: new Map(),
    round: 0,
    roundStartsMs: new Map(),
    confirmedRound: 0,
    heartbeatDueMs: 0,
    leaderSinceMs: 0,
    formerLeaderUntilMs: 0,
  };
  resetElectionDeadline(state, nowMs);
  // This process has heard no leader yet, and a pre-vote disturbs none that there may be.
  state.electionDeadlineMs -= (state.electionDeadlineMs - nowMs) * START_SHORTER_SHARE;
  return state;
}

export function lastIndexOf<Command>(state: RaftState<Command>): number {
  return state.snapshot.index + state.entries.length;
}

export function lastTermOf<Command>(state: RaftState<Command>): number {
  return state.entries.at(-1)?.term ?? state.snapshot.term;
}

export function entryAt<Command>(
  state: RaftState<Command>,
  index: number,
): LogEntry<Command> | undefined {
  return state.entries[index - state.snapshot.index - 1];
}

/** The term of the entry at `index`; `undefined` when compacted away or not yet present. */
export function termAt<Command>(state: RaftState<Command>, index: number): number | undefined {
  if (index === state.snapshot.index) return state.snapshot.term;
  return entryAt(state, index)?.term;
}

/** The newest membership in the log, committed or not: it is in force as soon as it is appended. */
export function membershipOf<Command>(state: RaftState<Command>): Membership {
  return newestMembershipEntry(state)?.membership ?? state.snapshot.membership;
}

/** Tells whether a membership change is still waiting for its commit. */
export function hasPendingMembership<Command>(state: RaftState<Command>): boolean {
  const newest = newestMembershipEntry(state);
  return newest !== undefined && newest.index > state.commitIndex;
}

/** The membership as of `index`, for a snapshot taken there. */
export function membershipAt<Command>(state: RaftState<Command>, index: number): Membership {
  return newestMembershipEntry(state, index)?.membership ?? state.snapshot.membership;
}

function newestMembershipEntry<Command>(
  state: RaftState<Command>,
  upToIndex = Number.POSITIVE_INFINITY,
): { index: number; membership: Membership } | undefined {
  for (let offset = state.entries.length - 1; offset >= 0; offset -= 1) {
    const entry = state.entries[offset];
    if (!entry || entry.index > upToIndex) continue;
    if (entry.payload.kind !== 'membership') continue;
    return { index: entry.index, membership: entry.payload.membership };
  }
  return undefined;
}

/** Voters of the newest membership. */
export function votersOf<Command>(state: RaftState<Command>): MemberId[] {
  return Object.entries(membershipOf(state))
    .filter(([, record]) => record.isVoter)
    .map(([id]) => id as MemberId);
}

/** All other members, voting or not. */
export function peersOf<Command>(state: RaftState<Command>): MemberId[] {
  return Object.keys(membershipOf(state))
    .map((id) => id as MemberId)
    .filter((id) => id !== state.selfId);
}

/** For how long this member has certainly confirmed no leader's round, in milliseconds. */
export function silentForMs<Command>(state: RaftState<Command>, nowMs: number): number {
  const { leaderContactMs, ledUntilMs, startedAtMs } = state;
  return Math.max(0, nowMs - Math.max(leaderContactMs, ledUntilMs, startedAtMs));
}

/** A member votes only from the disk that the log knows: a replaced disk has forgotten its votes. */
export function mayVote<Command>(state: RaftState<Command>): boolean {
  const record = membershipOf(state)[state.selfId];
  return record !== undefined && record.isVoter && record.diskId === state.diskId;
}

/** Number of voters that make a majority. */
export function quorumSize(voterCount: number): number {
  return Math.floor(voterCount / 2) + 1;
}

/** Draws a new deadline at random, for members that know of no leader to take turns after. */
export function resetElectionDeadline<Command>(state: RaftState<Command>, nowMs: number): void {
  setElectionDeadline(state, nowMs, state.randomUnit());
}

/**
 * Sets the deadline of a follower that hears from its leader. Voters take turns, a step apart, so that
 * one of them usually wins before the next one tries: of four voters that are left of five, two that
 * try at once split the votes, and entries lose their leases before the next election.
 */
export function awaitLeader<Command>(state: RaftState<Command>, nowMs: number): void {
  const successors = votersOf(state)
    .filter((voter) => voter !== state.leaderId)
    .sort();
  const turn = successors.indexOf(state.selfId);
  if (turn === -1) resetElectionDeadline(state, nowMs);
  else setElectionDeadline(state, nowMs, turn / successors.length);
}

function setElectionDeadline<Command>(
  state: RaftState<Command>,
  nowMs: number,
  spreadShare: number,
): void {
  const { electionTimeoutMinMs, electionTimeoutMaxMs } = state.timing;
  const spreadMs = (electionTimeoutMaxMs - electionTimeoutMinMs) * spreadShare;
  state.electionDeadlineMs = nowMs + electionTimeoutMinMs + spreadMs;
}
