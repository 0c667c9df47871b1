/** The statements of an owner that wait for a server. */
import {
  createFairQueue,
  enqueue,
  type FairQueue,
  removeWaiting,
  type StatementOutcome,
  waitingCount,
} from '@bramleykeel/core';
import { describeJob, endJob, isOverloadControlled, notRun } from './end-job.js';
import type { Job, StatementOwner } from './owner-state.js';

const MAX_WAITING_PER_CUSTOMER = 400;

export function queueOf(owner: StatementOwner, priority: number): FairQueue<Job> {
  const existing = owner.queues.get(priority);
  if (existing) return existing;
  // Under overload control the predicted wait limits what waits.
  const created = isOverloadControlled(owner)
    ? createFairQueue<Job>(Number.POSITIVE_INFINITY, owner.shareClock)
    : createFairQueue<Job>(MAX_WAITING_PER_CUSTOMER);
  owner.queues.set(priority, created);
  return created;
}

/** Returns a statement to the queue under its original deadline, or ends it if that has passed or the owner is closed. */
export function requeueJob(owner: StatementOwner, job: Job): void {
  job.attempts += 1;
  if (job.isEnded) return;
  if (job.isWithdrawn) {
    endJob(owner, job, notRun('withdrawn'));
    return;
  }
  owner.environment.log('statement requeued', describeJob(owner, job));
  if (performance.now() >= job.startByMs || owner.isClosed) {
    endJob(owner, job, notRun('queue-timeout'));
    return;
  }
  const { customer, priority } = job.request;
  const queue = queueOf(owner, priority);
  enqueue(queue, { item: job, customer, deadlineMs: job.startByMs }, performance.now());
}

/** Ends matching waiting statements with `outcome`, for example after their channel has closed. */
export function dropWaiting(
  owner: StatementOwner,
  isDropped: (job: Job) => boolean,
  outcome: StatementOutcome,
): void {
  for (const queue of owner.queues.values()) {
    for (const { item } of removeWaiting(queue, isDropped)) endJob(owner, item, outcome);
  }
  for (const job of owner.pinnedWaiting.filter(isDropped)) {
    owner.pinnedWaiting.splice(owner.pinnedWaiting.indexOf(job), 1);
    endJob(owner, job, outcome);
  }
}

/** Whether any statement is waiting for a server. */
export function hasWaiting(owner: StatementOwner): boolean {
  if (owner.pinnedWaiting.length > 0) return true;
  return [...owner.queues.values()].some((queue) => waitingCount(queue) > 0);
}
