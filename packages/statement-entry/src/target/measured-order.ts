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
import { match } from 'ts-pattern';
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
  const end = (evidence: Evidence | undefined) => {
    if (pending) recordEnded(health, pending, evidence, nowMs);
  };
  const fail = (failure: LoadFailure, isEvidence = true) => {
    recordFailed(load, access, failure, nowMs);
    end(isEvidence ? failure : undefined);
  };
  match(answer)
    .with({ kind: 'done' }, () => {
      const elapsedMs = Math.max(0, nowMs - sentAtMs - (server.roundTripMs ?? 0));
      const served = { elapsedMs, occupied, slots };
      recordServed(load, access, served, nowMs);
      if (pending) end(classifyServed(health, serviceTimeOf(served)));
    })
    .with({ kind: 'refused' }, ({ code }) => {
      recordRefused(load, access, nowMs);
      end(code === 'busy' && occupied <= slots ? 'misreported' : undefined);
    })
    .with({ kind: 'failed' }, () => {
      fail('error');
    })
    .with({ kind: 'timed-out' }, { kind: 'unknown' }, () => {
      fail('timeout');
    })
    .with({ kind: 'overdue' }, () => {
      fail('mute', isOverdueEvidence(health, nowMs - sentAtMs));
    })
    .with({ kind: 'lost' }, () => {
      fail('reset');
    })
    .exhaustive();
  return answer;
}
