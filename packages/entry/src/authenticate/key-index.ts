/** The keys in force, by customer, kept up to date from control's records. */
import {
  toCustomerName,
  type CustomerName,
  isSecretFor,
  type KeySetting,
  type RecordDelta,
} from '@bramleykeel/core';

export interface KeyIndex {
  readonly keys: Map<CustomerName, Map<string, KeySetting>>;
}

export function createKeyIndex(): KeyIndex {
  return { keys: new Map() };
}

/** Takes in changed records and returns whether any key was withdrawn or replaced. */
export function updateKeyIndex(index: KeyIndex, deltas: readonly RecordDelta[]): boolean {
  let hasWithdrawn = false;
  for (const { key, stored } of deltas) {
    const match = /^settings\/keys\/([^/]+)\/([^/]+)$/.exec(key);
    if (!match) continue;
    const [, customer = '', keyId = ''] = match;
    const name = toCustomerName(customer);
    const known = index.keys.get(name) ?? new Map<string, KeySetting>();
    index.keys.set(name, known);
    if (known.has(keyId)) hasWithdrawn = true;
    if (stored.record.kind === 'setting') known.set(keyId, stored.record.value as KeySetting);
    else known.delete(keyId);
  }
  return hasWithdrawn;
}

/** A key that was accepted: which one, and its hash, so that a replaced key counts as withdrawn. */
export interface AcceptedKey {
  readonly keyId: string;
  readonly sha256Hex: string;
}

/**
 * Finds the customer's key that the presented secret belongs to. All keys are compared, so that the
 * time taken does not tell which one matched.
 */
export function findKey(
  index: KeyIndex,
  customer: CustomerName,
  secret: string,
): AcceptedKey | undefined {
  let found: AcceptedKey | undefined;
  for (const [keyId, { sha256Hex }] of index.keys.get(customer) ?? []) {
    if (isSecretFor(secret, sha256Hex)) found = { keyId, sha256Hex };
  }
  return found;
}

/** Tells whether an accepted key is still in force. */
export function isKeyInForce(
  index: KeyIndex,
  customer: CustomerName,
  accepted: AcceptedKey,
): boolean {
  return index.keys.get(customer)?.get(accepted.keyId)?.sha256Hex === accepted.sha256Hex;
}
