/** Operators' whole settings documents: accepted under a version, read back only when surely newest. */
import { documentOf, type SettingsDocument } from '@bramleykeel/core';
import { awaitRound, type LeaderService } from './leader/leader-service.js';

export type DocumentPutAnswer =
  { readonly kind: 'accepted'; readonly version: number } | { readonly kind: 'unavailable' };

export type DocumentReadAnswer =
  | { readonly kind: 'found'; readonly document: SettingsDocument | null }
  | { readonly kind: 'unavailable' };

/**
 * Accepts a document once it is synced at a quorum. One that is not newer than the document held
 * goes through the log as well, so that its acknowledgement comes from a member that surely leads.
 */
export async function putDocument(
  leader: LeaderService,
  document: SettingsDocument,
): Promise<DocumentPutAnswer> {
  const result = await leader.driver.propose({ kind: 'document/put', document });
  if (result?.kind !== 'accepted') return { kind: 'unavailable' };
  return { kind: 'accepted', version: result.revision };
}

/** Reads the newest document after a round that a quorum has confirmed. */
export async function readDocument(leader: LeaderService): Promise<DocumentReadAnswer> {
  const isConfirmed = await awaitRound(leader);
  if (!isConfirmed) return { kind: 'unavailable' };
  return { kind: 'found', document: documentOf(leader.driver.control()) ?? null };
}
