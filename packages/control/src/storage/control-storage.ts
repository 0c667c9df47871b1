/** The data folder of a control member: identity, snapshot and log. */
import { randomUUID } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import {
  toDiskId,
  type ControlCommand,
  type DiskId,
  type DurableRaftState,
  type LogEntry,
  type MemberId,
  type Membership,
  type Snapshot,
} from '@bramleykeel/core';
import { type Either, Left, Right } from 'purify-ts';
import {
  appendRecord,
  closeRecordFile,
  type CorruptFile,
  decodeRecords,
  encodeRecord,
  openRecordFile,
  readFileIfExists,
  type RecordFile,
  type RecoveredRecords,
  replaceFile,
  replaceRecordFile,
  syncName,
} from './record-file.js';

type Entry = LogEntry<ControlCommand>;

type LogRecord =
  | { readonly kind: 'vote'; readonly term: number; readonly votedFor: MemberId | null }
  | { readonly kind: 'entries'; readonly entries: readonly Entry[] };

interface IdentityRecord {
  readonly kind: 'identity';
  readonly diskId: DiskId;
}

export interface ControlStorage {
  readonly folder: string;
  readonly diskId: DiskId;
  log: RecordFile;
  vote: { term: number; votedFor: MemberId | null };
}

export interface OpenedStorage {
  readonly storage: ControlStorage;
  readonly durable: DurableRaftState<ControlCommand>;
  readonly snapshot: Snapshot;
  readonly tornBytes: number;
}

const EMPTY_SNAPSHOT: Snapshot = { index: 0, term: 0, membership: {}, data: new Uint8Array() };

/** The disk id of a member that belongs to the initial membership of its cluster. */
export function initialDiskId(member: string): DiskId {
  return toDiskId(`initial-${member}`);
}

/**
 * Initializes the data folder of an initial member of a new cluster. Rejects a folder that is already
 * initialized, so that this is not used to replace a lost disk.
 */
export function initializeFolder(
  folder: string,
  member: string,
  membership: Membership,
): Either<'already-initialized', void> {
  mkdirSync(folder, { recursive: true });
  if (readFileIfExists(identityFile(folder))) return Left('already-initialized');
  replaceFile(snapshotFile(folder), encodeRecord({ ...EMPTY_SNAPSHOT, membership }));
  const identity: IdentityRecord = { kind: 'identity', diskId: initialDiskId(member) };
  replaceFile(identityFile(folder), encodeRecord(identity));
  return Right(undefined);
}

/**
 * Opens the data folder and recovers its state. An empty folder gets a new disk id, and its member
 * must be admitted by the others before it votes.
 */
export function openStorage(folder: string): Either<CorruptFile, OpenedStorage> {
  mkdirSync(folder, { recursive: true });
  return readIdentity(folder).chain((diskId) =>
    readSnapshot(folder).chain((snapshot) =>
      readRecords(logFile(folder)).map((recovered) => {
        const log = openRecordFile(logFile(folder), recovered.intactBytes);
        const durable = replayLog(recovered.records as readonly LogRecord[], snapshot);
        const vote = { term: durable.currentTerm, votedFor: durable.votedFor ?? null };
        const storage: ControlStorage = { folder, diskId, log, vote };
        return { storage, durable, snapshot, tornBytes: recovered.tornBytes };
      }),
    ),
  );
}

function readIdentity(folder: string): Either<CorruptFile, DiskId> {
  const file = identityFile(folder);
  return readRecords(file).chain(({ records }) => {
    const [identity] = records as readonly IdentityRecord[];
    if (identity) return Right(identity.diskId);
    if (readFileIfExists(file)) return Left({ kind: 'corrupt-file', file, offsetBytes: 0 });
    const diskId = toDiskId(randomUUID());
    replaceFile(file, encodeRecord({ kind: 'identity', diskId } satisfies IdentityRecord));
    return Right(diskId);
  });
}

/** Snapshots are replaced atomically, so a damaged one is corrupt and not an incomplete write. */
function readSnapshot(folder: string): Either<CorruptFile, Snapshot> {
  const file = snapshotFile(folder);
  return readRecords(file).chain(({ records, tornBytes }) => {
    if (tornBytes > 0) return Left({ kind: 'corrupt-file', file, offsetBytes: 0 });
    const [snapshot] = records as readonly Snapshot[];
    return Right(snapshot ?? EMPTY_SNAPSHOT);
  });
}

function readRecords(file: string): Either<CorruptFile, RecoveredRecords> {
  return decodeRecords(file, readFileIfExists(file) ?? Buffer.alloc(0));
}

function replayLog(
  records: readonly LogRecord[],
  snapshot: Snapshot,
): DurableRaftState<ControlCommand> {
  let currentTerm = snapshot.term;
  let votedFor: MemberId | undefined;
  let entries: Entry[] = [];
  for (const record of records) {
    if (record.kind === 'vote') {
      currentTerm = record.term;
      votedFor = record.votedFor ?? undefined;
      continue;
    }
    const newEntries = record.entries.filter((entry) => entry.index > snapshot.index);
    const [first] = newEntries;
    if (!first) continue;
    entries = entries.filter((entry) => entry.index < first.index);
    entries.push(...newEntries);
  }
  const { index, term, membership } = snapshot;
  return { currentTerm, votedFor, snapshot: { index, term, membership }, entries };
}

/** Syncs the term and the vote; must return before any message that depends on them is sent. */
export function persistVote(
  storage: ControlStorage,
  term: number,
  votedFor: MemberId | undefined,
): void {
  storage.vote = { term, votedFor: votedFor ?? null };
  appendRecord(storage.log, { kind: 'vote', ...storage.vote } satisfies LogRecord);
}

/** Syncs new entries; they replace all stored entries from the index of the first one on. */
export function persistEntries(storage: ControlStorage, entries: readonly Entry[]): void {
  appendRecord(storage.log, { kind: 'entries', entries } satisfies LogRecord);
}

/**
 * Saves a snapshot, then rewrites the log with only the remaining entries. After a crash or a disk
 * error between the two, recovery skips log entries that the snapshot includes.
 *
 * @throws when a write fails; the log and snapshot on disk are still complete together
 */
export function persistSnapshot(
  storage: ControlStorage,
  snapshot: Snapshot,
  remaining: readonly Entry[],
): void {
  replaceFile(snapshotFile(storage.folder), encodeRecord(snapshot));
  const records: LogRecord[] = [{ kind: 'vote', ...storage.vote }];
  if (remaining.length > 0) records.push({ kind: 'entries', entries: remaining });
  const content = Buffer.concat(records.map(encodeRecord));
  const previousLog = storage.log;
  storage.log = replaceRecordFile(previousLog.file, content);
  closeRecordFile(previousLog);
  syncName(storage.log);
}

export function closeStorage(storage: ControlStorage): void {
  closeRecordFile(storage.log);
}

function identityFile(folder: string): string {
  return join(folder, 'identity');
}

function snapshotFile(folder: string): string {
  return join(folder, 'snapshot');
}

function logFile(folder: string): string {
  return join(folder, 'log');
}
