/**
 * Write acknowledgement: held until the lease, the term and (if required) quorum replication are
 * verified.
 */
import {
  confirmWrite,
  latestPosition,
  type PendingWrite,
  refuse,
  type Refusal,
  type TransactionStatus,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import type { GroupOwner, OwnerRequest, PendingAcknowledgement } from './owner-state.js';
import { endRequest } from './request-end.js';

/**
 * Starts confirming a request that has written. The request ends immediately if the write is
 * already confirmed.
 */
export function awaitAcknowledgement(
  owner: GroupOwner,
  request: OwnerRequest,
  write: PendingWrite,
  status: TransactionStatus,
): void {
  request.stage = 'confirming';
  const pending = { request, write, status };
  owner.pendingAcknowledgements.add(pending);
  evaluateAcknowledgement(owner, pending);
}

/**
 * Re-evaluates all pending writes; called periodically, on announcements and when the group
 * changes.
 */
export function evaluateAcknowledgements(owner: GroupOwner): void {
  for (const pending of owner.pendingAcknowledgements) evaluateAcknowledgement(owner, pending);
}

function evaluateAcknowledgement(owner: GroupOwner, pending: PendingAcknowledgement): void {
  const record = owner.environment.groupRecord();
  const verdict = confirmWrite(pending.write, {
    view: owner.view,
    members: record.servers,
    primary: record.primary,
    term: record.term,
    highestTerm: record.proposedTerm,
    holdsLease: owner.environment.holdsLease(),
    nowMs: performance.now(),
  });
  match(verdict)
    .with('wait', () => undefined)
    .with('acknowledge', () => {
      acknowledge(owner, pending);
    })
    .with('superseded', () => {
      finish(owner, pending, refuse('acknowledgement-superseded'));
    })
    .with('not-covered', () => {
      finish(owner, pending, refuse('acknowledgement-not-covered'));
    })
    .exhaustive();
}

function acknowledge(owner: GroupOwner, pending: PendingAcknowledgement): void {
  const { session } = pending.request;
  const { mark } = pending.write;
  session.mark = latestPosition(session.mark, mark);
  const previousMark = owner.customerMarks.get(session.customer) ?? mark;
  owner.customerMarks.set(session.customer, latestPosition(previousMark, mark));
  owner.highestSeen = latestPosition(owner.highestSeen, mark);
  finish(owner, pending, null);
}

function finish(owner: GroupOwner, pending: PendingAcknowledgement, refusal: Refusal | null): void {
  owner.pendingAcknowledgements.delete(pending);
  endRequest(owner, pending.request, pending.status, refusal);
}
