/** Sends statements to the owners of their groups and settles the statements of lost owners. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Assignment,
  assignmentOf,
  type GroupName,
  type HomeRules,
  mayForward,
  withHomesInForce,
  type Resource,
  type StatementOutcome,
  type StatementRefusalReason,
  type StatementRequest,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import { startInputDeadline } from '@bramleykeel/link';
import type { EntryLinks } from './entry-links.js';
import { findOwnerAssignment } from './find-owner.js';
import { askFates, isFateNeeded, type SentStatement } from './statement-fate.js';
import { createStatementCaller, type StatementCaller } from './statement-caller.js';
import type { StatementDeadlines } from './statement-deadlines.js';

export interface OwnerLocation {
  readonly group: GroupName;
  readonly epoch: number;
  readonly linkAddress: string;
  readonly isLocal: boolean;
  /** Zone of the owner; `undefined` if it is not on record. */
  readonly zone: string | undefined;
}

/** An owner with a given epoch, in this process or reached over a link. */
export interface OwnerPort extends OwnerLocation {
  /** Sends a statement; returns `false` if it was certainly not sent. */
  readonly send: (request: StatementRequest) => boolean;
  readonly sendRollback: (transaction: number) => void;
  /** Tells the owner that the caller of a statement has gone. */
  readonly sendWithdrawal: (number: number) => void;
}

export interface OwnerClientOptions {
  readonly control: ControlClient;
  readonly links: () => EntryLinks;
  readonly regionOf: (zone: string) => string;
  readonly homeRules: () => HomeRules | undefined;
  /** Passes a statement to the owner in this process; returns `false` if there is none with this epoch. */
  readonly sendLocally: (group: GroupName, epoch: number, request: StatementRequest) => boolean;
  readonly rollBackLocally: (group: GroupName, epoch: number, transaction: number) => void;
  readonly withdrawLocally: (group: GroupName, epoch: number, number: number) => void;
  readonly sendOverLink: (port: OwnerLocation, request: StatementRequest) => boolean;
  readonly rollBackOverLink: (port: OwnerLocation, transaction: number) => void;
  readonly withdrawOverLink: (port: OwnerLocation, number: number) => void;
  readonly requestResource: (resource: Resource, zone: string | undefined) => void;
  /** Latest time at which a statement may start, by the monotonic clock; infinite unless the entry stops. */
  readonly lastStartMs: () => number;
}

interface PendingStatement extends SentStatement {
  readonly port: OwnerPort;
  readonly draft: StatementDraft;
  readonly caller: StatementCaller;
  readonly deadlines: StatementDeadlines;
  readonly resolve: (outcome: StatementOutcome | 'owner-lost') => void;
  readonly cancelDeadline: () => void;
  /** Whether the link to the owner broke, so that only the owner's answer to a question can tell what became of it. */
  isFateAsked: boolean;
}

export interface OwnerClient {
  readonly options: OwnerClientOptions;
  readonly pending: Map<number, PendingStatement>;
  /** The newest epoch of each group whose end the owner has reported. */
  readonly endedEpochs: Map<GroupName, number>;
  nextNumber: number;
}

export interface RunResult {
  readonly outcome: StatementOutcome;
  /** The owner that was tried last; it holds the statement's transaction, if there is one. */
  readonly port: OwnerPort | undefined;
}

export type StatementDraft = Omit<StatementRequest, 'number' | 'budgetMs' | 'startWithinMs'>;

const OWNER_POLL_INTERVAL_MS = 15;
/** Time allowed for the owner's answer to arrive after the statement's deadline, in milliseconds. */
const ANSWER_TRANSIT_MS = 60;
/** Time for which answers of a superseded owner are still awaited, in milliseconds. */
const SUPERSEDED_GRACE_MS = 150;
/** Delay before a statement is resent after its owner was not ready, in milliseconds. */
const NOT_READY_RETRY_MS = 25;
const RETRY_AFTER_MS = 200;
/** As often as an owner runs a read itself: one that three owners have left without an answer may be what ends them. */
const MAX_OWNERS_OF_READ = 3;

export function createOwnerClient(options: OwnerClientOptions): OwnerClient {
  return { options, pending: new Map(), endedEpochs: new Map(), nextNumber: 1 };
}

/**
 * Runs a statement through its group's owner. Statements that have not run, and reads outside
 * transactions, are resent until `startByMs`, or until the entry starts nothing more or the caller has gone; reads to
 * at most three owners that are lost. All others are sent once.
 *
 * @param transactionOwner the owner that holds the transaction, for statements after its first
 */
