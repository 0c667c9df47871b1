/** Mutual proof of the shared link secret, by nonce and HMAC, before anything else is exchanged. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

export type LinkSide = 'client' | 'server';

const NONCE_BYTES = 16;

export function createNonce(): Buffer {
  return randomBytes(NONCE_BYTES);
}

/** The proof that `side` gives; it covers both nonces, so it cannot be replayed or reflected. */
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
