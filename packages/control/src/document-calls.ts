/** Operators' settings documents: stored by version, and read with linearizable reads. */
import { documentOf, type SettingsDocument } from '@bramleykeel/core';
import { confirmLeadership, type LeaderService } from './leader/leader-service.js';

export type DocumentPutAnswer =
  { readonly kind: 'accepted'; readonly version: number } | { readonly kind: 'unavailable' };

export type DocumentReadAnswer =
  | { readonly kind: 'found'; readonly document: SettingsDocument | null }
  | { readonly kind: 'unavailable' };

/**
 * Accepts a document once it is synced at a quorum. A document that is not newer than the stored one
 * goes through the log as well, so that only a confirmed leader acknowledges it.
 */
export async function putDocument(
  leader: LeaderService,
  document: SettingsDocument,
): Promise<DocumentPutAnswer> {
  const result = await leader.driver.propose({ kind: 'document/put', document });
  if (result?.kind !== 'accepted') return { kind: 'unavailable' };
  return { kind: 'accepted', version: result.revision };
}

/** Reads the newest document after a quorum has confirmed that this member still leads. */
export async function readDocument(leader: LeaderService): Promise<DocumentReadAnswer> {
  const isConfirmed = await confirmLeadership(leader);
  if (!isConfirmed) return { kind: 'unavailable' };
  return { kind: 'found', document: documentOf(leader.driver.control()) ?? null };
}