export async function runStatement(
  client: OwnerClient,
  group: GroupName,
  draft: StatementDraft,
  transactionOwner: OwnerPort | undefined,
  deadlines: StatementDeadlines,
  caller: StatementCaller = createStatementCaller(),
): Promise<RunResult> {
  const hasTransactionOwner = draft.transaction !== null && !draft.transaction.isFirst;
  // The entry may begin to stop while the statement waits.
  const startByMs = () =>
    caller.isGone
      ? Number.NEGATIVE_INFINITY
      : Math.min(deadlines.startByMs, client.options.lastStartMs());
  let reachedNoTarget = true;
  let unansweredRuns = 0;
  const refused = (reason: StatementRefusalReason, retryAfterMs = RETRY_AFTER_MS) =>
    unansweredRuns > 0
      ? ({ kind: 'timed-out' } as const)
      : ({ kind: 'not-run', reason, retryAfterMs, reachedNoTarget } as const);
  for (;;) {
    const port = hasTransactionOwner ? transactionOwner : await awaitPort(client, group, startByMs);
    if (!port || caller.isGone) return { outcome: refused('no-owner'), port };
    const current = withHomesInForce(draft, group, client.options.homeRules());
    if (!mayForward(current.homes, port, client.options.regionOf)) {
      const outcome = hasTransactionOwner ? aborted() : refused('no-home-server');
      return { outcome, port: hasTransactionOwner ? port : undefined };
    }
    const { deadlineMs } = deadlines;
    const sendDeadlines = { deadlineMs, startByMs: startByMs() };
    const outcome = await sendOnce(client, port, current, sendDeadlines, caller);
    const isTooLateToStart = performance.now() >= startByMs();
    if (outcome === 'not-sent') {
      if (hasTransactionOwner) return { outcome: aborted(), port };
      if (isTooLateToStart) return { outcome: refused('no-owner'), port };
      await delay(NOT_READY_RETRY_MS);
      continue;
    }
    if (outcome === 'owner-lost') {
      unansweredRuns += 1;
      const isRepeatable = draft.access === 'read' && draft.transaction === null;
      if (!isRepeatable || isTooLateToStart) return { outcome: outcomeOfOwnerLoss(draft), port };
      if (unansweredRuns >= MAX_OWNERS_OF_READ) return { outcome: lostAt(unansweredRuns), port };
      continue;
    }
    if (outcome.kind !== 'not-run') return { outcome, port };
    reachedNoTarget &&= outcome.reachedNoTarget === true;
    const hasOwnerEnded = outcome.reason === 'no-owner';
    if (!hasOwnerEnded || hasTransactionOwner || isTooLateToStart)
      return { outcome: refused(outcome.reason, outcome.retryAfterMs), port };
    await delay(NOT_READY_RETRY_MS);
  }
}

/** A transaction whose COMMIT was not sent cannot have been committed. */
function outcomeOfOwnerLoss({ access, transaction }: StatementDraft): StatementOutcome {
  if (transaction && access !== 'commit') return aborted();
  if (!transaction && access === 'read') return { kind: 'timed-out' };
  return { kind: 'unknown', reason: 'the owner of the group was lost' };
}

function lostAt(ownerCount: number): StatementOutcome {
  return { kind: 'unknown', reason: `lost at ${ownerCount} owners of the group` };
}

function aborted(): StatementOutcome {
  return { kind: 'aborted', reason: 'the owner of the transaction was lost' };
}

function notRun(reachedNoTarget: boolean): StatementOutcome {
  return { kind: 'not-run', reason: 'no-owner', retryAfterMs: RETRY_AFTER_MS, reachedNoTarget };
}

function sendOnce(
  client: OwnerClient,
  port: OwnerPort,
  draft: StatementDraft,
  deadlines: StatementDeadlines,
  caller: StatementCaller,
): Promise<StatementOutcome | 'owner-lost' | 'not-sent'> {
  const nowMs = performance.now();
  const number = client.nextNumber;
  client.nextNumber += 1;
  const budgetMs = Math.max(1, deadlines.deadlineMs - nowMs);
  const request: StatementRequest = {
    ...draft,
    number,
    budgetMs,
    startWithinMs: Math.max(0, deadlines.startByMs - nowMs),
  };
  caller.pending.set(number, { port, access: draft.access });
  return new Promise((settle) => {
    const resolve = (outcome: StatementOutcome | 'owner-lost' | 'not-sent') => {
      caller.pending.delete(number);
      settle(outcome);
    };
    const cancelDeadline = startInputDeadline(budgetMs + ANSWER_TRANSIT_MS, () => {
      settlePending(client, number, 'owner-lost');
    });
    const sent = { number, tag: draft.tag, sentAtMs: nowMs, port, draft, caller };
    const pending = { ...sent, deadlines, resolve, cancelDeadline, isFateAsked: false };
    client.pending.set(number, pending);
    if (port.send(request)) return;
    cancelDeadline();
    client.pending.delete(number);
    resolve('not-sent');
  });
}

function settlePending(
  client: OwnerClient,
  number: number,
  outcome: StatementOutcome | 'owner-lost',
): void {
  const pending = client.pending.get(number);
  if (!pending) return;
  client.pending.delete(number);
  pending.cancelDeadline();
  pending.resolve(outcome);
}

/** Handles an owner's answer; ignored if the statement is no longer pending. */
export function handleOutcome(
  client: OwnerClient,
  number: number,
  outcome: StatementOutcome,
): void {
  settlePending(client, number, outcome);
}

