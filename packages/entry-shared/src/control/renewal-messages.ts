/** Renewals of an entry's lease and the replies to them, as they are sent. */
import type {
  CarriedRecords,
  LeaseRenewal,
  LeaseReply,
  RecordsPush,
  RepeatedRenewal,
  ShortLeaseReply,
} from '@bramleykeel/core';
import { unpackValue } from '@bramleykeel/link';

/** A leader that does not answer within this time may be suspended, so the other members are asked too. */
const RENEW_TIMEOUT_MS = 350;
/**
 * The first reply carries all records, about 25 KB at 80 customers. Transferring them over a 2 Mbit/s link between
 * regions takes a third of a second.
 */
const FIRST_RENEW_TIMEOUT_MS = 1_500;
/** What an entry tells control about its copy of the records. */
export type KnownRecords = Pick<LeaseRenewal, 'knownIndex' | 'documentIndex' | 'settingsRevision'>;

export function unpackRecords(carried: CarriedRecords): RecordsPush {
  return 'packed' in carried ? (unpackValue(carried.packed) as RecordsPush) : carried;
}

export function isShortReply(reply: LeaseReply | ShortLeaseReply): reply is ShortLeaseReply {
  return Array.isArray(reply);
}

export function repeatedRenewalOf({
  knownIndex,
  documentIndex,
  settingsRevision,
}: KnownRecords): RepeatedRenewal {
  return [knownIndex, documentIndex ?? null, settingsRevision];
}

/** Time-out of a renewal by an entry whose copy of the records is complete up to `knownIndex`. */
export function renewTimeoutMs(knownIndex: number): number {
  return knownIndex === 0 ? FIRST_RENEW_TIMEOUT_MS : RENEW_TIMEOUT_MS;
}
