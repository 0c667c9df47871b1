/** Buffered output of one stand-in connection, with backpressure. */
import type { Socket } from 'node:net';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { type AnswerRecord, createAnswerRecord } from './repeated-answers.js';

const FLUSH_THRESHOLD_BYTES = 16_384;

export interface ConnectionOutput {
  readonly socket: Socket;
  pendingMessages: Buffer[];
  pendingBytes: number;
  /** Answers that a fault may repeat; unused without that fault. */
  record: AnswerRecord;
  readonly isRecording: () => boolean;
}

export function createOutput(socket: Socket, isRecording: () => boolean): ConnectionOutput {
  const record = createAnswerRecord();
  return { socket, pendingMessages: [], pendingBytes: 0, record, isRecording };
}

/**
 * Buffers a message. Once the buffer reaches the threshold, writes it and waits for the socket to
 * drain.
 */
export async function send(output: ConnectionOutput, message: Buffer): Promise<void> {
  if (output.isRecording()) output.record.unfinished.push(message);
  output.pendingMessages.push(message);
  output.pendingBytes += message.length;
  if (output.pendingBytes < FLUSH_THRESHOLD_BYTES) return;
  await flush(output);
  // Lets other connections proceed, as on a server that runs one process per connection.
  await yieldToEventLoop();
}

export async function flush(output: ConnectionOutput): Promise<void> {
  if (output.pendingBytes === 0) return;
  const { socket } = output;
  const bytes = Buffer.concat(output.pendingMessages);
  output.pendingMessages = [];
  output.pendingBytes = 0;
  if (socket.destroyed || socket.write(bytes)) return;
  await new Promise<void>((resolve) => {
    const onWritable = () => {
      socket.off('drain', onWritable);
      socket.off('close', onWritable);
      resolve();
    };
    socket.once('drain', onWritable);
    socket.once('close', onWritable);
  });
}
