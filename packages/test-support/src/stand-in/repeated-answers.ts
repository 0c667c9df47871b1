/** Fault of a server that sends answers twice: copies of the latest answers of a connection. */
import type { StandInConnection } from './connection-state.js';

/** Faults that tests inject through POST /faults. */
export interface AnswerFaults {
  /**
   * When the copy is sent: behind each answer in the same write, while the connection is unused, or before the answer to
   * the next messages.
   */
  repeatsAnswers: 'never' | 'at-once' | 'while-unused' | 'before-next';
  /** Whether the first or all answers to the messages that had arrived together are repeated. */
  repeatedAnswers: 'first' | 'all';
  /** Only the answers to every nth group of messages that have arrived together are repeated. */
  repeatEvery: number;
}

/** Answers of one connection, each up to its ReadyForQuery. */
export interface AnswerRecord {
  /** Messages of the unfinished answer. */
  unfinished: Buffer[];
  /** Finished answers to the messages that had arrived together. */
  finished: Buffer[];
  isRepeated: boolean;
}

let groupCount = 0;
let copyCount = 0;

/** Number of copies that were sent since the start of the process. */
export function countCopies(): number {
  return copyCount;
}

export function createAnswerRecord(): AnswerRecord {
  return { unfinished: [], finished: [], isRepeated: false };
}

/** Begins to record answers to messages that have arrived together. */
export function startRecording({ output, phase, serverContext }: StandInConnection): void {
  output.record = createAnswerRecord();
  const { repeatsAnswers, repeatEvery } = serverContext.answerFaults;
  if (phase !== 'ready' || repeatsAnswers === 'never') return;
  groupCount += 1;
  output.record.isRepeated = groupCount % repeatEvery === 0;
}

/** Records the end of an answer; returns a copy of it that is to be sent at once. */
export function finishAnswer({ output, serverContext }: StandInConnection): Buffer | undefined {
  const { record } = output;
  const answer = Buffer.concat(record.unfinished);
  record.unfinished = [];
  record.finished.push(answer);
  const { repeatsAnswers, repeatedAnswers } = serverContext.answerFaults;
  const isChosen = repeatedAnswers === 'all' || record.finished.length === 1;
  if (!record.isRepeated || !isChosen || repeatsAnswers !== 'at-once') return undefined;
  copyCount += 1;
  return answer;
}

/** Sends copies of the recorded answers. */
export function repeatAnswers({ output, serverContext, phase }: StandInConnection): void {
  const { finished, isRepeated } = output.record;
  if (phase !== 'ready' || !isRepeated || output.socket.destroyed) return;
  const isFirst = serverContext.answerFaults.repeatedAnswers === 'first';
  for (const answer of isFirst ? finished.slice(0, 1) : finished) {
    copyCount += 1;
    output.socket.write(answer);
  }
}
