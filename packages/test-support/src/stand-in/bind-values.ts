/** Reads the parameter types of a Parse and the parameter values of a Bind; only the text format is supported. */
import { type SqlValue, TYPE_IDS } from './expressions.js';
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

/** Reads the parameter types that a Parse message declares. */
export function readTypeIds(parameterTypes: Buffer): number[] {
  const count = parameterTypes.readInt16BE(0);
  return Array.from({ length: count }, (_, index) => parameterTypes.readInt32BE(2 + index * 4));
}

/** The declared types of a statement's parameters; those that are left open are text. */
export function resolveTypeIds(declared: readonly number[], parameterCount: number): number[] {
  const length = Math.max(declared.length, parameterCount);
  return Array.from({ length }, (_, index) => declared[index] ?? 0).map((typeId) =>
    typeId === 0 ? TYPE_IDS.text : typeId,
  );
}
