/** Sends statements to the owners of their groups and judges what a lost owner leaves behind. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Assignment,
  assignmentOf,
  type GroupName,
  type Resource,
  type StatementOutcome,
  type StatementRequest,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import { startInputDeadline } from '@bramleykeel/link';
import type { EntryLinks } from './entry-links.js';

/** An owner under one epoch, in this process or behind a link. */
export interface OwnerPort {
  readonly group: GroupName;
  readonly epoch: number;
  readonly linkAddress: string;
  readonly isLocal: boolean;
  /** Hands a statement on; `false` when it certainly was not. */
  readonly send: (request: StatementRequest) => boolean;
  readonly sendRollback: (transaction: number) => void;
}

export interface OwnerClientOptions {
  readonly control: ControlClient;
  readonly links: () => EntryLinks;
  /** Hands a statement to an owner in this process; `false` when there is none under that epoch. */
  readonly sendLocally: (group: GroupName, epoch: number, request: StatementRequest) => boolean;
  readonly rollBackLocally: (group: GroupName, epoch: number, transaction: number) => void;
  readonly sendOver: (
    port: Omit<OwnerPort, 'send' | 'sendRollback'>,
    request: StatementRequest,
  ) => boolean;
  readonly rollBackOver: (
    port: Omit<OwnerPort, 'send' | 'sendRollback'>,
    transaction: number,
  ) => void;
  readonly requestResource: (resource: Resource, zone: string | undefined) => void;
}

interface PendingStatement {
  readonly port: OwnerPort;
  readonly resolve: (outcome: StatementOutcome | 'owner-lost') => void;
  readonly endDeadline: () => void;
}

export interface OwnerClient {
  readonly options: OwnerClientOptions;
  readonly pending: Map<number, PendingStatement>;
  /** The newest epoch of each group whose owner has said that it is over. */
  readonly endedEpochs: Map<GroupName, number>;
  nextNumber: number;
}

export interface RunResult {
  readonly outcome: StatementOutcome;
  /** The owner that has the statement's transaction, when it has one. */
  readonly port: OwnerPort | undefined;
}

export type StatementDraft = Omit<StatementRequest, 'number' | 'budgetMs' | 'startWithinMs'>;

export interface StatementTime {
  /** When the statement's answer is due. */
  readonly deadlineMs: number;
  /** Until when it may wait to be sent to a server. */
  readonly startByMs: number;
}

/**
 * Share of a statement's time that it may wait for a server. What waits longer is refused as not run,
 * so that its caller can come back in time.
 */
const WAIT_SHARE = 0.45;

/** The times of a statement that arrives now. */
export function statementTime(timeoutMs: number): StatementTime {
  const nowMs = performance.now();
  return { deadlineMs: nowMs + timeoutMs, startByMs: nowMs + timeoutMs * WAIT_SHARE };
}

const PORT_POLL_MS = 15;
/** The owner answers within the statement's time; its answer may take this much longer, in milliseconds. */
const ANSWER_SLACK_MS = 60;
/** How long answers of a superseded owner are waited for, in milliseconds. */
const SUPERSEDED_GRACE_MS = 150;
/** Pause before an owner that is not ready yet is asked again, in milliseconds. */
const NOT_READY_PAUSE_MS = 25;
const RETRY_AFTER_MS = 200;

export function createOwnerClient(options: OwnerClientOptions): OwnerClient {
  return { options, pending: new Map(), endedEpochs: new Map(), nextNumber: 1 };
}

/**
 * Runs a statement at its group's owner. What has not run, and reads outside of transactions, are
 * sent again while there is time; anything else is sent once.
 */
export async function runStatement(
  client: OwnerClient,
  group: GroupName,
  draft: StatementDraft,
  bound: OwnerPort | undefined,
  time: StatementTime,
): Promise<RunResult> {
  const isBound = draft.transaction !== null && !draft.transaction.isFirst;
  for (;;) {
    const port = isBound ? bound : await awaitPort(client, group, time.startByMs);
    if (!port) return { outcome: notRun('no-owner'), port: undefined };
    const outcome = await sendOnce(client, port, draft, time);
    const isOver = performance.now() >= time.startByMs;
    if (outcome === 'not-sent') {
      if (isBound) return { outcome: aborted(), port };
      if (isOver) return { outcome: notRun('no-owner'), port };
      await delay(NOT_READY_PAUSE_MS);
      continue;
    }
    if (outcome === 'owner-lost') {
      const isRepeatable = draft.access === 'read' && draft.transaction === null;
      if (!isRepeatable || isOver) return { outcome: lostOutcome(draft), port };
      continue;
    }
    const isMoved = outcome.kind === 'not-run' && outcome.reason === 'no-owner';
    if (!isMoved || isBound || isOver) return { outcome, port };
    await delay(NOT_READY_PAUSE_MS);
  }
}

/** Before its COMMIT was sent nothing of a transaction can last. */
function lostOutcome({ access, transaction }: StatementDraft): StatementOutcome {
  if (transaction && access !== 'commit') return aborted();
  if (!transaction && access === 'read') return { kind: 'timed-out' };
  return { kind: 'unknown', reason: 'the owner of the group was lost' };
}

function aborted(): StatementOutcome {
  return { kind: 'aborted', reason: 'the owner of the transaction was lost' };
}

function notRun(reason: 'no-owner'): StatementOutcome {
  return { kind: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS };
}

