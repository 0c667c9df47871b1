/** Runs the control log: carries out the effects of the protocol on disk, links and state. */
import {
  type ApplyResult,
  applyCommand,
  type ControlCommand,
  type ControlState,
  type ControlStateData,
  createControlState,
  createRaftState,
  exportControlState,
  importControlState,
  type LogEntry,
  type LogPayload,
  type MemberId,
  membershipAt,
  type RaftEffect,
  type RaftEvent,
  type RaftMessage,
  type RaftRole,
  type RaftState,
  type RaftTiming,
  type Snapshot,
  stepRaft,
  termAt,
} from '@bramleykeel/core';
import type { Log } from '@bramleykeel/link';
import { Encoder } from 'cbor-x';
import { match } from 'ts-pattern';
import { DISK_RETRY_MS, diskRefusal } from './storage/disk-refusal.js';
import {
  type OpenedStorage,
  persistEntries,
  persistSnapshot,
  persistVote,
} from './storage/control-storage.js';

type Command = ControlCommand;

export interface LogDriverHooks {
  readonly send: (to: MemberId, message: RaftMessage<Command>) => void;
  readonly onRole: (role: RaftRole) => void;
  /** Called after entries were applied, with the index they reach up to. */
  readonly onApplied: (index: number) => void;
  readonly onRoundConfirmed: (startedAtMs: number) => void;
}

export interface LogDriver {
  readonly raft: RaftState<Command>;
  readonly control: () => ControlState;
  readonly step: (event: RaftEvent<Command>) => void;
  /** Proposes a command; `undefined` when this member does not lead, or stopped leading meanwhile. */
  readonly propose: (command: Command) => Promise<ApplyResult | undefined>;
  /** Proposes several commands with one write and one message to each member. */
  readonly proposeAll: (
    commands: readonly Command[],
  ) => Promise<readonly (ApplyResult | undefined)[]>;
  readonly proposePayload: (payload: LogPayload<Command>) => void;
}

export interface LogDriverOptions {
  readonly selfId: MemberId;
  readonly timing: RaftTiming;
  readonly snapshotEveryEntries: number;
  readonly log: Log;
}

