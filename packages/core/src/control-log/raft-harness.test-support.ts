/** Simulates control members in one process, with message delivery and time controlled by the test. */
import { type DiskId, toDiskId, toMemberId, type MemberId } from '../types/ids.js';
import { stepRaft } from './raft.js';
import { createRaftState, type RaftState } from './raft-state.js';
import type {
  LogEntry,
  Membership,
  RaftEffect,
  RaftEvent,
  RaftMessage,
  Snapshot,
} from './types.js';

export type Command = string;

export interface Disk {
  term: number;
  votedFor: MemberId | undefined;
  snapshot: Snapshot;
  entries: LogEntry<Command>[];
  readonly diskId: DiskId;
}

export interface Envelope {
  readonly from: MemberId;
  readonly to: MemberId;
  readonly message: RaftMessage<Command>;
}

export interface Member {
  readonly id: MemberId;
  disk: Disk;
  state: RaftState<Command>;
  isUp: boolean;
  /** Whether the disk rejects writes. The member is then paused at its next write, as by the log driver. */
  isDiskFull: boolean;
  /** Effects from the first rejected write on, in order; no event is handled until they are executed. */
  heldBack: readonly RaftEffect<Command>[];
  applied: string[];
  /** Index of the last entry in `applied`, up to which its log is compacted, as by the log driver. */
  appliedIndex: number;
  confirmedRounds: number;
}

export interface Harness {
  readonly members: Map<MemberId, Member>;
  readonly network: Envelope[];
  readonly cutLinks: Set<string>;
  /** Leader by term, to check that a term never has two leaders. */
  readonly leaders: Map<number, MemberId>;
  /** By term, the leader's bound on when an earlier leader can have had a round confirmed. */
  readonly formerLeadersUntilMs: Map<number, number>;
  /** Confirmed rounds: the leader's term and the time at which the round started. */
  readonly confirmed: { readonly term: number; readonly startedAtMs: number }[];
  nowMs: number;
  readonly randomUnit: () => number;
}

export const TIMING = { heartbeatMs: 100, electionTimeoutMinMs: 500, electionTimeoutMaxMs: 1_000 };

export function initialMembership(ids: readonly string[]): Membership {
  return Object.fromEntries(
    ids.map((id) => [
      id,
      { address: id, adminAddress: id, diskId: toDiskId(`initial-${id}`), isVoter: true },
    ]),
  );
}

export function createHarness(ids: readonly string[], randomUnit: () => number): Harness {
  const harness: Harness = {
    members: new Map(),
    network: [],
    cutLinks: new Set(),
    leaders: new Map(),
    formerLeadersUntilMs: new Map(),
    confirmed: [],
    nowMs: 0,
    randomUnit,
  };
  const membership = initialMembership(ids);
  for (const id of ids) {
    const snapshot = { index: 0, term: 0, membership, data: new Uint8Array() };
    const disk = { term: 0, votedFor: undefined, snapshot, entries: [] };
    startMember(harness, toMemberId(id), { ...disk, diskId: toDiskId(`initial-${id}`) });
  }
  return harness;
}

/** Starts or restarts a member from the state on its disk. */
export function startMember(harness: Harness, id: MemberId, disk: Disk): Member {
  const identity = {
    selfId: id,
    diskId: disk.diskId,
    timing: TIMING,
    randomUnit: harness.randomUnit,
  };
  const { term: currentTerm, votedFor, snapshot, entries } = disk;
  const durable = { currentTerm, votedFor, snapshot, entries };
  const member: Member = {
    id,
    disk,
    state: createRaftState<Command>(identity, durable, harness.nowMs),
    isUp: true,
    isDiskFull: false,
    heldBack: [],
    applied: restoreApplied(snapshot),
    appliedIndex: snapshot.index,
    confirmedRounds: 0,
  };
  harness.members.set(id, member);
  return member;
}

export function createEmptyDisk(diskId: string): Disk {
  const snapshot = { index: 0, term: 0, membership: {}, data: new Uint8Array() };
  return { term: 0, votedFor: undefined, snapshot, entries: [], diskId: toDiskId(diskId) };
}

function restoreApplied(snapshot: Snapshot): string[] {
  if (snapshot.data.length === 0) return [];
  return JSON.parse(Buffer.from(snapshot.data).toString()) as string[];
}

export function memberOf(harness: Harness, id: string): Member {
  const member = harness.members.get(toMemberId(id));
  if (!member) throw new Error(`no member ${id}`);
  return member;
}

/** Passes an event to a member and executes the resulting effects. */
export function step(harness: Harness, member: Member, event: RaftEvent<Command>): void {
  if (!member.isUp) return;
  if (member.heldBack.length > 0) {
    if (member.isDiskFull) return;
    executeEffects(harness, member, member.heldBack);
  }
  executeEffects(harness, member, stepRaft(member.state, event, harness.nowMs));
}

const WRITES: ReadonlySet<string> = new Set([
  'persist-vote',
  'persist-entries',
  'restore-snapshot',
]);

