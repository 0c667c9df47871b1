/**
 * Values that are encoded once and sent to many peers: the sender of the same records to hundreds of entries
 * would otherwise spend its time on encoding, and narrow links theirs on carrying them.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { PackedValue } from '@bramleykeel/core';
import { Encoder } from 'cbor-x';

/** Shorter values gain too little to be compressed, in bytes. */
const MIN_DEFLATED_BYTES = 400;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/**
 * Encodes a value, compressed if it is long.
 *
 * @example
 * const packed = packValue(push);
 * for (const peer of peers) peer.notify('records/packed', packed);
 */
export function packValue(value: unknown): PackedValue {
  const bytes = encoder.encode(value);
  if (bytes.length < MIN_DEFLATED_BYTES) return { isDeflated: false, bytes };
  return { isDeflated: true, bytes: deflateRawSync(bytes) };
}

/**
 * Decodes what {@link packValue} has encoded.
 *
 * @throws when the bytes are damaged
 */
export function unpackValue({ isDeflated, bytes }: PackedValue): unknown {
  return encoder.decode(isDeflated ? inflateRawSync(bytes) : bytes);
}
