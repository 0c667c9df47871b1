/**
 * Filters a target's answer: removes answers to messages that the proxy added, holds the last
 * CommandComplete until the write is confirmed, and records the log position and the first error.
 */
import { type ExpectedAnswer, type LogPosition, parsePosition } from '@bramleykeel/core';
import {
  readParameterStatus,
  readSqlState,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { type AnswerSequence, createAnswerSequence } from '../target/answer-sequence.js';
import { POSITION_PARAMETER } from '../target/target-connection.js';

export interface AnswerFilter {
  /** Outstanding answers to Parse and Close messages, in order. */
  expected: ExpectedAnswer[];
  readonly sequence: AnswerSequence;
  /** Frames that are held until it is known that the answer is that of the request. */
  unverifiedFrames: Buffer[];
  unverifiedBytes: number;
  /** The most recent CommandComplete, held until it is known whether it is the last one. */
  heldFrames: Buffer[];
  position: LogPosition | undefined;
  firstSqlState: string | undefined;
  /** Whether any statement of the request has completed. */
  hasCompleted: boolean;
}

export interface StatementChange {
  readonly statement: string;
  readonly exists: boolean;
}

export interface FilteredAnswer {
  readonly forward: readonly Buffer[];
  /** The first ParseComplete or CloseComplete that answers nothing. */
  readonly foreign: WireMessage | undefined;
  /** Prepared statements created or closed on the connection, in order. */
  readonly statementChanges: readonly StatementChange[];
  /** Whether the target waits for COPY data, which the proxy does not support. */
  readonly wantsCopyData: boolean;
}

export function createAnswerFilter(): AnswerFilter {
  return {
    expected: [],
    sequence: createAnswerSequence(),
    unverifiedFrames: [],
    unverifiedBytes: 0,
    heldFrames: [],
    position: undefined,
    firstSqlState: undefined,
    hasCompleted: false,
  };
}

/**
 * Passes the messages of an answer, without its ReadyForQuery, through the filter. `heldFrames` stays in the filter; the calling function
 * forwards or discards it.
 *
 * @param isEndSent whether the end of the request was sent to the target. Before that nothing is
 *   committed, and the caller may wait for the CommandComplete before it sends the end.
 */
export function filterAnswer(
  filter: AnswerFilter,
  messages: readonly WireMessage[],
  isEndSent: boolean,
): FilteredAnswer {
  const forward: Buffer[] = [];
  const statementChanges: StatementChange[] = [];
  let foreign: WireMessage | undefined;
  let wantsCopyData = false;
  for (const message of messages) {
    switch (message.type) {
      case SERVER.parseComplete:
      case SERVER.closeComplete: {
        const answer = filter.expected.shift();
        const kind = message.type === SERVER.parseComplete ? 'parse' : 'close';
        if (answer?.kind !== kind) foreign ??= message;
        if (answer) {
          statementChanges.push({ statement: answer.statement, exists: answer.kind === 'parse' });
        }
        if (!answer?.isHidden) forwardFrame(message.frame);
        break;
      }
      case SERVER.parameterStatus:
        if (!consumePosition(filter, message)) forward.push(message.frame);
        break;
      case SERVER.commandComplete:
        filter.hasCompleted = true;
        forwardFrame(message.frame);
        if (isEndSent) filter.heldFrames = [forward.pop() ?? message.frame];
        break;
      case SERVER.errorResponse:
        filter.firstSqlState ??= readSqlState(message);
        filter.expected = [];
        forwardFrame(message.frame);
        break;
      case SERVER.notificationResponse:
        break;
      case SERVER.copyInResponse:
        wantsCopyData = true;
        break;
      default:
        forwardFrame(message.frame);
    }
  }
  return { forward, foreign, statementChanges, wantsCopyData };

  function forwardFrame(frame: Buffer): void {
    forward.push(...filter.heldFrames, frame);
    filter.heldFrames = [];
  }
}

/**
 * Records a reported log position, which is never forwarded to the caller. Returns whether the
 * message reported one.
 */
function consumePosition(filter: AnswerFilter, message: WireMessage): boolean {
  const { name, value } = readParameterStatus(message);
  if (name !== POSITION_PARAMETER) return false;
  filter.position = parsePosition(value) ?? filter.position;
  return true;
}