function executeEffects(
  harness: Harness,
  member: Member,
  effects: readonly RaftEffect<Command>[],
): void {
  member.heldBack = [];
  for (const [position, effect] of effects.entries()) {
    if (member.isDiskFull && WRITES.has(effect.kind)) {
      member.heldBack = effects.slice(position);
      return;
    }
    applyEffect(harness, member, effect);
  }
}

function applyEffect(harness: Harness, member: Member, effect: RaftEffect<Command>): void {
  const { disk, state } = member;
  switch (effect.kind) {
    case 'persist-vote':
      disk.term = effect.term;
      disk.votedFor = effect.votedFor;
      break;
    case 'persist-entries': {
      const first = effect.entries[0]?.index ?? 0;
      disk.entries = [...disk.entries.filter(({ index }) => index < first), ...effect.entries];
      break;
    }
    case 'restore-snapshot':
      disk.snapshot = effect.snapshot;
      disk.entries = [...effect.remaining];
      member.applied = restoreApplied(effect.snapshot);
      member.appliedIndex = effect.snapshot.index;
      break;
    case 'send':
      harness.network.push({ from: member.id, to: effect.to, message: effect.message });
      break;
    case 'send-snapshot': {
      const { term, snapshot } = { term: state.currentTerm, snapshot: takeSnapshot(member) };
      const message = { kind: 'install-snapshot', term, snapshot, round: effect.round } as const;
      harness.network.push({ from: member.id, to: effect.to, message });
      break;
    }
    case 'apply':
      for (const { index, payload } of effect.entries) {
        member.applied.push(payload.kind === 'command' ? payload.command : `(${payload.kind})`);
        member.appliedIndex = index;
      }
      break;
    case 'role-changed':
      if (effect.role === 'leader') {
        recordLeader(harness, state.currentTerm, member.id);
        harness.formerLeadersUntilMs.set(state.currentTerm, state.formerLeaderUntilMs);
      }
      break;
    case 'round-confirmed':
      member.confirmedRounds += 1;
      harness.confirmed.push({ term: state.currentTerm, startedAtMs: effect.startedAtMs });
      break;
    case 'member-regressed':
      break;
  }
}

function recordLeader(harness: Harness, term: number, id: MemberId): void {
  const known = harness.leaders.get(term);
  if (known !== undefined && known !== id) throw new Error(`two leaders in term ${term}`);
  harness.leaders.set(term, id);
}

function takeSnapshot(member: Member): Snapshot {
  const { state, applied, appliedIndex: index, disk } = member;
  const term =
    index === state.snapshot.index
      ? state.snapshot.term
      : (state.entries[index - state.snapshot.index - 1]?.term ?? 0);
  const newest = disk.entries.filter(
    (entry) => entry.index <= index && entry.payload.kind === 'membership',
  );
  const payload = newest.at(-1)?.payload;
  const membership =
    payload?.kind === 'membership' ? payload.membership : state.snapshot.membership;
  return { index, term, membership, data: Buffer.from(JSON.stringify(applied)) };
}

/** Replaces the committed entries of a member with a snapshot, in memory and on disk. */
export function compact(harness: Harness, member: Member): void {
  const snapshot = takeSnapshot(member);
  const { index, term, membership } = snapshot;
  step(harness, member, { kind: 'snapshot-saved', snapshot: { index, term, membership } });
  member.disk.snapshot = snapshot;
  member.disk.entries = member.disk.entries.filter((entry) => entry.index > index);
}

/**
 * Delivers the oldest message, or drops it if its link is cut or its receiver is down. Returns whether
 * there was a message.
 */
export function deliverNext(harness: Harness): boolean {
  const envelope = harness.network.shift();
  if (!envelope) return false;
  const { from, to, message } = envelope;
  if (harness.cutLinks.has(`${from}>${to}`)) return true;
  const receiver = harness.members.get(to);
  if (receiver) step(harness, receiver, { kind: 'message', from, message });
  return true;
}

/** Advances the time in ticks of 20 ms and delivers all messages after each tick. */
export function run(harness: Harness, durationMs: number): void {
  const untilMs = harness.nowMs + durationMs;
  while (harness.nowMs < untilMs) {
    harness.nowMs += 20;
    for (const member of harness.members.values()) step(harness, member, { kind: 'tick' });
    while (deliverNext(harness));
  }
}

/** Silently drops all messages between a member and the others. */
export function isolate(harness: Harness, id: string): void {
  for (const other of harness.members.keys()) {
    harness.cutLinks.add(`${id}>${other}`);
    harness.cutLinks.add(`${other}>${id}`);
  }
}

export function heal(harness: Harness): void {
  harness.cutLinks.clear();
}

export function leaderOf(harness: Harness): Member | undefined {
  const leaders = [...harness.members.values()].filter(
    ({ isUp, state }) => isUp && state.role === 'leader',
  );
  return leaders.sort((left, right) => right.state.currentTerm - left.state.currentTerm)[0];
}

export function propose(harness: Harness, member: Member, command: Command): void {
  step(harness, member, { kind: 'propose', payloads: [{ kind: 'command', command }] });
}

/** Returns a seeded generator of pseudo-random numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
