/** Sends callers' statements to servers and measures the answers. */
import {
  classifyServed,
  type Evidence,
  isOverdueEvidence,
  type LoadAccess,
  type LoadFailure,
  recordEnded,
  recordFailed,
  recordPending,
  recordRefused,
  recordSent,
  recordServed,
  serviceTimeOf,
} from '@bramleykeel/core';
import type { PooledConnection } from '../owner/owner-state.js';
import type { TargetAnswer, TargetOrder } from '../types/target-port.js';

/**
 * Sends an order and records its answer in the load of the server, and that to a read in its health as well: a write
 * also fails because of other servers. The statement already counts as running there.
 *
 * @example
 * const answer = await sendMeasured(pooled, order, 'read', 800);
 */
export async function sendMeasured(
  { connection, server }: PooledConnection,
  order: TargetOrder,
  access: LoadAccess,
  timeoutMs: number,
): Promise<TargetAnswer> {
  const { load, health, announcement, runningCount } = server;
  const { slots } = announcement;
  const sentAtMs = performance.now();
  const occupied = Math.max(1, runningCount) + (load.others?.meanRunning ?? 0);
  recordSent(load, access, sentAtMs);
  const pending = access === 'read' ? recordPending(health, sentAtMs) : undefined;
  const answer = await connection.send(order, timeoutMs);
  const nowMs = performance.now();
  if (answer.kind === 'done') {
    const elapsedMs = Math.max(0, nowMs - sentAtMs - (server.roundTripMs ?? 0));
    const served = { elapsedMs, occupied, slots };
    recordServed(load, access, served, nowMs);
    if (pending) recordEnded(health, pending, classifyServed(health, serviceTimeOf(served)), nowMs);
    return answer;
  }
  let evidence: Evidence | undefined;
  if (answer.kind === 'refused') {
    recordRefused(load, access, nowMs);
    if (answer.code === 'busy' && occupied <= slots) evidence = 'misreported';
  } else {
    const failure = failureOf(answer);
    recordFailed(load, access, failure, nowMs);
    const isEvidence = failure !== 'mute' || isOverdueEvidence(health, nowMs - sentAtMs);
    if (isEvidence) evidence = failure;
  }
  if (pending) recordEnded(health, pending, evidence, nowMs);
  return answer;
}

function failureOf({
  kind,
}: Exclude<TargetAnswer, { readonly kind: 'done' | 'refused' }>): LoadFailure {
  switch (kind) {
    case 'failed':
      return 'error';
    case 'timed-out':
    case 'unknown':
      return 'timeout';
    case 'overdue':
      return 'mute';
    case 'lost':
    case 'foreign':
      return 'reset';
  }
}
