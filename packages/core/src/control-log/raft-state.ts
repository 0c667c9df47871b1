/** Raft state of one control member, and queries on it. */
import type { DiskId, MemberId } from '../types/ids.js';
import type { LogEntry, Membership, RaftRole, RaftTiming, SnapshotMeta } from './types.js';

/** The leader's replication state for one other member. */
export interface MemberProgress {
  nextIndex: number;
  matchIndex: number;
  confirmedRound: number;
  lastReplyMs: number;
  /** Identifier of the disk that `matchIndex` was reported for. */
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
  /** When this member last stepped down as leader; until then it confirmed its own rounds. */
  ledUntilMs: number;
  /** Start time of this process. Rounds that an earlier process confirmed are not persisted. */
  readonly startedAtMs: number;
  /** Until when this member leaves the election to another one, which has its vote or takes precedence. */
  defersUntilMs: number;
  /** Votes cast by this process before it has had a leader. */
  initialVotes: number;
  /** Votes received, by voter, with the time since which that voter has had no leader contact. */
  votes: Map<MemberId, number>;
  progress: Map<MemberId, MemberProgress>;
  round: number;
  roundStartsMs: Map<number, number>;
  confirmedRound: number;
  heartbeatDueMs: number;
  leaderSinceMs: number;
  /** Time after which no earlier leader can have had a round confirmed, derived from the votes. */
  formerLeaderUntilMs: number;
}

/** State that is persisted and survives a restart. */
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

/** Fraction of the election timeout that members wait which have had no leader since their start. */
const INITIAL_TIMEOUT_SHARE = 0.4;

/** Builds the in-memory state from the state restored from disk. */
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
    defersUntilMs: Number.NEGATIVE_INFINITY,
    initialVotes: 0,
    votes: new Map(),
    progress: new Map(),
    round: 0,
    roundStartsMs: new Map(),
    confirmedRound: 0,
    heartbeatDueMs: 0,
    leaderSinceMs: 0,
    formerLeaderUntilMs: 0,
  };
  resetPreVoteDeadline(state, nowMs);
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

/** The term of the entry at `index`; `undefined` when it was compacted or is not present yet. */
export function termAt<Command>(state: RaftState<Command>, index: number): number | undefined {
  if (index === state.snapshot.index) return state.snapshot.term;
  return entryAt(state, index)?.term;
}

/** The latest membership in the log. It takes effect when it is appended, before it is committed. */
export function membershipOf<Command>(state: RaftState<Command>): Membership {
  return newestMembershipEntry(state)?.membership ?? state.snapshot.membership;
}

/** Whether the latest membership change is not committed yet. */
export function hasPendingMembership<Command>(state: RaftState<Command>): boolean {
  const newest = newestMembershipEntry(state);
  return newest !== undefined && newest.index > state.commitIndex;
}

/** The membership as of `index`, for a snapshot at that index. */
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

/** Voters of the latest membership. */
export function votersOf<Command>(state: RaftState<Command>): MemberId[] {
  return Object.entries(membershipOf(state))
    .filter(([, record]) => record.isVoter)
    .map(([id]) => id as MemberId);
}

/** All other members, voters and non-voters. */
export function peersOf<Command>(state: RaftState<Command>): MemberId[] {
  return Object.keys(membershipOf(state))
    .map((id) => id as MemberId)
    .filter((id) => id !== state.selfId);
}

/** Lower bound, in milliseconds, on the time since this member last confirmed a leader's round. */
export function silentForMs<Command>(state: RaftState<Command>, nowMs: number): number {
  const { leaderContactMs, ledUntilMs, startedAtMs } = state;
  return Math.max(0, nowMs - Math.max(leaderContactMs, ledUntilMs, startedAtMs));
}

/** A member may vote only with the disk recorded in the log: a new disk has no record of earlier votes. */
export function mayVote<Command>(state: RaftState<Command>): boolean {
  const record = membershipOf(state)[state.selfId];
  return record !== undefined && record.isVoter && record.diskId === state.diskId;
}

/** Whether this process has had no leader since its start, as after a loss of all members. */
export function hasHadNoLeader<Command>({ leaderContactMs, ledUntilMs }: RaftState<Command>) {
  return leaderContactMs === Number.NEGATIVE_INFINITY && ledUntilMs === Number.NEGATIVE_INFINITY;
}

/** Number of voters in a majority. */
export function quorumSize(voterCount: number): number {
  return Math.floor(voterCount / 2) + 1;
}

/** Sets a random deadline, for members that know no leader from which to derive a fixed order. */
export function resetElectionDeadline<Command>(state: RaftState<Command>, nowMs: number): void {
  setElectionDeadline(state, nowMs, state.randomUnit());
}

/**
 * Sets the deadline for the next pre-vote. It is earlier as long as this process has had no leader: after a
 * loss of all members the first pre-votes fail because too few members have started, and the first votes may be
 * split, and the next ones should not wait for long. A pre-vote does not disrupt a leader that may exist. Each vote
 * that this process has cast in vain doubles the wait, so that slow disks have time to persist a vote.
 */
export function resetPreVoteDeadline<Command>(state: RaftState<Command>, nowMs: number): void {
  resetElectionDeadline(state, nowMs);
  if (!hasHadNoLeader(state)) return;
  const share = Math.min(1, INITIAL_TIMEOUT_SHARE * 2 ** state.initialVotes);
  state.electionDeadlineMs = nowMs + (state.electionDeadlineMs - nowMs) * share;
}

/**
 * Sets the election deadline of a follower after contact from its leader. Deadlines are staggered by
 * member id, so that one voter usually wins before the next one starts an election. With four of five
 * voters left, two simultaneous candidates split the vote and entry leases expire before the next
 * election.
 */
export function resetStaggeredElectionDeadline<Command>(
  state: RaftState<Command>,
  nowMs: number,
): void {
  const candidates = votersOf(state)
    .filter((voter) => voter !== state.leaderId)
    .sort();
  const rank = candidates.indexOf(state.selfId);
  if (rank === -1) resetElectionDeadline(state, nowMs);
  else setElectionDeadline(state, nowMs, rank / candidates.length);
}

function setElectionDeadline<Command>(
  state: RaftState<Command>,
  nowMs: number,
  spreadFraction: number,
): void {
  const { electionTimeoutMinMs, electionTimeoutMaxMs } = state.timing;
  const spreadMs = (electionTimeoutMaxMs - electionTimeoutMinMs) * spreadFraction;
  state.electionDeadlineMs = nowMs + electionTimeoutMinMs + spreadMs;
}
