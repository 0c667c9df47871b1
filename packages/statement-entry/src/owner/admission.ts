/** Admission of statements by the predicted wait, under overload control. */
import {
  type ArrivalKind,
  type FairQueue,
  type ForecastServer,
  forecastStart,
  isToBeJudgedAgain,
  judgeStart,
  LESSER_SHARE,
  type LoadAccess,
  moreUrgentPerMs,
  recordArrival,
  removeWaiting,
  type StartForecast,
  type StartLimits,
  type StartVerdict,
  targetExclusion,
  type TargetView,
  visitAhead,
  type WaitingAhead,
  waitingCount,
} from '@bramleykeel/core';
import type { Job, StatementOwner } from './owner-state.js';
import { isForPrimary, listTargetViews, requirementsOf, viewsFor } from './server-choice.js';

/** A statement that is refused, and when its caller may try again. */
export interface LateStatement {
  readonly job: Job;
  readonly retryAfterMs: number;
}

/** Statements judged again at a time; each costs a pass over what waits ahead of it. */
const MAX_JUDGED_AGAIN = 8;
/** A waiting statement is not judged more often, so that all of them are judged in turn. In milliseconds. */
const JUDGED_AGAIN_INTERVAL_MS = 100;

type KnownServer = ForecastServer & Pick<TargetView, 'server' | 'isPrimary'>;

/** Forecasts the start of a statement that arrives, and judges whether that is in time. */
export function judgeArrival(owner: StatementOwner, job: Job, random: () => number): StartVerdict {
  const views = listTargetViews(owner, random);
  const forecast = forecastArrival(owner, job, views);
  if (forecast) job.predictedWaitMs = Math.round(forecast.startInMs);
  // The time of arrival, so that it is judged as an arrival.
  const verdict = judgeStart(limitsOf(job), forecast, job.arrivedAtMs, random());
  const { priority } = job.request;
  if (verdict.kind === 'wait')
    recordArrival(owner.arrivalRates, priority, kindOf(job), job.arrivedAtMs);
  return verdict;
}

/** Forecasts the start of a statement that would arrive now, without counting it; `undefined` if that is unknown. */
export function forecastArrival(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): StartForecast | undefined {
  return forecastOf(owner, job, views, undefined);
}

/**
 * Removes and returns the waiting statements that can no longer start in time. Only those that have waited for a
 * part of their objective are judged again, the oldest of each customer first.
 */
export function removeLate(owner: StatementOwner): LateStatement[] {
  if (owner.isStopping || owner.leadership.kind !== 'led') return [];
  const late = new Map<Job, number>();
  const views = listTargetViews(owner);
  const nowMs = performance.now();
  let judgedCount = 0;
  for (const queue of owner.queues.values()) {
    for (const { items } of queue.customers.values()) {
      for (const [position, { item: job }] of items.entries()) {
        if (judgedCount >= MAX_JUDGED_AGAIN || !isToBeJudgedAgain(limitsOf(job), nowMs)) break;
        if (nowMs - (job.judgedAtMs ?? 0) < JUDGED_AGAIN_INTERVAL_MS) continue;
        job.judgedAtMs = nowMs;
        judgedCount += 1;
        const forecast = forecastOf(owner, job, views, position);
        const verdict = judgeStart(limitsOf(job), forecast, nowMs, Math.random());
        if (verdict.kind === 'refuse') late.set(job, verdict.retryAfterMs);
      }
    }
    if (late.size > 0) removeWaiting(queue, (job) => late.has(job));
  }
  return [...late].map(([job, retryAfterMs]) => ({ job, retryAfterMs }));
}

/**
 * Servers for a statement that goes before more urgent ones: not the primary if replicas may run it, because urgent
 * writes need the primary.
 */
export function withoutNeededPrimary(
  job: Job,
  views: readonly TargetView[],
): readonly TargetView[] {
  const mayAvoid = !isForPrimary(job) && job.isOnlyForPrimary === false;
  return mayAvoid ? views.filter(({ isPrimary }) => !isPrimary) : views;
}

/** Counts the wait of a statement that starts, and by how much the forecast on its arrival was wrong. */
export function recordWait(owner: StatementOwner, job: Job): void {
  const { counters } = owner.environment;
  const waitedMs = Math.round(performance.now() - job.arrivedAtMs);
  counters.timing(`owner.wait.priority-${job.request.priority}`, waitedMs);
  if (job.predictedWaitMs === undefined) return;
  counters.timing('owner.wait-predicted', job.predictedWaitMs);
  counters.timing('owner.wait-error', Math.abs(waitedMs - job.predictedWaitMs));
}

