/** Explains what an owner would do with a statement now, with the functions that decide and on a copy of their state. */
import {
  explainChoice,
  type ServerName,
  type StatementRequest,
  takeShareOf,
  type TargetExplanation,
  type TargetRequirements,
  type TargetView,
  waitingCount,
} from '@bramleykeel/core';
import { hasAvailableConnection } from '../target/connection-pool.js';
import { describeStanding, describeTarget } from '../target/explain-target-state.js';
import type {
  ExplainedTarget,
  OwnerExplanation,
  OwnerOutcome,
  OwnerTargetReason,
  StatementQuestion,
} from '../types/explanation.js';
import { forecastArrival } from './admission.js';
import { createJob } from './create-job.js';
import { type ArrivalRefusal, refusalOnArrival } from './dispatch.js';
import { isOverloadControlled } from './end-job.js';
import { isHandingOver } from './owner-app.js';
import { type Job, primaryOf, type ServerState, type StatementOwner } from './owner-state.js';
import { coldAllowanceOf, isCold, isEvacuated, isHomeOf, requestCountOf } from './placement.js';
import { listTargetViews, requirementsOf, viewsFor } from './server-choice.js';
import { snapshotOwner } from './snapshot-owner.js';

/** Servers that take a part of their reads count as taking this one; their parts are weighed by `explainChoice`. */
const TAKES_ALL = () => 0;
const NO_ANSWER = { answer: () => undefined };

type OwnerTarget = ExplainedTarget<OwnerTargetReason>;

/**
 * Explains a statement outside of transactions. Nothing is sent, reserved, counted or changed.
 *
 * @example
 * explainStatement(owner, question).servers.find(({ share }) => share > 0);
 */
export function explainStatement(
  original: StatementOwner,
  question: StatementQuestion,
): OwnerExplanation {
  const owner = snapshotOwner(original);
  const job = createJob(owner.group, NO_ANSWER, requestOf(question));
  const views = listTargetViews(owner, TAKES_ALL);
  const nowMs = performance.now();
  const requirements = requirementsOf(owner, job, nowMs);
  const forecast = forecastArrival(owner, job, views);
  const refusal = refusalOf(owner, job);
  const targets = explainTargets(owner, job, views, requirements, nowMs);
  const { leadership, environment } = owner;
  return {
    group: owner.group,
    entryId: environment.entryId,
    epoch: owner.epoch,
    startedAgoMs: Math.round(nowMs - owner.startedAtMs),
    leadership: {
      kind: leadership.kind,
      primary: primaryOf(owner)?.announcement.server ?? null,
      sinceAgoMs: Math.round(nowMs - leadership.sinceMs),
      reason: leadership.kind === 'changing' ? leadership.reason : null,
    },
    readDistribution: environment.readDistribution,
    outcome: outcomeOf(owner, refusal, targets),
    required: requirements ? describeRequirements(requirements, nowMs) : null,
    predictedWait: forecast ?? null,
    isOverloadControlled: isOverloadControlled(owner),
    waiting: describeWaiting(owner, job),
    runningCount: owner.running.size,
    servers: targets,
  };
}

function requestOf(question: StatementQuestion): StatementRequest {
  const content = { kind: 'plain', text: '' } as const;
  return { ...question, number: 0, tag: '', body: content, transaction: null, values: {} };
}

function refusalOf(owner: StatementOwner, job: Job): ArrivalRefusal | 'handed-over' | undefined {
  if (isHandingOver(owner, job)) return 'handed-over';
  return refusalOnArrival(owner, job, TAKES_ALL);
}

function outcomeOf(
  owner: StatementOwner,
  refusal: ReturnType<typeof refusalOf>,
  targets: readonly OwnerTarget[],
): OwnerOutcome {
  if (refusal === 'handed-over')
    return { kind: 'wait', reason: 'the group is handed over to another owner' };
  if (refusal) return { kind: 'refused', ...refusal };
  if (!owner.environment.holdsLease()) return { kind: 'wait', reason: 'the owner has no lease' };
  if (targets.some(({ share }) => share > 0)) return { kind: 'run' };
  const { acknowledgedPositions, leadership } = owner;
  if (!acknowledgedPositions)
    return { kind: 'wait', reason: 'the owner does not know the acknowledged positions yet' };
  const reason =
    leadership.kind === 'led'
      ? 'no server that may run it has a free slot'
      : 'the group has no primary, and no replica may run it now';
  return { kind: 'wait', reason };
}