/**
 * Handles the end of an owner's epoch. Pending statements that are not in `running` have not run and
 * never will, so they are settled as not run and go to the next owner. A target may have refused them. `running` lacks
 * statements that were sent over an earlier link.
 */
export function handleOwnerEnded(
  client: OwnerClient,
  group: GroupName,
  epoch: number,
  running: readonly number[],
): void {
  client.endedEpochs.set(group, Math.max(epoch, client.endedEpochs.get(group) ?? 0));
  for (const [number, { port, isFateAsked }] of [...client.pending]) {
    const wasSentToOwner = port.group === group && port.epoch === epoch && !isFateAsked;
    if (wasSentToOwner && !running.includes(number)) settlePending(client, number, notRun(false));
  }
}

/**
 * Handles a closed link; statements sent over it get no answer. While the owner's epoch continues, the owner is asked
 * which of them have not started.
 */
export function handleLinkLost(client: OwnerClient, linkAddress: string): void {
  const asked = new Map<string, PendingStatement[]>();
  for (const pending of [...client.pending.values()]) {
    const { port, number } = pending;
    if (port.isLocal || port.linkAddress !== linkAddress) continue;
    const canStart = !pending.caller.isGone && performance.now() < pending.deadlines.startByMs;
    if (!isFateNeeded(pending.draft, canStart)) {
      settlePending(client, number, 'owner-lost');
      continue;
    }
    pending.isFateAsked = true;
    const owner = `${port.group} ${port.epoch}`;
    asked.set(owner, [...(asked.get(owner) ?? []), pending]);
  }
  for (const statements of asked.values()) void settleByFate(client, statements);
}

async function settleByFate(
  client: OwnerClient,
  statements: readonly PendingStatement[],
): Promise<void> {
  const [first] = statements;
  if (!first) return;
  const notStarted = new Set(await askFates(client.options, first.port, statements));
  for (const { number } of statements)
    settlePending(client, number, notStarted.has(number) ? notRun(true) : 'owner-lost');
}

/**
 * Checks pending statements against the current assignments. Those of superseded owners are settled as
 * lost unless they are answered within the grace period.
 */
export function failSupersededStatements(client: OwnerClient): void {
  const isSuperseded = (port: OwnerPort) => {
    const epoch = assignmentOf(client.options.control, `group/${port.group}`)?.epoch;
    return epoch !== undefined && epoch !== port.epoch;
  };
  const numbers = [...client.pending]
    .filter(([, { port }]) => isSuperseded(port))
    .map(([key]) => key);
  if (numbers.length === 0) return;
  setTimeout(() => {
    for (const number of numbers) settlePending(client, number, 'owner-lost');
  }, SUPERSEDED_GRACE_MS);
}

async function awaitPort(
  client: OwnerClient,
  group: GroupName,
  untilMs: () => number,
): Promise<OwnerPort | undefined> {
  for (;;) {
    const port = findPort(client, group);
    if (port) return port;
    if (performance.now() >= untilMs()) return undefined;
    await delay(OWNER_POLL_INTERVAL_MS);
  }
}

/** Sends a query without side effects to the group's owner; returns `undefined` if there is no answer. */
export async function queryOwner(
  client: OwnerClient,
  group: GroupName,
  query: {
    readonly method: string;
    readonly params: (epoch: number) => unknown;
    readonly answerLocally: (epoch: number) => unknown;
    readonly timeoutMs: number;
  },
): Promise<unknown> {
  const port = findPort(client, group);
  if (!port) return undefined;
  if (port.isLocal) return query.answerLocally(port.epoch);
  const peer = client.options.links().linkTo(port.linkAddress);
  const answer = await peer?.request(query.method, query.params(port.epoch), query.timeoutMs);
  return answer?.orDefault(undefined);
}

function findPort(client: OwnerClient, group: GroupName): OwnerPort | undefined {
  const { control, links, requestResource } = client.options;
  const resource: Resource = `group/${group}`;
  if (!assignmentOf(control, resource)) {
    requestResource(resource, undefined);
    return undefined;
  }
  const assignment = findOwnerAssignment(client, group);
  if (!assignment) return undefined;
  const isLocal = assignment.incarnation === control.incarnation();
  if (!isLocal && !links().linkTo(assignment.linkAddress)) {
    return undefined;
  }
  return createPort(client, group, assignment, isLocal);
}

function createPort(
  { options }: OwnerClient,
  group: GroupName,
  { epoch, linkAddress, zone }: Assignment,
  isLocal: boolean,
): OwnerPort {
  const location = { group, epoch, linkAddress, isLocal, zone };
  if (!isLocal) {
    return {
      ...location,
      send: (request) => options.sendOverLink(location, request),
      sendRollback: (transaction) => {
        options.rollBackOverLink(location, transaction);
      },
      sendWithdrawal: (number) => {
        options.withdrawOverLink(location, number);
      },
    };
  }
  return {
    ...location,
    send: (request) => options.sendLocally(group, epoch, request),
    sendRollback: (transaction) => {
      options.rollBackLocally(group, epoch, transaction);
    },
    sendWithdrawal: (number) => {
      options.withdrawLocally(group, epoch, number);
    },
  };
}
