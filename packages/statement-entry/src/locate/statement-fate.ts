/** Asks an owner that is still in office about the statements whose link broke. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  assignmentOf,
  type GroupName,
  type StatementAccess,
  type TransactionRef,
} from '@bramleykeel/core';
import type { OwnerClientOptions, OwnerLocation } from './owner-client.js';

/** A statement that was sent over the broken link. */
export interface SentStatement {
  readonly number: number;
  readonly tag: string;
  readonly sentAtMs: number;
}

/** Group, epoch, the time within which all the statements were sent, and number and tag of each, one after the other. */
export type EncodedFateRequest = readonly [
  group: GroupName,
  epoch: number,
  sentWithinMs: number,
  ...statements: readonly (number | string)[],
];

/** Time for the link to be open again: a few attempts to reconnect, which are 50 to 400 ms apart. In milliseconds. */
const RECONNECT_WAIT_MS = 600;
const RECONNECT_POLL_MS = 15;
const FATE_TIMEOUT_MS = 300;

/**
 * Whether the fate of a statement matters: reads that can still be repeated need not wait for it, and statements of a
 * transaction before its COMMIT are rolled back with the link.
 */
export function isFateNeeded(
  { access, transaction }: { access: StatementAccess; transaction: TransactionRef | null },
  canStart: boolean,
): boolean {
  if (transaction) return transaction.isFirst || access === 'commit';
  return access !== 'read' || !canStart;
}

/**
 * Asks the owner which statements have not started; it promises to drop those.
 *
 * @returns the numbers that have not started; empty if the owner's epoch has ended or it does not answer
 */
export async function askFates(
  options: Pick<OwnerClientOptions, 'control' | 'links'>,
  { group, epoch, linkAddress }: OwnerLocation,
  statements: readonly SentStatement[],
): Promise<readonly number[]> {
  const untilMs = performance.now() + RECONNECT_WAIT_MS;
  const sentSinceMs = Math.min(...statements.map(({ sentAtMs }) => sentAtMs));
  const pairs = statements.flatMap(({ number, tag }) => [number, tag]);
  while (performance.now() < untilMs) {
    if (assignmentOf(options.control, `group/${group}`)?.epoch !== epoch) return [];
    const peer = options.links().linkTo(linkAddress);
    if (!peer) {
      await delay(RECONNECT_POLL_MS);
      continue;
    }
    const sentWithinMs = Math.ceil(performance.now() - sentSinceMs) + FATE_TIMEOUT_MS;
    const request: EncodedFateRequest = [group, epoch, sentWithinMs, ...pairs];
    const answer = await peer.request('statement/fate', request, FATE_TIMEOUT_MS);
    return (answer.orDefault(null) as readonly number[] | null) ?? [];
  }
  return [];
}

/** The statements of a request, as pairs of number and tag. */
export function decodeFateStatements([, , , ...flat]: EncodedFateRequest): [number, string][] {
  const statements: [number, string][] = [];
  for (let index = 0; index + 1 < flat.length; index += 2)
    statements.push([Number(flat[index]), String(flat[index + 1])]);
  return statements;
}
