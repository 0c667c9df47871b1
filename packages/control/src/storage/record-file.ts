/** Append-only file of checksummed records, each a length, a CRC-32 and one CBOR value. */
import {
  closeSync,
  fdatasyncSync,
  fsyncSync,
  ftruncateSync,
  openSync,
  readFileSync,
  renameSync,
  writeSync,
} from 'node:fs';
import { dirname } from 'node:path';
import { crc32 } from 'node:zlib';
import { Encoder } from 'cbor-x';
import { type Either, Left, Right } from 'purify-ts';

const HEADER_BYTES = 8;
const MAX_RECORD_BYTES = 256 * 1024 * 1024;
const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** A corrupt file: an unreadable record precedes readable ones. */
export interface CorruptFile {
  readonly kind: 'corrupt-file';
  readonly file: string;
  readonly offsetBytes: number;
}

export interface RecoveredRecords {
  readonly records: readonly unknown[];
  /** Length of the intact part; any bytes after it are from an incomplete write. */
  readonly intactBytes: number;
  readonly tornBytes: number;
}

export function encodeRecord(value: unknown): Buffer {
  const body = encoder.encode(value);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length, 0);
  header.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([header, body]);
}

/**
 * Decodes all records of a file. An unreadable record counts as an incomplete last write only if no
 * intact record follows it at any offset; otherwise the file is corrupt.
 */
export function decodeRecords(
  file: string,
  content: Buffer,
): Either<CorruptFile, RecoveredRecords> {
  const records: unknown[] = [];
  let offset = 0;
  while (offset < content.length) {
    const record = readRecordAt(content, offset);
    if (!record) break;
    records.push(record.value);
    offset += record.lengthBytes;
  }
  if (hasIntactRecordAfter(content, offset)) {
    return Left({ kind: 'corrupt-file', file, offsetBytes: offset });
  }
  return Right({ records, intactBytes: offset, tornBytes: content.length - offset });
}

function readRecordAt(
  content: Buffer,
  offset: number,
): { value: unknown; lengthBytes: number } | undefined {
  if (offset + HEADER_BYTES > content.length) return undefined;
  const bodyBytes = content.readUInt32BE(offset);
  const end = offset + HEADER_BYTES + bodyBytes;
  if (bodyBytes === 0 || bodyBytes > MAX_RECORD_BYTES || end > content.length) return undefined;
  const body = content.subarray(offset + HEADER_BYTES, end);
  if (crc32(body) !== content.readUInt32BE(offset + 4)) return undefined;
  try {
    return { value: encoder.decode(body), lengthBytes: HEADER_BYTES + bodyBytes };
  } catch {
    return undefined;
  }
}

function hasIntactRecordAfter(content: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_BYTES < content.length; start += 1) {
    if (readRecordAt(content, start)) return true;
  }
  return false;
}

export interface RecordFile {
  readonly file: string;
  readonly descriptor: number;
  lengthBytes: number;
  /** Set while the file may hold bytes of an unfinished write after `lengthBytes`. */
  hasUnsyncedTail: boolean;
  /** Set after a rename whose folder is not synced yet; a power loss may bring back the former file. */
  hasUnsyncedName: boolean;
}

/** Opens the file for appending, and truncates it to its intact part. */
export function openRecordFile(file: string, intactBytes: number): RecordFile {
  const descriptor = openSync(file, 'a+');
  ftruncateSync(descriptor, intactBytes);
  fsyncSync(descriptor);
  return {
    file,
    descriptor,
    lengthBytes: intactBytes,
    hasUnsyncedTail: false,
    hasUnsyncedName: false,
  };
}

/**
 * Replaces a record file by one with the given content. Once the former file has lost its name, the new
 * one is returned whatever fails afterwards, so that no record is appended to a file without a name.
 * Call {@link syncName} next.
 *
 * @throws when a write or the rename fails; the former file is still in place then
 */
export function replaceRecordFile(file: string, content: Buffer): RecordFile {
  const temporaryFile = `${file}.new`;
  const descriptor = openSync(temporaryFile, 'a+');
  try {
    ftruncateSync(descriptor, 0);
    writeFully(descriptor, content);
    fsyncSync(descriptor);
    renameSync(temporaryFile, file);
  } catch (error) {
    closeSync(descriptor);
    throw error;
  }
  return {
    file,
    descriptor,
    lengthBytes: content.length,
    hasUnsyncedTail: false,
    hasUnsyncedName: true,
  };
}

/** Makes the name of a replaced record file durable; does nothing if it is. */
export function syncName(recordFile: RecordFile): void {
  if (!recordFile.hasUnsyncedName) return;
  syncFolder(dirname(recordFile.file));
  recordFile.hasUnsyncedName = false;
}

/**
 * Appends a record and syncs it before returning.
 *
 * @throws when the write fails; bytes of the record in the file are truncated before the next append
 */
export function appendRecord(recordFile: RecordFile, value: unknown): void {
  const bytes = encodeRecord(value);
  syncName(recordFile);
  if (recordFile.hasUnsyncedTail) ftruncateSync(recordFile.descriptor, recordFile.lengthBytes);
  recordFile.hasUnsyncedTail = true;
  writeFully(recordFile.descriptor, bytes);
  fdatasyncSync(recordFile.descriptor);
  recordFile.hasUnsyncedTail = false;
  recordFile.lengthBytes += bytes.length;
}

/** Repeats partial writes, which occur when the disk is nearly full. */
function writeFully(descriptor: number, bytes: Buffer): void {
  let written = 0;
  while (written < bytes.length) written += writeSync(descriptor, bytes, written);
}

export function closeRecordFile(recordFile: RecordFile): void {
  closeSync(recordFile.descriptor);
}

/** Replaces a file atomically: writes and syncs a new file, renames it and syncs the folder. */
export function replaceFile(file: string, content: Buffer): void {
  const temporaryFile = `${file}.new`;
  const descriptor = openSync(temporaryFile, 'w');
  try {
    writeFully(descriptor, content);
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
  renameSync(temporaryFile, file);
  syncFolder(dirname(file));
}

/** Syncs a folder, so that a rename or a new file in it is durable. */
export function syncFolder(folder: string): void {
  const descriptor = openSync(folder, 'r');
  fsyncSync(descriptor);
  closeSync(descriptor);
}

/** Reads a file; `undefined` if it does not exist. */
export function readFileIfExists(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
