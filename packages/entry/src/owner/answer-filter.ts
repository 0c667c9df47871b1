/**
 * Filter on a target's answer: leaves out what the proxy asked for itself, keeps back the last
 * CommandComplete until the write is confirmed, and notes positions, errors and the end.
 */
import {
  type ExpectedAnswer,
  type LogPosition,
  parsePosition,
  type TransactionStatus,
} from '@bramleykeel/core';
import {
  readParameterStatus,
  readReadyForQuery,
  readSqlState,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { POSITION_PARAMETER } from '../target/target-connection.js';

export interface AnswerFilter {
  /** Answers to Parse and Close messages that are still to come, in order. */
  expected: ExpectedAnswer[];
  /** The newest CommandComplete, until it is known whether it was the last one. */
  held: Buffer[];
  position: LogPosition | undefined;
  firstSqlState: string | undefined;
}

export interface StatementChange {
  readonly statement: string;
  readonly exists: boolean;
}

export interface FilteredAnswer {
  readonly forward: readonly Buffer[];
  /** Set when ReadyForQuery has come. */
  readonly status: TransactionStatus | undefined;
  /** Statements that were created or closed on the connection, in order. */
  readonly statementChanges: readonly StatementChange[];
  /** The target waits for COPY data, which is never sent. */
  readonly wantsCopyData: boolean;
}

export function createAnswerFilter(): AnswerFilter {
  return { expected: [], held: [], position: undefined, firstSqlState: undefined };
}

/**
 * Passes messages through the filter. `held` stays in the filter for the caller of this function.
 *
 * @param isEndSent whether the target has the end of the request. Before that nothing is committed,
 *   and the caller may wait for the CommandComplete before it sends the end.
 */
export function filterAnswer(
  filter: AnswerFilter,
  messages: readonly WireMessage[],
  isEndSent: boolean,
): FilteredAnswer {
  const forward: Buffer[] = [];
  const statementChanges: StatementChange[] = [];
  let status: TransactionStatus | undefined;
  let wantsCopyData = false;
  for (const message of messages) {
    switch (message.type) {
      case SERVER.parseComplete:
      case SERVER.closeComplete: {
        const answer = filter.expected.shift();
        if (answer) {
          statementChanges.push({ statement: answer.statement, exists: answer.kind === 'parse' });
        }
        if (!answer?.isHidden) pass(message.frame);
        break;
      }
      case SERVER.parameterStatus:
        if (!takePosition(filter, message)) forward.push(message.frame);
        break;
      case SERVER.commandComplete:
        pass(message.frame);
        if (isEndSent) filter.held = [forward.pop() ?? message.frame];
        break;
      case SERVER.errorResponse:
        filter.firstSqlState ??= readSqlState(message);
        filter.expected = [];
        pass(message.frame);
        break;
      case SERVER.notificationResponse:
        break;
      case SERVER.copyInResponse:
        wantsCopyData = true;
        break;
      case SERVER.readyForQuery:
        status = readReadyForQuery(message);
        break;
      default:
        pass(message.frame);
    }
  }
  return { forward, status, statementChanges, wantsCopyData };

  function pass(frame: Buffer): void {
    forward.push(...filter.held, frame);
    filter.held = [];
  }
}

/** Reads a reported log position; the caller is never shown that parameter. */
function takePosition(filter: AnswerFilter, message: WireMessage): boolean {
  const { name, value } = readParameterStatus(message);
  if (name !== POSITION_PARAMETER) return false;
  filter.position = parsePosition(value) ?? filter.position;
  return true;
}
