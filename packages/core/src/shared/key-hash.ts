/** Hashing of caller keys and operator tokens. They are random 256-bit values, so a plain hash suffices. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

/** Creates a random 256-bit secret, encoded as 43 URL-safe characters. */
export function createSecret(): string {
  return randomBytes(32).toString('base64url');
}

/** SHA-256 of a secret as lower-case hex. */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret, 'utf8').digest('hex');
}

/**
 * Compares a presented secret with a stored hash in constant time.
 *
 * @example
 * isSecretFor('presented', hashSecret('presented')); // true
 */
export function isSecretFor(secret: string, sha256Hex: string): boolean {
  const presented = createHash('sha256').update(secret, 'utf8').digest();
  const stored = Buffer.from(sha256Hex, 'hex');
  return stored.length === presented.length && timingSafeEqual(presented, stored);
}
