/** Sends callers' statements to servers and measures the answers. */
import {
  type LoadAccess,
  recordFailed,
  recordRefused,
  recordSent,
  recordServed,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import type { PooledConnection } from '../owner/owner-state.js';
import type { TargetAnswer, TargetOrder } from '../types/target-port.js';

/**
 * Sends an order and records its answer in the load of the server. The statement already counts as running there.
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
  const { load, announcement, runningCount } = server;
  const sentAtMs = performance.now();
  const occupied = Math.max(1, runningCount) + (load.others?.meanRunning ?? 0);
  recordSent(load, access, sentAtMs);
  const answer = await connection.send(order, timeoutMs);
  const nowMs = performance.now();
  match(answer)
    .with({ kind: 'done' }, () => {
      const elapsedMs = Math.max(0, nowMs - sentAtMs - (server.roundTripMs ?? 0));
      recordServed(load, access, { elapsedMs, occupied, slots: announcement.slots }, nowMs);
    })
    .with({ kind: 'refused' }, () => {
      recordRefused(load, access, nowMs);
    })
    .with({ kind: 'failed' }, () => {
      recordFailed(load, access, 'error', nowMs);
    })
    .with({ kind: 'timed-out' }, { kind: 'unknown' }, () => {
      recordFailed(load, access, 'timeout', nowMs);
    })
    .with({ kind: 'overdue' }, () => {
      recordFailed(load, access, 'mute', nowMs);
    })
    .with({ kind: 'lost' }, () => {
      recordFailed(load, access, 'reset', nowMs);
    })
    .exhaustive();
  return answer;
}
