/** Acknowledgement of writes: kept back until the lease, the term and the quorum cover agree. */
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

/** Starts the confirmation of a request that has written; it may end at once. */
export function awaitAcknowledgement(
  owner: GroupOwner,
  request: OwnerRequest,
  write: PendingWrite,
  status: TransactionStatus,
): void {
  request.stage = 'confirming';
  const pending = { request, write, status };
  owner.pendingAcknowledgements.add(pending);
  settle(owner, pending);
}

/** Looks at all waiting writes again, after an announcement, a change of the group or some time. */
export function settleAcknowledgements(owner: GroupOwner): void {
  for (const pending of owner.pendingAcknowledgements) settle(owner, pending);
}

function settle(owner: GroupOwner, pending: PendingAcknowledgement): void {
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
  const known = owner.customerMarks.get(session.customer) ?? mark;
  owner.customerMarks.set(session.customer, latestPosition(known, mark));
  owner.highestSeen = latestPosition(owner.highestSeen, mark);
  finish(owner, pending, null);
}

function finish(owner: GroupOwner, pending: PendingAcknowledgement, refusal: Refusal | null): void {
  owner.pendingAcknowledgements.delete(pending);
  endRequest(owner, pending.request, pending.status, refusal);
}