function limitsOf({ request, arrivedAtMs, startByMs }: Job): StartLimits {
  return { arrivedAtMs, startByMs, objectiveMs: request.objectiveMs };
}

/** @param ownCount statements of the same customer and priority ahead of it; all that wait if absent */
function forecastOf(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
  ownCount: number | undefined,
): StartForecast | undefined {
  const servers = eligibleServers(owner, job, views);
  job.isOnlyForPrimary = servers.every(({ isPrimary }) => isPrimary);
  const ahead = countAhead(owner, job, ownCount);
  const { priority } = job.request;
  const perMs = (kind: ArrivalKind) =>
    moreUrgentPerMs(owner.arrivalRates, priority, kind, performance.now());
  const known = listKnown(owner, views);
  const primary = known.filter(({ isPrimary }) => isPrimary);
  const work: WaitingAhead<KnownServer>[] = [
    { servers: primary, access: 'write', count: ahead.write, arrivingPerMs: perMs('write') },
    {
      ...{ servers: primary, access: 'read', count: ahead['primary-read'] },
      arrivingPerMs: perMs('primary-read'),
    },
    { servers: known, access: 'read', count: ahead.read, arrivingPerMs: perMs('read') },
  ];
  return forecastStart({
    servers: known.filter(({ server }) => servers.some((view) => view.server === server)),
    access: accessOf(job),
    ahead: work.filter(({ servers: { length } }) => length > 0),
    lesserShare: hasLesserWaiting(owner, job) ? LESSER_SHARE : 0,
    ...(isPassedOver(owner, priority) && {
      guaranteed: { share: LESSER_SHARE, countAhead: countEarlier(owner, job) },
    }),
  });
}

/** Servers that may run the statement now or once a slot is free. */
function eligibleServers(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
): readonly TargetView[] {
  const nowMs = performance.now();
  const requirements = requirementsOf(owner, job, nowMs);
  if (!requirements) return [];
  return viewsFor(owner, job, views).filter(
    (view) => targetExclusion({ ...view, freeSlots: 1 }, requirements, nowMs) === undefined,
  );
}

function listKnown(owner: StatementOwner, views: readonly TargetView[]): KnownServer[] {
  return views.flatMap(({ server, isPrimary, isUsable, isLeaving, freeSlots, takesRead }) => {
    const state = owner.servers.get(server);
    if (!state || !isUsable || (!isPrimary && (isLeaving || !takesRead))) return [];
    const { service } = state.load;
    return [{ server, isPrimary, slots: state.announcement.slots, freePlaces: freeSlots, service }];
  });
}

function countAhead(owner: StatementOwner, job: Job, ownCount: number | undefined) {
  const counts: Record<ArrivalKind, number> = { write: 0, 'primary-read': 0, read: 0 };
  const count = (waiting: Job): void => {
    counts[kindOf(waiting)] += 1;
  };
  for (const pinned of owner.pinnedWaiting) count(pinned);
  const { customer, priority } = job.request;
  for (const [queuePriority, queue] of owner.queues) {
    if (queuePriority < priority) visitAll(queue, count);
    else if (queuePriority === priority) visitAhead(queue, customer, count, ownCount);
  }
  return counts;
}

/** Waiting statements of the same priority with earlier deadlines. */
function countEarlier(owner: StatementOwner, job: Job): number {
  const queue = owner.queues.get(job.request.priority);
  let count = 0;
  if (queue) {
    visitAll(queue, ({ startByMs }) => {
      if (startByMs < job.startByMs) count += 1;
    });
  }
  return count;
}

/** Whether statements of more urgent priorities may go before those of this one, which has a part of the starts then. */
function isPassedOver(owner: StatementOwner, priority: number): boolean {
  return [...owner.queues.keys()].some((other) => other < priority);
}

function visitAll(queue: FairQueue<Job>, visit: (job: Job) => void): void {
  for (const { items } of queue.customers.values()) for (const { item } of items) visit(item);
}

function hasLesserWaiting(owner: StatementOwner, { request }: Job): boolean {
  return [...owner.queues].some(
    ([priority, queue]) => priority > request.priority && waitingCount(queue) > 0,
  );
}

function kindOf(job: Job): ArrivalKind {
  if (isForPrimary(job)) return 'write';
  return job.isOnlyForPrimary === true ? 'primary-read' : 'read';
}

function accessOf(job: Job): LoadAccess {
  return isForPrimary(job) ? 'write' : 'read';
}
