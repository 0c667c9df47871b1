/** Mutual challenge-response authentication of links: an HMAC over both nonces under the shared link secret. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

export type LinkSide = 'client' | 'server';

const NONCE_BYTES = 16;

export function createNonce(): Buffer {
  return randomBytes(NONCE_BYTES);
}

/** Creates the proof sent by `side`. It covers both nonces and the side, so it cannot be replayed or reflected. */
export function createProof(
  secret: string,
  side: LinkSide,
  clientNonce: Uint8Array,
  serverNonce: Uint8Array,
): Buffer {
  return createHmac('sha256', secret).update(side).update(clientNonce).update(serverNonce).digest();
}

/** Compares a received proof with the expected one in constant time. */
export function isProofValid(received: unknown, expected: Buffer): boolean {
  if (!(received instanceof Uint8Array)) return false;
  return received.length === expected.length && timingSafeEqual(received, expected);
}
