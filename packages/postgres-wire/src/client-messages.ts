/** Parses the client messages whose contents the proxy or the stand-in server needs. */
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';
import type { WireMessage } from './message-framer.js';

const SSL_REQUEST_CODE = 80_877_103;
const GSS_REQUEST_CODE = 80_877_104;
const CANCEL_REQUEST_CODE = 80_877_102;
const PROTOCOL_MAJOR_3 = 3;
const HEADER_BYTES = 5;

export type StartupPacket =
  | { readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string> }
  | { readonly kind: 'ssl-request' }
  | { readonly kind: 'gss-request' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secretKey: number }
  | { readonly kind: 'malformed' };

/** Parses a startup packet: StartupMessage, SSLRequest, GSSENCRequest or CancelRequest. */
export function readStartupPacket({ frame }: WireMessage): StartupPacket {
  if (frame.length < 8) return { kind: 'malformed' };
  const requestCode = frame.readInt32BE(4);
  if (requestCode === SSL_REQUEST_CODE) return { kind: 'ssl-request' };
  if (requestCode === GSS_REQUEST_CODE) return { kind: 'gss-request' };
  if (requestCode === CANCEL_REQUEST_CODE) {
    if (frame.length < 16) return { kind: 'malformed' };
    return { kind: 'cancel', processId: frame.readInt32BE(8), secretKey: frame.readInt32BE(12) };
  }
  if (requestCode >> 16 !== PROTOCOL_MAJOR_3) return { kind: 'malformed' };
  return readStartupParameters(frame.subarray(8));
}

function readStartupParameters(body: Buffer): StartupPacket {
  const parts = body.toString('utf8').split('\0');
  const parameters = new Map<string, string>();
  for (let index = 0; index + 1 < parts.length; index += 2) {
    const name = parts[index];
    if (name === undefined || name === '') break;
    parameters.set(name, parts[index + 1] ?? '');
  }
  return { kind: 'startup', parameters };
}

export interface ParseMessage {
  readonly name: string;
  readonly text: string;
  /** Encoded parameter count and type OIDs, as received. */
  readonly parameterTypes: Buffer;
}

export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** Encoded parameter formats, parameter values and result formats, as received. */
  readonly encodedParameters: Buffer;
}

export interface DescribeOrCloseMessage {
  /** Kind of object named: `S` for a prepared statement, `P` for a portal. */
  readonly target: 'S' | 'P';
  readonly name: string;
}

export interface ExecuteMessage {
  readonly portal: string;
  readonly maxRows: number;
}

export function readParse({ frame }: WireMessage): ParseMessage {
  const reader = openReader(frame);
  const name = reader.cstring();
  const text = reader.cstring();
  const consumedBytes = Buffer.byteLength(name) + Buffer.byteLength(text) + 2;
  return { name, text, parameterTypes: frame.subarray(HEADER_BYTES + consumedBytes) };
}

export function readBind({ frame }: WireMessage): BindMessage {
  const reader = openReader(frame);
  const portal = reader.cstring();
  const statement = reader.cstring();
  const consumedBytes = Buffer.byteLength(portal) + Buffer.byteLength(statement) + 2;
  return { portal, statement, encodedParameters: frame.subarray(HEADER_BYTES + consumedBytes) };
}

/** Parses a Describe or Close message; the two have the same layout. */
export function readDescribeOrClose({ frame }: WireMessage): DescribeOrCloseMessage {
  const reader = openReader(frame);
  const target = reader.byte() === 'S'.charCodeAt(0) ? 'S' : 'P';
  return { target, name: reader.cstring() };
}

export function readExecute({ frame }: WireMessage): ExecuteMessage {
  const reader = openReader(frame);
  return { portal: reader.cstring(), maxRows: reader.int32() };
}

/** Reads the string in a Query or PasswordMessage message. */
export function readStringPayload({ frame }: WireMessage): string {
  return openReader(frame).cstring();
}

function openReader(frame: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(HEADER_BYTES, frame);
  return reader;
}
