/**
 * Decides whether an answer can be that of the order that a connection waits for. Answers name no order, and a server may
 * repeat one late, while the connection already waits for the answer to a later order.
 */
import { comparePositions, latestPosition, type LogPosition } from '@bramleykeel/core';
import type {
  ConnectionState,
  TargetOrder,
  TargetRefusal,
  TargetStatus,
} from '../types/target-port.js';

/** An answer as a server sent it. */
export interface ReceivedAnswer {
  readonly rows: readonly string[];
  /** `undefined` if the answer is an error or was cut off; {@link NO_SIGNATURE} for the proxy's own orders. */
  readonly signature: string | undefined;
  readonly isError: boolean;
  /** Why nothing ran, if the error says so. */
  readonly refusal?: TargetRefusal | undefined;
  readonly state: ConnectionState;
  /** The position of the server's log. */
  readonly position: LogPosition | null;
  /** The status in the answer to an order of the owner, if it can be read. */
  readonly status?: TargetStatus | undefined;
}

/** What is known of the earlier answers of a connection. */
export interface AnswerHistory {
  /** The state that the last answer has reported. */
  state: ConnectionState;
  /** Whether an answer without a signature has been received. */
  hasUnsigned: boolean;
  /** Whether one of them was received outside of transactions. */
  hasIdleUnsigned: boolean;
  /** Whether the answer to the last setup may have been an earlier one, so that its own is still to come. */
  isSetupUnproven: boolean;
  /** Whether a statement, or an order that prepares the connection for one, was answered with an error. */
  hasErrorOfStatement: boolean;
  /** The position in the last answer without a signature in a transaction; `undefined` before the first one. */
  openAt: LogPosition | null | undefined;
  /** The newest position that the server has reported. */
  position: LogPosition | null;
  /** Whether the open transaction has written. */
  hasUncommittedWrite: boolean;
  /** The last status that the server has reported. */
  status: TargetStatus | undefined;
  /** The number of rows of each signed answer, by its signature. */
  readonly rowCounts: Map<string, number>;
  /** The highest number of rows of an answer. */
  maxRowCount: number;
}

/**
 * - `fits`: the answer is taken for that of the pending order;
 * - `repeated`: an earlier answer was sent again, and that of the pending order is still to come;
 * - `foreign`: the answer is not that of the pending order, and it is not known what the following ones belong to;
 * - `unclear`: it looks like an earlier answer and may be that of the pending order as well.
 */
export type AnswerMatch = 'fits' | 'repeated' | 'foreign' | 'unclear';

/** Servers answer the proxy's own orders with this in place of a signature. */
export const NO_SIGNATURE = '-';
/**
 * Signed answers after which a connection is replaced, so that none is forgotten while its connection is used, but in a
 * transaction. A new connection then costs less than a hundredth of the work that its predecessor has carried.
 */
export const MAX_SIGNED_ANSWERS = 512;

/** @param position of the server's log when the connection was opened */
export function createAnswerHistory(position: LogPosition | null = null): AnswerHistory {
  return {
    ...{ state: 'idle', hasUnsigned: false, hasIdleUnsigned: false },
    ...{ isSetupUnproven: false, hasErrorOfStatement: false },
    ...{ openAt: undefined, position, hasUncommittedWrite: false },
    ...{ status: undefined, rowCounts: new Map(), maxRowCount: 0 },
  };
}

/**
 * Compares an answer with the order that the connection waits for. Each answer to a statement has a signature of its own.
 *
 * @example
 * const answer = { rows: [], signature: '-', isError: false, state: 'open', position };
 * matchAnswer(createAnswerHistory(), { kind: 'begin', isReadOnly: true, after: null }, answer); // 'fits'
 */
export function matchAnswer(
  history: AnswerHistory,
  order: TargetOrder,
  answer: ReceivedAnswer,
): AnswerMatch {
  // It cannot be told from a cut-off answer which order it belongs to. It settles none.
  if (!answer.isError && answer.signature === undefined) return 'fits';
  switch (order.kind) {
    case 'run':
    case 'execute':
      return answer.isError
        ? matchError(history, order, answer)
        : matchStatement(history, order, answer, history.state);
    case 'commit':
      if (!answer.isError) return matchStatement(history, order, answer, 'idle');
      return mayBeOfSetup(history, order, answer) ? 'foreign' : 'fits';
    case 'set':
    case 'reset':
    case 'prepare':
    case 'begin':
    case 'rollback':
    case 'status':
    case 'pause':
    case 'resume':
    case 'demote':
      return answer.isError ? 'fits' : matchOwnOrder(history, order, answer);
  }
}