function sendOnce(
  client: OwnerClient,
  port: OwnerPort,
  draft: StatementDraft,
  time: StatementTime,
): Promise<StatementOutcome | 'owner-lost' | 'not-sent'> {
  const nowMs = performance.now();
  const number = client.nextNumber;
  client.nextNumber += 1;
  const budgetMs = Math.max(1, time.deadlineMs - nowMs);
  const request: StatementRequest = {
    ...draft,
    number,
    budgetMs,
    startWithinMs: Math.max(0, time.startByMs - nowMs),
  };
  return new Promise((resolve) => {
    const endDeadline = startInputDeadline(budgetMs + ANSWER_SLACK_MS, () => {
      settle(client, number, 'owner-lost');
    });
    client.pending.set(number, { port, resolve, endDeadline });
    if (port.send(request)) return;
    endDeadline();
    client.pending.delete(number);
    resolve('not-sent');
  });
}

function settle(
  client: OwnerClient,
  number: number,
  outcome: StatementOutcome | 'owner-lost',
): void {
  const waiting = client.pending.get(number);
  if (!waiting) return;
  client.pending.delete(number);
  waiting.endDeadline();
  waiting.resolve(outcome);
}

/** Takes an owner's answer; one that nobody waits for any more is dropped. */
export function takeOutcome(client: OwnerClient, number: number, outcome: StatementOutcome): void {
  settle(client, number, outcome);
}

/**
 * An owner's epoch is over. What it has not answered, and does not name as still running, did not run and
 * never will: it goes to the next owner.
 */
export function endOwner(
  client: OwnerClient,
  group: GroupName,
  epoch: number,
  running: readonly number[],
): void {
  client.endedEpochs.set(group, Math.max(epoch, client.endedEpochs.get(group) ?? 0));
  for (const [number, { port }] of [...client.pending]) {
    const isIts = port.group === group && port.epoch === epoch;
    if (isIts && !running.includes(number)) settle(client, number, notRun('no-owner'));
  }
}

/** The link to an entry is gone: nothing that was sent over it will be answered. */
export function loseLink(client: OwnerClient, linkAddress: string): void {
  losePending(client, (port) => !port.isLocal && port.linkAddress === linkAddress);
}

/** Looks at outstanding statements again after assignments have changed. */
export function loseSuperseded(client: OwnerClient): void {
  const isOver = (port: OwnerPort) => {
    const epoch = assignmentOf(client.options.control, `group/${port.group}`)?.epoch;
    return epoch !== undefined && epoch !== port.epoch;
  };
  const numbers = [...client.pending].filter(([, { port }]) => isOver(port)).map(([key]) => key);
  if (numbers.length === 0) return;
  setTimeout(() => {
    for (const number of numbers) settle(client, number, 'owner-lost');
  }, SUPERSEDED_GRACE_MS);
}

function losePending(client: OwnerClient, isLost: (port: OwnerPort) => boolean): void {
  for (const [number, { port }] of [...client.pending]) {
    if (isLost(port)) settle(client, number, 'owner-lost');
  }
}

async function awaitPort(
  client: OwnerClient,
  group: GroupName,
  deadlineMs: number,
): Promise<OwnerPort | undefined> {
  for (;;) {
    const port = findPort(client, group);
    if (port) return port;
    if (performance.now() >= deadlineMs) return undefined;
    await delay(PORT_POLL_MS);
  }
}

/** Asks the group's owner something that changes nothing; `undefined` without an answer. */
export async function askOwner(
  client: OwnerClient,
  group: GroupName,
  question: {
    readonly method: string;
    readonly params: (epoch: number) => unknown;
    readonly answerLocally: (epoch: number) => unknown;
    readonly timeoutMs: number;
  },
): Promise<unknown> {
  const port = findPort(client, group);
  if (!port) return undefined;
  if (port.isLocal) return question.answerLocally(port.epoch);
  const peer = client.options.links().linkTo(port.linkAddress);
  const answer = await peer?.request(
    question.method,
    question.params(port.epoch),
    question.timeoutMs,
  );
  return answer?.orDefault(undefined);
}

function findPort(client: OwnerClient, group: GroupName): OwnerPort | undefined {
  const { control, links, requestResource } = client.options;
  const resource: Resource = `group/${group}`;
  const assignment = assignmentOf(control, resource);
  if (!assignment) {
    requestResource(resource, undefined);
    return undefined;
  }
  // Its successor is not known here yet.
  if (assignment.epoch <= (client.endedEpochs.get(group) ?? 0)) return undefined;
  const isLocal = assignment.incarnation === control.incarnation();
  if (!isLocal && !links().linkTo(assignment.linkAddress)) {
    return undefined;
  }
  return createPort(client, group, assignment, isLocal);
}

function createPort(
  { options }: OwnerClient,
  group: GroupName,
  { epoch, linkAddress }: Assignment,
  isLocal: boolean,
): OwnerPort {
  const place = { group, epoch, linkAddress, isLocal };
  if (!isLocal) {
    return {
      ...place,
      send: (request) => options.sendOver(place, request),
      sendRollback: (transaction) => {
        options.rollBackOver(place, transaction);
      },
    };
  }
  return {
    ...place,
    send: (request) => options.sendLocally(group, epoch, request),
    sendRollback: (transaction) => {
      options.rollBackLocally(group, epoch, transaction);
    },
  };
}
