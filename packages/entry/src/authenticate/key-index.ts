/** Index of the keys in force by customer, updated from control's records. */
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

/** Applies changed records; returns whether any key was withdrawn or replaced. */
export function updateKeyIndex(index: KeyIndex, deltas: readonly RecordDelta[]): boolean {
  let hasWithdrawnKey = false;
  for (const { key, stored } of deltas) {
    const match = /^settings\/keys\/([^/]+)\/([^/]+)$/.exec(key);
    if (!match) continue;
    const [, customer = '', keyId = ''] = match;
    const name = toCustomerName(customer);
    const customerKeys = index.keys.get(name) ?? new Map<string, KeySetting>();
    index.keys.set(name, customerKeys);
    if (customerKeys.has(keyId)) hasWithdrawnKey = true;
    if (stored.record.kind === 'setting')
      customerKeys.set(keyId, stored.record.value as KeySetting);
    else customerKeys.delete(keyId);
  }
  return hasWithdrawnKey;
}

/** An accepted key. Includes the key's hash, so that a replaced key counts as withdrawn. */
export interface AcceptedKey {
  readonly keyId: string;
  readonly sha256Hex: string;
}

/**
 * Finds the customer's key that matches the presented secret. Always compares all keys, so that the
 * time taken does not reveal which one matched.
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

/** Returns whether an accepted key is still in force. */
export function isKeyInForce(
  index: KeyIndex,
  customer: CustomerName,
  accepted: AcceptedKey,
): boolean {
  return index.keys.get(customer)?.get(accepted.keyId)?.sha256Hex === accepted.sha256Hex;
}