/** Whether an answer that came without a pending order is an earlier one that was sent again. */
export function isRepeated(history: AnswerHistory, answer: ReceivedAnswer): boolean {
  if (answer.isError || answer.signature === undefined) return false;
  const isUnsigned = answer.signature === NO_SIGNATURE;
  const { length } = answer.rows;
  const match = isUnsigned
    ? matchRepeatedOwn(history, length)
    : matchRepeatedStatement(history, answer);
  return match === 'repeated';
}

/**
 * Whether a connection can carry another order after its last answer. An error has no signature, so a late copy of it
 * could not be told from the answer to a later statement.
 */
export function isReusable(history: AnswerHistory): boolean {
  if (history.hasErrorOfStatement) return false;
  return history.state !== 'idle' || history.rowCounts.size < MAX_SIGNED_ANSWERS;
}

/** Whether an answer that no order waits for may have as many rows, as a copy of an earlier one. */
export function mayBeRepeated({ maxRowCount }: AnswerHistory, rowCount: number): boolean {
  return rowCount <= maxRowCount;
}

/** Remembers an answer that fitted its order. */
export function recordMatch(
  history: AnswerHistory,
  order: TargetOrder,
  { signature, rows, state, isError, position, status }: ReceivedAnswer,
): void {
  history.state = state;
  if (position) history.position = latestPosition(history.position ?? position, position);
  const hasWritten = history.hasUncommittedWrite || (isWrite(order) && !isError);
  history.hasUncommittedWrite = hasWritten && state !== 'idle';
  history.status = status ?? history.status;
  history.maxRowCount = Math.max(history.maxRowCount, rows.length);
  if (isError && !isControlOrder(order)) history.hasErrorOfStatement = true;
  if (signature === NO_SIGNATURE) recordUnsigned(history, order, state, position);
  else if (signature !== undefined) {
    history.isSetupUnproven = false;
    rememberSignature(history, signature, rows.length);
  }
}

function recordUnsigned(
  history: AnswerHistory,
  { kind }: TargetOrder,
  state: ConnectionState,
  position: LogPosition | null,
): void {
  const isLikeEarlier = state === 'open' ? history.openAt !== undefined : history.hasIdleUnsigned;
  if (kind === 'begin') history.isSetupUnproven = false;
  else if (isSetup(kind) && isLikeEarlier) history.isSetupUnproven = true;
  history.hasUnsigned = true;
  if (state === 'open') history.openAt = position;
  else history.hasIdleUnsigned = true;
}

function isSetup(kind: TargetOrder['kind']): boolean {
  return kind === 'set' || kind === 'reset' || kind === 'prepare';
}

function rememberSignature(
  { rowCounts }: AnswerHistory,
  signature: string,
  rowCount: number,
): void {
  rowCounts.set(copyOf(signature), rowCount);
  if (rowCounts.size <= MAX_SIGNED_ANSWERS) return;
  // A transaction that is longer keeps its connection, and forgets its oldest answers.
  const [oldest] = rowCounts.keys();
  if (oldest !== undefined) rowCounts.delete(oldest);
}

/** A server that is not in a transaction has refused its BEGIN, and may have run what followed outside of it. */
function matchError(
  history: AnswerHistory,
  order: StatementOrder,
  answer: ReceivedAnswer,
): AnswerMatch {
  if (mayBeOfSetup(history, order, answer)) return 'foreign';
  return history.state === 'open' && answer.state === 'idle' ? 'foreign' : 'fits';
}

/** Whether an error may be that of a setup before the statement, which may then run. */
function mayBeOfSetup(
  { state, isSetupUnproven }: AnswerHistory,
  order: StatementOrder,
  answer: ReceivedAnswer,
): boolean {
  return isSetupUnproven && (state !== 'idle' || !isRefusalOfStatement(order, answer));
}

/**
 * Whether a refusal outside of transactions may be taken for that of the statement after a setup. No setup is refused for a
 * position, a write or a prepared name, and a read that was refused as busy runs again, whichever order that was meant for.
 */
function isRefusalOfStatement(order: StatementOrder, { refusal }: ReceivedAnswer): boolean {
  if (refusal === 'busy') return !isWrite(order);
  return refusal === 'read-only' || refusal === 'lagging' || refusal === 'unknown-statement';
}

