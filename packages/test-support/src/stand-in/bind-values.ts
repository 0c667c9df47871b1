/** Reads the parameter values of a Bind message; only the text format is supported. */
import type { SqlValue } from './expressions.js';
import { SqlError } from './sql-error.js';

/**
 * Reads the parameter values from `encodedParameters`, the part of a Bind message after the portal and
 * statement names.
 *
 * @throws SqlError (0A000) if a parameter or result column is in binary format
 */
export function readBindValues(encodedParameters: Buffer): SqlValue[] {
  let offset = 0;
  const readInt16 = () => {
    offset += 2;
    return encodedParameters.readInt16BE(offset - 2);
  };
  const readInt32 = () => {
    offset += 4;
    return encodedParameters.readInt32BE(offset - 4);
  };
  const formatCount = readInt16();
  const formats = Array.from({ length: formatCount }, readInt16);
  const valueCount = readInt16();
  const values = Array.from({ length: valueCount }, () => {
    const lengthBytes = readInt32();
    if (lengthBytes < 0) return null;
    offset += lengthBytes;
    return encodedParameters.toString('utf8', offset - lengthBytes, offset);
  });
  const resultFormatCount = readInt16();
  const resultFormats = Array.from({ length: resultFormatCount }, readInt16);
  if (formats.includes(1) || resultFormats.includes(1)) {
    throw new SqlError('0A000', 'the stand-in does not support binary format');
  }
  return values;
}
