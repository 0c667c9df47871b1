/** Runs the control log: executes the effects of the Raft protocol on disk, links and state. */
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
  isCompactionDue,
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
import { DISK_RETRY_INTERVAL_MS, diskErrorCode } from './storage/disk-errors.js';
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
  /** Called after entries or a snapshot were applied, with the last applied index. */
  readonly onApplied: (index: number) => void;
  readonly onRoundConfirmed: (startedAtMs: number) => void;
  /** Called when an event was handled in part only; nothing of the log may be used afterwards. */
  readonly onBroken: (error: unknown) => void;
}

export interface LogDriver {
  readonly raft: RaftState<Command>;
  readonly control: () => ControlState;
  readonly step: (event: RaftEvent<Command>) => void;
  /**
   * Proposes a command and resolves with its result; `undefined` when this member does not lead,
   * loses leadership before the command is applied, or cannot write to its disk.
   */
  readonly propose: (command: Command) => Promise<ApplyResult | undefined>;
  /**
   * Proposes several commands with one write and one message to each member. The list of results is
   * empty when this member does not lead or waits for its disk; single results are `undefined` in the
   * cases named at `propose`.
   */
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

/** Pause after a snapshot that the disk has refused, in milliseconds. */
const COMPACTION_RETRY_MS = 1_000;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** Creates the driver with the state recovered from storage. */
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
  /** Effects held back by a failed disk write, starting with the failed one. */
  let pendingEffects: readonly RaftEffect<Command>[] = [];
  let lastAppliedMs = performance.now();
  /** No snapshot is written before this time, because the disk has refused one. */
  let compactFromMs = Number.NEGATIVE_INFINITY;
  /** Start of the pause that a failed disk write caused, if it goes on. */
  let pausedSinceMs: number | undefined;
  return { raft, control: () => control, step, propose, proposeAll, proposePayload };

  function step(event: RaftEvent<Command>): void {
    if (pendingEffects.length > 0) return;
    try {
      executeEffects(stepRaft(raft, event, performance.now()));
      if (event.kind === 'tick' && pendingEffects.length === 0) compactIfDue();
    } catch (error) {
      hooks.onBroken(error);
      throw error;
    }
  }

  /**
   * No effect may run after a failed disk write. The member stops processing events, as if it were
   * partitioned, and retries the failed effect until the disk accepts the write.
   */
  function executeEffects(effects: readonly RaftEffect<Command>[]): void {
    for (const [index, effect] of effects.entries()) {
      try {
        executeEffect(effect);
      } catch (error) {
        const code = diskErrorCode(error);
        if (code === undefined) throw error;
        if (pausedSinceMs === undefined) {
          options.log('disk write failed; this member is paused until the write succeeds', {
            code,
            what: effect.kind,
          });
        }
        pausedSinceMs ??= performance.now();
        pendingEffects = effects.slice(index);
        abandonProposals();
        setTimeout(retryPendingEffects, DISK_RETRY_INTERVAL_MS).unref();
        return;
      }
    }
  }

  function retryPendingEffects(): void {
    const effects = pendingEffects;
    pendingEffects = [];
    executeEffects(effects);
    if (pendingEffects.length > 0 || pausedSinceMs === undefined) return;
    const pausedMs = Math.round(performance.now() - pausedSinceMs);
    pausedSinceMs = undefined;
    options.log('disk writes succeed again; this member has resumed', { pausedMs });
  }

  function proposePayload(payload: LogPayload<Command>): void {
    step({ kind: 'propose', payloads: [payload] });
  }

  async function propose(command: Command): Promise<ApplyResult | undefined> {
    const [result] = await proposeAll([command]);
    return result;
  }

  function proposeAll(commands: readonly Command[]): Promise<readonly (ApplyResult | undefined)[]> {
    if (raft.role !== 'leader' || pendingEffects.length > 0) return Promise.resolve([]);
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

  function executeEffect(effect: RaftEffect<Command>): void {
    match(effect)
      .with({ kind: 'persist-vote' }, ({ term, votedFor }) => {
        persistVote(storage, term, votedFor);
      })
      .with({ kind: 'persist-entries' }, ({ entries }) => {
        persistEntries(storage, entries);
      })
      .with({ kind: 'restore-snapshot' }, ({ snapshot: received, remaining }) => {
        persistSnapshot(storage, received, remaining);
        control = restoreControl(received);
        options.log(`installed snapshot up to index ${received.index}`);
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
        if (role !== 'leader') abandonProposals();
        hooks.onRole(role);
      })
      .with({ kind: 'round-confirmed' }, ({ startedAtMs }) => {
        hooks.onRoundConfirmed(startedAtMs);
      })
      .with({ kind: 'member-regressed' }, ({ member }) => {
        options.log(
          `member ${member} lost entries it had confirmed; it no longer counts towards a quorum`,
        );
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
    lastAppliedMs = performance.now();
    hooks.onApplied(control.appliedIndex);
    compactIfDue();
  }

  function compactIfDue(): void {
    const entries = control.appliedIndex - raft.snapshot.index;
    const nowMs = performance.now();
    const quietForMs = nowMs - lastAppliedMs;
    if (nowMs < compactFromMs) return;
    if (isCompactionDue(entries, options.snapshotEveryEntries, quietForMs)) compact();
  }

  /** Resolves the proposal at an index; if the entry has another term, it was overwritten. */
  function settleProposal(index: number, term: number, result: ApplyResult): void {
    const proposal = proposals.get(index);
    if (!proposal) return;
    proposals.delete(index);
    proposal.resolve(proposal.term === term ? result : undefined);
  }

  function abandonProposals(): void {
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
    const newSnapshot = takeSnapshot();
    const { index, term, membership } = newSnapshot;
    step({ kind: 'snapshot-saved', snapshot: { index, term, membership } });
    try {
      persistSnapshot(storage, newSnapshot, raft.entries);
      options.log(`compacted the log up to index ${index}`);
    } catch (error) {
      const code = diskErrorCode(error);
      if (code === undefined) throw error;
      // Snapshot and log on disk are still intact; the next compaction includes these entries.
      compactFromMs = performance.now() + COMPACTION_RETRY_MS;
      options.log('saving a snapshot failed; continuing with the current log', { code, index });
    }
  }
}

function restoreControl(snapshot: Snapshot): ControlState {
  if (snapshot.data.length === 0) return createControlState();
  return importControlState(encoder.decode(snapshot.data) as ControlStateData);
}