function matchStatement(
  history: AnswerHistory,
  order: StatementOrder,
  answer: ReceivedAnswer,
  expectedState: ConnectionState,
): AnswerMatch {
  const { rows, signature = '', state, position } = answer;
  if (signature === NO_SIGNATURE) return matchRepeatedOwn(history, rows.length);
  if (history.rowCounts.has(signature)) return matchRepeatedStatement(history, answer);
  if (state !== expectedState) return 'foreign';
  const isCommitted = isWrite(order) || (order.kind === 'commit' && history.hasUncommittedWrite);
  return isCommitted && state === 'idle' && !isAfter(position, history.position)
    ? 'unclear'
    : 'fits';
}

/** Each commit that writes takes the next position of the log. */
function isAfter(position: LogPosition | null, earlier: LogPosition | null): boolean {
  return !position || !earlier || comparePositions(position, earlier) > 0;
}

function isWrite(order: TargetOrder): boolean {
  return (order.kind === 'run' || order.kind === 'execute') && order.isWrite;
}

/** An order that is a statement of a caller. */
type StatementOrder = Extract<TargetOrder, { readonly kind: 'run' | 'execute' | 'commit' }>;
/** An order that the proxy sends on its own behalf. */
type OwnOrder = Exclude<TargetOrder, StatementOrder>;

function matchOwnOrder(
  history: AnswerHistory,
  order: OwnOrder,
  answer: ReceivedAnswer,
): AnswerMatch {
  if (answer.signature !== NO_SIGNATURE) return matchRepeatedStatement(history, answer);
  const rowCount = answer.rows.length;
  switch (order.kind) {
    case 'begin':
      if (rowCount > 0 || answer.state !== 'open') break;
      return matchBegin(history, order.after, answer.position);
    case 'rollback':
      if (rowCount === 0 && answer.state === 'idle') return 'fits';
      break;
    case 'set':
    case 'reset':
    case 'prepare':
      if (rowCount === 0 && answer.state === history.state) return 'fits';
      break;
    case 'status':
    case 'pause':
    case 'resume':
    case 'demote':
      if (rowCount > 0) return matchStatus(history, order, answer);
  }
  return matchRepeatedOwn(history, rowCount);
}

function matchStatus(
  { status: last }: AnswerHistory,
  { kind }: TargetOrder,
  { status }: ReceivedAnswer,
): AnswerMatch {
  if (!status || !last) return 'fits';
  const isReleased = kind === 'resume' || status.term > last.term;
  const isBefore = isStatusBefore(status, last) || (status.heldTerm < last.heldTerm && !isReleased);
  return isBefore ? 'unclear' : 'fits';
}

/** Within a term, a log does not become shorter, and a primary that gave up its role does not get it back. */
function isStatusBefore(status: TargetStatus, last: TargetStatus): boolean {
  if (status.term !== last.term) return status.term < last.term;
  if (comparePositions(status.position, last.position) < 0) return true;
  return status.role === 'primary' && last.role === 'replica';
}

/**
 * A BEGIN has to be answered at the required position, and at a later one than any answer that looks like it: a statement
 * after a BEGIN that was in fact refused would run outside of a transaction.
 */
function matchBegin(
  { openAt }: AnswerHistory,
  after: LogPosition | null,
  position: LogPosition | null,
): AnswerMatch {
  if (position && after && comparePositions(position, after) < 0) return 'foreign';
  if (openAt === undefined) return 'fits';
  if (!position || !openAt) return 'unclear';
  const order = comparePositions(position, openAt);
  if (order === 0) return 'unclear';
  return order > 0 ? 'fits' : 'foreign';
}

function matchRepeatedOwn({ hasUnsigned }: AnswerHistory, rowCount: number): AnswerMatch {
  return hasUnsigned && rowCount === 0 ? 'repeated' : 'foreign';
}

/** More rows than the first time are rows of the pending order's answer, which the repeated one has interrupted. */
function matchRepeatedStatement(
  { rowCounts }: AnswerHistory,
  { signature = '', rows }: ReceivedAnswer,
): AnswerMatch {
  return rowCounts.get(signature) === rows.length ? 'repeated' : 'foreign';
}

/** Control orders are idempotent, and a status that goes back is not taken. */
export function isControlOrder({ kind }: TargetOrder): boolean {
  return kind === 'status' || kind === 'pause' || kind === 'resume' || kind === 'demote';
}

/** A part of a received text keeps all of that text in memory; a copy does not. */
function copyOf(text: string): string {
  return Buffer.from(text, 'latin1').toString('latin1');
}
