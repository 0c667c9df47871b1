/** Statements and outcomes on links between entries, as lists to keep messages small. */
import type {
  GroupName,
  LogPosition,
  ReadConsistency,
  StatementAccess,
  StatementBody,
  StatementOutcome,
  StatementRequest,
} from '@bramleykeel/core';

type PositionCode = readonly [number, number] | null;

type BodyCode = string | readonly ['read' | 'write', string, string];

export type StatementCode = readonly [
  group: GroupName,
  epoch: number,
  number: number,
  tag: string,
  access: StatementAccess,
  body: BodyCode,
  transaction: readonly [number, 0 | 1, 0 | 1] | null,
  customer: string,
  priority: number,
  consistency: ReadConsistency,
  maxReadAgeMs: number,
  mark: PositionCode,
  values: Readonly<Record<string, string>> | null,
  budgetMs: number,
  startWithinMs: number,
];

export type OutcomeCode = readonly [number, ...(readonly unknown[])];

export function encodeStatement(
  group: GroupName,
  epoch: number,
  request: StatementRequest,
): StatementCode {
  const { transaction, values } = request;
  const flag = (isSet: boolean) => (isSet ? 1 : 0);
  return [
    group,
    epoch,
    request.number,
    request.tag,
    request.access,
    encodeBody(request.body),
    transaction && [transaction.number, flag(transaction.isReadOnly), flag(transaction.isFirst)],
    request.customer,
    request.priority,
    request.consistency,
    request.maxReadAgeMs,
    encodePosition(request.mark),
    Object.keys(values).length > 0 ? values : null,
    Math.round(request.budgetMs),
    Math.round(request.startWithinMs),
  ];
}

export function decodeStatement(code: StatementCode): {
  readonly group: GroupName;
  readonly epoch: number;
  readonly request: StatementRequest;
} {
  const [group, epoch, number, tag, access, body, transaction, customer, priority] = code;
  const [, , , , , , , , , consistency, maxReadAgeMs, mark, values, budgetMs, startWithinMs] = code;
  const request: StatementRequest = {
    number,
    tag,
    access,
    body: decodeBody(body),
    transaction: transaction && {
      number: transaction[0],
      isReadOnly: transaction[1] === 1,
      isFirst: transaction[2] === 1,
    },
    customer: customer as StatementRequest['customer'],
    priority,
    consistency,
    maxReadAgeMs,
    mark: decodePosition(mark),
    values: values ?? {},
    budgetMs,
    startWithinMs,
  };
  return { group, epoch, request };
}

function encodeBody(body: StatementBody): BodyCode {
  return body.kind === 'plain' ? body.text : [body.access, body.shape, body.argument];
}

function decodeBody(code: BodyCode): StatementBody {
  if (typeof code === 'string') return { kind: 'plain', text: code };
  const [access, shape, argument] = code;
  return { kind: 'prepared', access, shape, argument };
}

function encodePosition(position: LogPosition | null): PositionCode {
  return position && [position.term, position.offset];
}

function decodePosition(code: PositionCode): LogPosition | null {
  return code && { term: code[0], offset: code[1] };
}

/** A finished statement is by far the most frequent message, so it has the shortest form. */
export function encodeOutcome(number: number, outcome: StatementOutcome): OutcomeCode {
  if (outcome.kind !== 'done') return [number, outcome];
  const { rows, signature, position, isFromReplica } = outcome;
  return [number, null, signature, encodePosition(position), isFromReplica ? 1 : 0, ...rows];
}

export function decodeOutcome(code: OutcomeCode): {
  readonly number: number;
  readonly outcome: StatementOutcome;
} {
  const [number, other, signature, position, isFromReplica, ...rows] = code;
  if (other !== null) return { number, outcome: other as StatementOutcome };
  const outcome: StatementOutcome = {
    kind: 'done',
    rows: rows as string[],
    signature: signature as string,
    position: decodePosition(position as PositionCode),
    isFromReplica: isFromReplica === 1,
  };
  return { number, outcome };
}
