/** Completion of a request: held bytes or a refusal, then the status and the session's mark. */
import type { Refusal, TransactionStatus } from '@bramleykeel/core';
import type { GroupOwner, OwnerRequest, OwnerSession } from './owner-state.js';

const MAX_UNVERIFIED_BYTES = 64 * 1024;

/**
 * Reports the end of a request to its entry. The held CommandComplete is sent only without a
 * refusal.
 */
export function endRequest(
  owner: GroupOwner,
  request: OwnerRequest,
  status: TransactionStatus,
  lastRefusal: Refusal | null,
): void {
  if (request.stage === 'ended') return;
  const refusal = refusalAfterRuns(request, lastRefusal);
  const { session, number, filter } = request;
  request.stage = 'ended';
  if (session.request === request) session.request = undefined;
  if (refusal) owner.environment.counters.count(`refusal.${refusal.reason}`);
  else forwardBytes(request, filter.heldFrames);
  dropHeldAnswer(request);
  const isFromReplica = request.running?.isOnReplica ?? false;
  const end = { kind: 'request/end', session: session.id, number, status } as const;
  session.channel.send({ ...end, mark: session.mark, refusal, isFromReplica });
}

/** A request that is refused while it waits to run again may have run before. Entries send it on if its owner ends. */
function refusalAfterRuns(
  { unansweredRefusal }: OwnerRequest,
  refusal: Refusal | null,
): Refusal | null {
  if (!unansweredRefusal || refusal?.outcome !== 'not-run') return refusal;
  const { reason } = refusal;
  const isOwnerGone = reason === 'owner-lost-before-start' || reason === 'owner-stopping';
  return isOwnerGone ? refusal : unansweredRefusal;
}

/**
 * Reports to the entry that a session's open transaction was lost between two statements, and forgets the session. A
 * statement of it that is already on its way is then refused as not run, instead of being run outside of the transaction.
 */
export function reportLostTransaction(
  owner: GroupOwner,
  session: OwnerSession,
  refusal: Refusal,
): void {
  owner.sessions.delete(session.id);
  session.channel.send({ kind: 'session/lost', session: session.id, refusal });
}

/** Drops what was received of an answer and not passed on. */
export function dropHeldAnswer({ filter }: OwnerRequest): void {
  filter.unverifiedFrames = [];
  filter.heldFrames = [];
}

/**
 * Passes on frames of an answer. Once the end of the request was sent, they are held until the answer is verified, but
 * no more than `MAX_UNVERIFIED_BYTES`: larger results are passed on as they arrive.
 */
export function forwardUnverified(request: OwnerRequest, frames: readonly Buffer[]): void {
  const { filter } = request;
  filter.unverifiedFrames.push(...frames);
  if (filter.sequence.echoNumber !== undefined) {
    for (const { length } of frames) filter.unverifiedBytes += length;
    if (filter.unverifiedBytes <= MAX_UNVERIFIED_BYTES) return;
  }
  forwardVerified(request);
}

/** Passes on the frames that were held until the answer was verified. */
export function forwardVerified(request: OwnerRequest): void {
  const { filter } = request;
  forwardBytes(request, filter.unverifiedFrames);
  filter.unverifiedFrames = [];
}

/** Sends answer bytes to the entry, unless the session is closing. */
export function forwardBytes(request: OwnerRequest, frames: readonly Buffer[]): void {
  const { session, number } = request;
  if (frames.length === 0 || session.isClosing) return;
  const bytes = frames.length === 1 ? (frames[0] ?? Buffer.alloc(0)) : Buffer.concat(frames);
  request.hasForwardedAnswer = true;
  session.unacknowledgedBytes += bytes.length;
  session.channel.send({ kind: 'request/data', session: session.id, number, bytes });
}