function describeRequirements(
  { mustBePrimary, requiredPosition, requiredSinceMs }: TargetRequirements,
  nowMs: number,
): NonNullable<OwnerExplanation['required']> {
  const acknowledgedAgoMs = Number.isFinite(requiredSinceMs)
    ? Math.round(nowMs - requiredSinceMs)
    : null;
  return { mustBePrimary, position: requiredPosition, acknowledgedAgoMs };
}

function describeWaiting(owner: StatementOwner, { request }: Job): OwnerExplanation['waiting'] {
  const byPriority = [...owner.queues]
    .map(([priority, queue]) => ({ priority, count: waitingCount(queue) }))
    .sort((left, right) => left.priority - right.priority);
  const queued = byPriority.reduce((sum, { count }) => sum + count, 0);
  const own = owner.queues.get(request.priority)?.customers.get(request.customer);
  const pinned = owner.pinnedWaiting.length;
  return { total: queued + pinned, pinned, ofCustomer: own?.items.length ?? 0, byPriority };
}

function explainTargets(
  owner: StatementOwner,
  job: Job,
  views: readonly TargetView[],
  requirements: TargetRequirements | undefined,
  nowMs: number,
): readonly OwnerTarget[] {
  const allowed = requirements ? viewsFor(owner, job, views) : [];
  const { readDistribution } = owner.environment;
  const takeShares = takeSharesOf(owner);
  const chosen = requirements
    ? explainChoice(allowed, { readDistribution, requirements, nowMs, takeShares })
    : [];
  return views.flatMap((view) => {
    const server = owner.servers.get(view.server);
    if (!server) return [];
    const explained = chosen.find((each) => each.server === view.server);
    const share = explained?.share ?? 0;
    const reason = share > 0 ? null : reasonAgainst(owner, job, server, explained, requirements);
    return [describeOwnerTarget(owner, job, { server, view, explained, share, reason }, nowMs)];
  });
}

function takeSharesOf({ servers, environment }: StatementOwner): ReadonlyMap<ServerName, number> {
  if (environment.readDistribution !== 'even') return new Map();
  const states = [...servers.values()];
  return new Map(
    states.map(({ announcement: { server }, health, runningCount }) => [
      server,
      takeShareOf(health, runningCount),
    ]),
  );
}

/** Names the rule that excludes a server; `viewsFor` and `explainChoice` have decided that one does. */
function reasonAgainst(
  owner: StatementOwner,
  job: Job,
  server: ServerState,
  explained: TargetExplanation | undefined,
  requirements: TargetRequirements | undefined,
): OwnerTargetReason {
  if (isEvacuated(owner, server)) return 'evacuated';
  if (server.failingSinceMs !== undefined) return 'unreachable';
  if (!isHomeOf(owner, job.request.homes, server)) return 'not-a-home';
  if (!requirements) return 'acknowledged-positions-unknown';
  if (coldAllowanceOf(owner, server) < requestCountOf(job)) return 'cold-limit-reached';
  if (!explained) return 'a-warm-server-is-preferred';
  if (explained.reason === 'unusable' && !hasAvailableConnection(owner.pools, server))
    return 'no-connection-free';
  return explained.reason ?? 'another-is-preferred';
}

interface JudgedTarget {
  readonly server: ServerState;
  readonly view: TargetView;
  readonly explained: TargetExplanation | undefined;
  readonly share: number;
  readonly reason: OwnerTargetReason | null;
}

function describeOwnerTarget(
  owner: StatementOwner,
  { request }: Job,
  { server, view, explained, share, reason }: JudgedTarget,
  nowMs: number,
): OwnerTarget {
  const { regionOf, readDistribution } = owner.environment;
  const cold = isCold(owner, server)
    ? {
        leftMs: Math.round(server.coldUntilMs - nowMs),
        allowance: coldAllowanceOf(owner, server),
      }
    : null;
  const context = {
    isEvacuated: isEvacuated(owner, server),
    isHome: isHomeOf(owner, request.homes, server),
    cold,
  };
  const delay = explained?.delay;
  return {
    ...describeTarget(server, request.customer, regionOf, nowMs),
    isPrimary: server === primaryOf(owner),
    share,
    reason,
    standing: describeStanding(server, context, readDistribution === 'even', nowMs),
    freeSlots: view.freeSlots,
    expected: delay ? { waitMs: delay.waitMs, delayMs: delay.delayMs } : null,
  };
}
