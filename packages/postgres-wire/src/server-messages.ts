/** Builds server messages, and parses those whose contents the proxy needs. */
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { TransactionStatus } from '@bramleykeel/core';
import type { WireMessage } from './message-framer.js';
import { SERVER } from './message-types.js';

const HEADER_BYTES = 5;

export function buildAuthenticationOk(): Buffer {
  return new Writer().addInt32(0).flush(SERVER.authentication);
}

export function buildCleartextPasswordRequest(): Buffer {
  return new Writer().addInt32(3).flush(SERVER.authentication);
}

export function buildParameterStatus(name: string, value: string): Buffer {
  return new Writer().addCString(name).addCString(value).flush(SERVER.parameterStatus);
}

export function buildBackendKeyData(processId: number, secretKey: number): Buffer {
  return new Writer().addInt32(processId).addInt32(secretKey).flush(SERVER.backendKeyData);
}

const TRANSACTION_STATUS_LETTERS: Readonly<Record<TransactionStatus, string>> = {
  idle: 'I',
  'in-transaction': 'T',
  'failed-transaction': 'E',
};

export function buildReadyForQuery(status: TransactionStatus): Buffer {
  return new Writer()
    .add(Buffer.from(TRANSACTION_STATUS_LETTERS[status]))
    .flush(SERVER.readyForQuery);
}

export function readReadyForQuery({ frame }: WireMessage): TransactionStatus {
  const letter = String.fromCharCode(frame[HEADER_BYTES] ?? 0);
  if (letter === 'T') return 'in-transaction';
  return letter === 'E' ? 'failed-transaction' : 'idle';
}

export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlState: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/**
 * Builds an ErrorResponse with both severity fields, localized (S) and non-localized (V), as newer
 * clients expect.
 */
export function buildErrorResponse(fields: ErrorFields): Buffer {
  const writer = new Writer();
  const addField = (letter: string, text: string | undefined) => {
    if (text !== undefined) writer.add(Buffer.from(letter)).addCString(text);
  };
  addField('S', fields.severity);
  addField('V', fields.severity);
  addField('C', fields.sqlState);
  addField('M', fields.message);
  addField('D', fields.detail);
  addField('H', fields.hint);
  return writer.add(Buffer.from([0])).flush(SERVER.errorResponse);
}

/** Reads the SQLSTATE of an ErrorResponse. */
export function readSqlState({ frame }: WireMessage): string {
  return readErrorField(frame, 'C');
}

/** Reads the primary message of an ErrorResponse. */
export function readErrorMessage({ frame }: WireMessage): string {
  return readErrorField(frame, 'M');
}

function readErrorField(frame: Buffer, letter: string): string {
  const fields = frame.subarray(HEADER_BYTES).toString('utf8').split('\0');
  return fields.find((field) => field.startsWith(letter))?.slice(1) ?? '';
}

export interface ParameterStatus {
  readonly name: string;
  readonly value: string;
}

export function readParameterStatus({ frame }: WireMessage): ParameterStatus {
  const reader = new BufferReader();
  reader.setBuffer(HEADER_BYTES, frame);
  return { name: reader.cstring(), value: reader.cstring() };
}

/** Builds a message that has no body, such as ParseComplete. */
export function buildEmptyMessage(type: number): Buffer {
  return new Writer(HEADER_BYTES).flush(type);
}

export function buildCommandComplete(tag: string): Buffer {
  return new Writer().addCString(tag).flush(SERVER.commandComplete);
}

export interface ColumnDescription {
  readonly name: string;
  readonly typeId: number;
}

export function buildRowDescription(columns: readonly ColumnDescription[]): Buffer {
  const writer = new Writer().addInt16(columns.length);
  for (const { name, typeId } of columns) {
    writer.addCString(name).addInt32(0).addInt16(0).addInt32(typeId);
    writer.addInt16(-1).addInt32(-1).addInt16(0);
  }
  return writer.flush(SERVER.rowDescription);
}

/** Builds a DataRow in text format; `null` stands for SQL NULL. */
export function buildDataRow(values: readonly (string | null)[]): Buffer {
  const writer = new Writer().addInt16(values.length);
  for (const value of values) {
    if (value === null) {
      writer.addInt32(-1);
      continue;
    }
    const bytes = Buffer.from(value, 'utf8');
    writer.addInt32(bytes.length).add(bytes);
  }
  return writer.flush(SERVER.dataRow);
}

export function buildParameterDescription(typeIds: readonly number[]): Buffer {
  const writer = new Writer().addInt16(typeIds.length);
  for (const typeId of typeIds) writer.addInt32(typeId);
  return writer.flush(SERVER.parameterDescription);
}

/** Builds the answer of a target to an echo (buildEcho). */
export function buildEchoAnswer(number: number, status: TransactionStatus): Buffer {
  return Buffer.concat([
    buildEmptyMessage(SERVER.parseComplete),
    buildParameterDescription([number]),
    buildEmptyMessage(SERVER.noData),
    buildReadyForQuery(status),
  ]);
}