interface Proposal {
  readonly term: number;
  readonly resolve: (result: ApplyResult | undefined) => void;
}

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** Starts from what the storage has recovered. */
export function createLogDriver(
  opened: OpenedStorage,
  options: LogDriverOptions,
  hooks: LogDriverHooks,
): LogDriver {
  const { storage, durable, snapshot } = opened;
  const identity = {
    selfId: options.selfId,
    diskId: storage.diskId,
    timing: options.timing,
    randomUnit: Math.random,
  };
  const raft = createRaftState<Command>(identity, durable, performance.now());
  let control = restoreControl(snapshot);
  const proposals = new Map<number, Proposal>();
  /** Effects that wait for a disk that refuses, the refused one first. */
  let refused: readonly RaftEffect<Command>[] = [];
  return { raft, control: () => control, step, propose, proposeAll, proposePayload };

  function step(event: RaftEvent<Command>): void {
    if (refused.length > 0) return;
    carryOutAll(stepRaft(raft, event, performance.now()));
  }

  /**
   * Nothing may follow a write that the disk refused: the member stands still, as if it were cut off,
   * and goes on from that write once the disk takes it.
   */
  function carryOutAll(effects: readonly RaftEffect<Command>[]): void {
    for (const [index, effect] of effects.entries()) {
      try {
        carryOut(effect);
      } catch (error) {
        const code = diskRefusal(error);
        if (code === undefined) throw error;
        const sinceMs = Math.round(performance.now());
        options.log('the disk refused a write; this member stands still', {
          code,
          what: effect.kind,
          sinceMs,
        });
        refused = effects.slice(index);
        dropProposals();
        setTimeout(goOn, DISK_RETRY_MS).unref();
        return;
      }
    }
  }

  function goOn(): void {
    const effects = refused;
    refused = [];
    carryOutAll(effects);
    if (refused.length === 0) options.log('the disk takes writes again');
  }

  function proposePayload(payload: LogPayload<Command>): void {
    step({ kind: 'propose', payloads: [payload] });
  }

  async function propose(command: Command): Promise<ApplyResult | undefined> {
    const [result] = await proposeAll([command]);
    return result;
  }

  function proposeAll(commands: readonly Command[]): Promise<readonly (ApplyResult | undefined)[]> {
    if (raft.role !== 'leader' || refused.length > 0) return Promise.resolve([]);
    const firstIndex = raft.snapshot.index + raft.entries.length + 1;
    const results = commands.map((_command, offset) => {
      return new Promise<ApplyResult | undefined>((resolve) => {
        proposals.set(firstIndex + offset, { term: raft.currentTerm, resolve });
      });
    });
    const payloads = commands.map((command) => ({ kind: 'command', command }) as const);
    step({ kind: 'propose', payloads });
    return Promise.all(results);
  }

  function carryOut(effect: RaftEffect<Command>): void {
    match(effect)
      .with({ kind: 'persist-vote' }, ({ term, votedFor }) => {
        persistVote(storage, term, votedFor);
      })
      .with({ kind: 'persist-entries' }, ({ entries }) => {
        persistEntries(storage, entries);
      })
      .with({ kind: 'restore-snapshot' }, ({ snapshot: received }) => {
        persistSnapshot(storage, received, []);
        control = restoreControl(received);
        options.log(`snapshot up to ${received.index} was installed`);
        hooks.onApplied(received.index);
      })
      .with({ kind: 'send' }, ({ to, message }) => {
        hooks.send(to, message);
      })
      .with({ kind: 'send-snapshot' }, ({ to, round }) => {
        const message = { kind: 'install-snapshot', term: raft.currentTerm, round } as const;
        hooks.send(to, { ...message, snapshot: takeSnapshot() });
      })
      .with({ kind: 'apply' }, ({ entries }) => {
        applyEntries(entries);
      })
      .with({ kind: 'role-changed' }, ({ role }) => {
        options.log(`role is now ${role} in term ${raft.currentTerm}`);
        if (role !== 'leader') dropProposals();
        hooks.onRole(role);
      })
      .with({ kind: 'round-confirmed' }, ({ startedAtMs }) => {
        hooks.onRoundConfirmed(startedAtMs);
      })
      .with({ kind: 'member-regressed' }, ({ member }) => {
        options.log(`member ${member} lost entries it had confirmed; it no longer counts`);
      })
      .exhaustive();
  }

  function applyEntries(entries: readonly LogEntry<Command>[]): void {
    for (const { index, term, payload } of entries) {
      const result: ApplyResult =
        payload.kind === 'command'
          ? applyCommand(control, index, payload.command)
          : { kind: 'done' };
      control.appliedIndex = index;
      settleProposal(index, term, result);
    }
    hooks.onApplied(control.appliedIndex);
    const sinceSnapshot = control.appliedIndex - raft.snapshot.index;
    if (sinceSnapshot >= options.snapshotEveryEntries) compact();
  }

  /** An entry of another term at the index means that the proposal was overwritten. */
  function settleProposal(index: number, term: number, result: ApplyResult): void {
    const proposal = proposals.get(index);
    if (!proposal) return;
    proposals.delete(index);
    proposal.resolve(proposal.term === term ? result : undefined);
  }

  function dropProposals(): void {
    for (const { resolve } of proposals.values()) resolve(undefined);
    proposals.clear();
  }

  function takeSnapshot(): Snapshot {
    const index = control.appliedIndex;
    return {
      index,
      term: termAt(raft, index) ?? raft.snapshot.term,
      membership: membershipAt(raft, index),
      data: encoder.encode(exportControlState(control)),
    };
  }

  function compact(): void {
    const taken = takeSnapshot();
    const { index, term, membership } = taken;
    step({ kind: 'snapshot-saved', snapshot: { index, term, membership } });
    try {
      persistSnapshot(storage, taken, raft.entries);
      options.log(`log was compacted up to ${index}`);
    } catch (error) {
      const code = diskRefusal(error);
      if (code === undefined) throw error;
      // Snapshot and log on disk are still whole; the next compaction catches up.
      options.log('the disk refused a snapshot; the present log goes on', { code, index });
    }
  }
}

function restoreControl(snapshot: Snapshot): ControlState {
  if (snapshot.data.length === 0) return createControlState();
  return importControlState(encoder.decode(snapshot.data) as ControlStateData);
}
