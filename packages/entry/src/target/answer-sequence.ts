/**
 * Tells the answer to a request from the copy of an earlier one, which a server may send late. Each request is followed by
 * an echo (buildEcho) whose number is new. The answer to the request is the one that precedes the answer to its echo.
 */
import type { TransactionStatus } from '@bramleykeel/core';
import {
  buildEchoAnswer,
  readReadyForQuery,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { isAsynchronous } from './out-of-step.js';

export interface AnswerSequence {
  /** Number of the echo that follows the request; `undefined` until the end of the request is sent. */
  echoNumber: number | undefined;
  /** The answer as it was received, to tell copies of it; `undefined` if it is too long to be kept. */
  answerFrames: Buffer[] | undefined;
  answerBytes: number;
  /** Transaction status at the end of the answer; `undefined` before it. */
  status: TransactionStatus | undefined;
  /** What follows the end of the answer, and is the beginning of its copy or of the answer to the echo. */
  following: Buffer;
  /** Number of complete copies of the answer that followed it. */
  copyCount: number;
}

/**
 * - `answer`: the message is part of the answer;
 * - `skip`: it ends the answer, or is part of a copy of it or of the answer to the echo;
 * - `verified`: it ends the answer to the echo, so that the answer is that of the request;
 * - `foreign`: it cannot be what the target was asked for.
 */
export type SequenceStep = 'answer' | 'skip' | 'verified' | 'foreign';

export interface SplitAnswer {
  /** The messages that belong to the answer, without its ReadyForQuery. */
  readonly answer: readonly WireMessage[];
  /** The first message that is not what the target was asked for. */
  readonly foreign: WireMessage | undefined;
  readonly isVerified: boolean;
  /** Messages that follow the answer to the echo. */
  readonly rest: readonly WireMessage[];
}

const MAX_KEPT_BYTES = 64 * 1024;
const NOTHING = Buffer.alloc(0);

export function createAnswerSequence(): AnswerSequence {
  return {
    ...{ echoNumber: undefined, answerFrames: [], answerBytes: 0 },
    ...{ status: undefined, following: NOTHING, copyCount: 0 },
  };
}

/**
 * Takes the next message of a connection.
 *
 * @example
 * const sequence = { ...createAnswerSequence(), echoNumber: 7 };
 * advanceSequence(sequence, readyForQuery); // 'skip', the end of an empty answer
 * advanceSequence(sequence, dataRow); // 'foreign', because only the echo may follow
 */
export function advanceSequence(sequence: AnswerSequence, message: WireMessage): SequenceStep {
  const { echoNumber, status } = sequence;
  if (echoNumber === undefined || status === undefined) return advanceAnswer(sequence, message);
  const following = Buffer.concat([sequence.following, message.frame]);
  const echo = buildEchoAnswer(echoNumber, status);
  if (startsWith(echo, following)) {
    sequence.following = following;
    return following.length === echo.length ? 'verified' : 'skip';
  }
  const { answerFrames, answerBytes } = sequence;
  if (answerFrames && startsWith(Buffer.concat(answerFrames), following)) {
    const isComplete = following.length === answerBytes;
    sequence.following = isComplete ? NOTHING : following;
    if (isComplete) sequence.copyCount += 1;
    return 'skip';
  }
  return isAsynchronous(message) ? 'answer' : 'foreign';
}

function advanceAnswer(sequence: AnswerSequence, message: WireMessage): SequenceStep {
  keepFrame(sequence, message.frame);
  switch (message.type) {
    case SERVER.authentication:
    case SERVER.backendKeyData:
      return 'foreign';
    case SERVER.readyForQuery:
      if (sequence.echoNumber === undefined) return 'foreign';
      sequence.status = readReadyForQuery(message);
      return 'skip';
    default:
      return 'answer';
  }
}

function keepFrame(sequence: AnswerSequence, frame: Buffer): void {
  sequence.answerBytes += frame.length;
  if (sequence.answerBytes > MAX_KEPT_BYTES) sequence.answerFrames = undefined;
  else sequence.answerFrames?.push(frame);
}

function startsWith(whole: Buffer, part: Buffer): boolean {
  return whole.subarray(0, part.length).equals(part);
}

/** Takes messages up to the end of the answer to the echo, or to the first foreign one. */
export function splitAnswer(
  sequence: AnswerSequence,
  messages: readonly WireMessage[],
): SplitAnswer {
  const answer: WireMessage[] = [];
  for (const [index, message] of messages.entries()) {
    switch (advanceSequence(sequence, message)) {
      case 'answer':
        answer.push(message);
        break;
      case 'skip':
        break;
      case 'verified': {
        const rest = messages.slice(index + 1);
        return { answer, foreign: undefined, isVerified: true, rest };
      }
      case 'foreign':
        return { answer, foreign: message, isVerified: false, rest: [] };
    }
  }
  return { answer, foreign: undefined, isVerified: false, rest: [] };
}
