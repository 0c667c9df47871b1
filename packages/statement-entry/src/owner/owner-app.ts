/** Handles the messages that entries send to an owner. */
import {
  createHomesClaim,
  fateKeyOf,
  hasPromises,
  isPromisedNotToStart,
  promiseNotStarted,
  type StatementRequest,
} from '@bramleykeel/core';
import { createJob } from './create-job.js';
import { submitJob } from './dispatch.js';
import { endJob, notRun } from './end-job.js';
import { dropWaiting } from './job-queue.js';
import type { Job, OpenTransaction, OwnerChannel, StatementOwner } from './owner-state.js';
import { dropTransaction, rollBack, transactionKeyOf } from './transactions.js';

export interface EntryChannel extends OwnerChannel {
  readonly id: string;
}

/** Accepts a statement from a caller of an entry. */
export function acceptStatement(
  owner: StatementOwner,
  channel: EntryChannel,
  request: StatementRequest,
): void {
  const job = createJob(owner.group, channel, request);
  // Checked first, because composing the key of each statement takes time.
  const mayBePromised = hasPromises(owner.fates);
  if (mayBePromised && isPromisedNotToStart(owner.fates, fateKeyOf(request.number, request.tag))) {
    endJob(owner, job, notRun('owner-lost-before-start'));
    return;
  }
  if (request.transaction && !joinTransaction(owner, channel, job)) return;
  if (isHandingOver(owner, job)) {
    refuseAtHandover(owner, job);
    return;
  }
  owner.acceptedCount += 1;
  submitJob(owner, job);
}

/** Whether a statement comes too late for this owner, because its group is handed over. */
export function isHandingOver(owner: StatementOwner, job: Job): boolean {
  return owner.isFinishing || (owner.isStopping && !job.transaction?.pooled);
}

/** Work that has begun nothing yet runs under the next owner; a transaction that is open ends. */
function refuseAtHandover(owner: StatementOwner, job: Job): void {
  const isOpen = job.transaction?.pooled !== undefined;
  if (job.transaction) dropTransaction(owner, job.transaction);
  const reason = 'the group is handed over';
  endJob(owner, job, isOpen ? { kind: 'aborted', reason } : notRun('no-owner'));
}

function joinTransaction(owner: StatementOwner, channel: EntryChannel, job: Job): boolean {
  const { transaction: ref, customer } = job.request;
  if (!ref) return true;
  const key = transactionKeyOf(channel.id, ref.number);
  const existing = owner.transactions.get(key);
  if (existing) {
    job.transaction = existing;
    return true;
  }
  if (!ref.isFirst) {
    endJob(owner, job, { kind: 'aborted', reason: 'the transaction was ended' });
    return false;
  }
  const created: OpenTransaction = {
    key,
    channel,
    isReadOnly: ref.isReadOnly,
    customer,
    pooled: undefined,
    isBusy: false,
    hasBegun: false,
    mayHaveWritten: false,
    homesClaim: createHomesClaim(job.homesClaim.subject, job.request.homes),
    lastUsedMs: performance.now(),
  };
  owner.transactions.set(key, created);
  job.transaction = created;
  return true;
}

/**
 * Drops a statement whose caller has disconnected, so that its place goes to another one. A statement that a server
 * runs already finishes, and its connection stays in the pool.
 */
export function acceptWithdrawal(
  owner: StatementOwner,
  channel: EntryChannel,
  number: number,
): void {
  const isMeant = (job: Job) => job.channel === channel && job.request.number === number;
  dropWaiting(owner, isMeant, notRun('withdrawn'));
  for (const job of owner.running) if (isMeant(job)) job.isWithdrawn = true;
}

/**
 * Tells an entry whose link broke which of its statements have not started, and drops those.
 *
 * @param sentWithinMs time within which the entry has sent all of them, including that of this message
 * @returns the numbers that have not started; `undefined` if this owner has not run for as long
 */
export function settleFates(
  owner: StatementOwner,
  statements: readonly (readonly [number: number, tag: string])[],
  sentWithinMs: number,
): readonly number[] | undefined {
  const nowMs = performance.now();
  if (nowMs - owner.startedAtMs < sentWithinMs) return undefined;
  const keyed = new Map(statements.map(([number, tag]) => [fateKeyOf(number, tag), number]));
  const notStarted = new Set(promiseNotStarted(owner.fates, [...keyed.keys()], nowMs));
  const isMeant = ({ request }: Job) => notStarted.has(fateKeyOf(request.number, request.tag));
  dropWaiting(owner, isMeant, notRun('owner-lost-before-start'));
  for (const job of owner.running) if (isMeant(job)) job.isWithdrawn = true;
  return [...notStarted].flatMap((key) => keyed.get(key) ?? []);
}

/** Rolls a transaction back because its caller asked for it or has disconnected. */
export function acceptRollback(owner: StatementOwner, channel: EntryChannel, number: number): void {
  const transaction = owner.transactions.get(transactionKeyOf(channel.id, number));
  if (!transaction) return;
  dropWaiting(owner, (job) => job.transaction === transaction, {
    kind: 'aborted',
    reason: 'the caller ended the transaction',
  });
  void rollBack(owner, transaction);
}

/** Ends waiting statements and open transactions of a closed channel. */
export function dropEntryChannel(owner: StatementOwner, channel: EntryChannel): void {
  dropWaiting(owner, (job) => job.channel === channel, notRun('owner-lost-before-start'));
  for (const transaction of [...owner.transactions.values()]) {
    if (transaction.channel === channel) void rollBack(owner, transaction);
  }
}
