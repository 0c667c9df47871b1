/** Append-only file of checksummed records: length, CRC-32, then one CBOR value each. */
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

/** A file that cannot be trusted: an unreadable record stands before readable ones. */
export interface CorruptFile {
  readonly kind: 'corrupt-file';
  readonly file: string;
  readonly offsetBytes: number;
}

export interface RecoveredRecords {
  readonly records: readonly unknown[];
  /** Length of the intact part; anything behind it is a write that was cut short. */
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
 * Reads all records of a file's content. A damaged record is a torn tail only if no intact record
 * follows it anywhere; otherwise the file is refused.
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
  /** Set while bytes behind `lengthBytes` may stand in the file. */
  isTailUnsure: boolean;
}

/** Opens the file for appending, cutting off a torn tail. */
export function openRecordFile(file: string, intactBytes: number): RecordFile {
  const descriptor = openSync(file, 'a+');
  ftruncateSync(descriptor, intactBytes);
  fsyncSync(descriptor);
  return { file, descriptor, lengthBytes: intactBytes, isTailUnsure: false };
}

/**
 * Appends a record and syncs it before returning.
 *
 * @throws when the disk refuses; what of the record may stand in the file is cut off before the next
 */
export function appendRecord(recordFile: RecordFile, value: unknown): void {
  const bytes = encodeRecord(value);
  if (recordFile.isTailUnsure) ftruncateSync(recordFile.descriptor, recordFile.lengthBytes);
  recordFile.isTailUnsure = true;
  writeWhole(recordFile.descriptor, bytes);
  fdatasyncSync(recordFile.descriptor);
  recordFile.isTailUnsure = false;
  recordFile.lengthBytes += bytes.length;
}

/** A disk that is nearly full may take a part of the bytes before it refuses the rest. */
function writeWhole(descriptor: number, bytes: Buffer): void {
  let written = 0;
  while (written < bytes.length) written += writeSync(descriptor, bytes, written);
}

export function closeRecordFile(recordFile: RecordFile): void {
  closeSync(recordFile.descriptor);
}

/** Replaces a file as a whole: written beside it, synced, renamed, folder synced. */
export function replaceFile(file: string, content: Buffer): void {
  const temporary = `${file}.new`;
  const descriptor = openSync(temporary, 'w');
  try {
    writeWhole(descriptor, content);
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
  renameSync(temporary, file);
  syncFolder(dirname(file));
}

/** Syncs a folder, so that a rename or a new file in it lasts. */
export function syncFolder(folder: string): void {
  const descriptor = openSync(folder, 'r');
  fsyncSync(descriptor);
  closeSync(descriptor);
}

/** Reads a whole file; `undefined` when it does not exist. */
export function readFileIfThere(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
