/** Messages that a target sends without a request for them. Answers carry no id, so a connection that got one is out of step. */
import {
  type FramingResult,
  readSqlState,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';

/** Describes the message by which a connection was found to be out of step. */
export type OutOfStepReport = {
  readonly address: string;
  readonly processId: number;
} & OutOfStepCause;

export type OutOfStepCause = ReportedMessage | UnreadableMessage;

export interface ReportedMessage {
  /**
   * Whether the connection was used by a request or an internal query. `copy` is a copy of the answer itself, which
   * does no harm; the connection stays open.
   */
  readonly moment: 'unused' | 'in-request' | 'copy';
  /** Type letter of the message; the last one of a copy. */
  readonly messageType: string;
  readonly bytes: number;
  /** SQLSTATE of an ErrorResponse, such as 57P01 from a server that is shut down. */
  readonly sqlState?: string;
}

/** A message whose length is not allowed, so that nothing after it can be read either. */
interface UnreadableMessage {
  readonly moment: 'unreadable';
  readonly problem: 'malformed' | 'too-large';
  /** Length that a message has which is too large. */
  readonly lengthBytes?: number;
}

/** Describes a message without its content. */
export function describeMessage(message: WireMessage): Omit<ReportedMessage, 'moment'> {
  const { type, frame } = message;
  const described = { messageType: String.fromCharCode(type), bytes: frame.length };
  return type === SERVER.errorResponse
    ? { ...described, sqlState: readSqlState(message) }
    : described;
}

/** Describes a message that the framer rejected. */
export function describeUnreadable(
  framed: Exclude<FramingResult, { readonly kind: 'messages' }>,
): UnreadableMessage {
  const { kind: problem } = framed;
  const length = framed.kind === 'too-large' ? { lengthBytes: framed.lengthBytes } : {};
  return { moment: 'unreadable', problem, ...length };
}

/** Whether a target may send messages of this type at any time. */
export function isAsynchronous({ type }: WireMessage): boolean {
  return (
    type === SERVER.noticeResponse ||
    type === SERVER.parameterStatus ||
    type === SERVER.notificationResponse
  );
}

/**
 * Finds the first message that may not arrive while no request uses the connection.
 *
 * @example
 * findUnrequested([parameterStatus, dataRow]); // dataRow
 */
export function findUnrequested(messages: readonly WireMessage[]): WireMessage | undefined {
  return messages.find((message) => !isAsynchronous(message));
}

/** Splits messages after the first ReadyForQuery. */
export function splitAtReady(messages: readonly WireMessage[]): {
  readonly answer: readonly WireMessage[];
  readonly rest: readonly WireMessage[];
} {
  const count = messages.findIndex(({ type }) => type === SERVER.readyForQuery) + 1;
  if (count === 0) return { answer: messages, rest: [] };
  return { answer: messages.slice(0, count), rest: messages.slice(count) };
}
