/** Encodes statements and outcomes for links between entries as arrays, to keep messages small. */
import type {
  GroupName,
  Homes,
  LogPosition,
  ReadConsistency,
  StatementAccess,
  StatementBody,
  StatementOutcome,
  StatementRequest,
} from '@bramleykeel/core';

type EncodedPosition = readonly [number, number] | null;

type EncodedBody = string | readonly ['read' | 'write', string, string];

/** A list, because CBOR maps do not keep every name: `__proto__` is renamed when an object is decoded. */
type EncodedValues = readonly (readonly [name: string, value: string])[];

export type EncodedStatement = readonly [
  group: GroupName,
  epoch: number,
  number: number,
  tag: string,
  access: StatementAccess,
  body: EncodedBody,
  transaction: readonly [number, 0 | 1, 0 | 1] | null,
  customer: string,
  priority: number,
  consistency: ReadConsistency,
  maxReadAgeMs: number,
  mark: EncodedPosition,
  values: EncodedValues | null,
  budgetMs: number,
  startWithinMs: number,
  /** Absent in messages of former versions. */
  homes?: Homes,
  /** Absent without overload control, and in messages of former versions. */
  objectiveMs?: number | null,
  /** Absent while no route or customer is limited to some regions, and in messages of former versions. */
  database?: string,
];

export type EncodedOutcome = readonly [number, ...(readonly unknown[])];

export function encodeStatement(
  group: GroupName,
  epoch: number,
  request: StatementRequest,
): EncodedStatement {
  const { transaction, values } = request;
  const flag = (isSet: boolean) => (isSet ? 1 : 0);
  const encoded: [...EncodedStatement] = [
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
    Object.keys(values).length > 0 ? Object.entries(values) : null,
    Math.round(request.budgetMs),
    Math.round(request.startWithinMs),
    request.homes,
  ];
  const { objectiveMs, database } = request;
  if (database !== undefined) encoded.push(objectiveMs ?? null, database);
  else if (objectiveMs !== undefined) encoded.push(objectiveMs);
  return encoded;
}

export function decodeStatement(encoded: EncodedStatement): {
  readonly group: GroupName;
  readonly epoch: number;
  readonly request: StatementRequest;
} {
  const [group, epoch, number, tag, access, body, transaction, customer, priority] = encoded;
  const { 9: consistency, 10: maxReadAgeMs, 11: mark, 12: values } = encoded;
  const { 13: budgetMs, 14: startWithinMs, 15: homes, 16: objectiveMs, 17: database } = encoded;
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
    values: Object.fromEntries(values ?? []),
    budgetMs,
    startWithinMs,
    homes: homes ?? null,
  };
  if (typeof objectiveMs === 'number') Object.assign(request, { objectiveMs });
  if (database !== undefined) Object.assign(request, { database });
  return { group, epoch, request };
}

function encodeBody(body: StatementBody): EncodedBody {
  return body.kind === 'plain' ? body.text : [body.access, body.shape, body.argument];
}

function decodeBody(encoded: EncodedBody): StatementBody {
  if (typeof encoded === 'string') return { kind: 'plain', text: encoded };
  const [access, shape, argument] = encoded;
  return { kind: 'prepared', access, shape, argument };
}

function encodePosition(position: LogPosition | null): EncodedPosition {
  return position && [position.term, position.offset];
}

function decodePosition(encoded: EncodedPosition): LogPosition | null {
  return encoded && { term: encoded[0], offset: encoded[1] };
}

/** Encodes an outcome. Kind `done`, by far the most frequent, has the shortest form. */
export function encodeOutcome(number: number, outcome: StatementOutcome): EncodedOutcome {
  if (outcome.kind !== 'done') return [number, outcome];
  const { rows, signature, position, isFromReplica } = outcome;
  return [number, null, signature, encodePosition(position), isFromReplica ? 1 : 0, ...rows];
}

export function decodeOutcome(encoded: EncodedOutcome): {
  readonly number: number;
  readonly outcome: StatementOutcome;
} {
  const [number, otherOutcome, signature, position, isFromReplica, ...rows] = encoded;
  if (otherOutcome !== null) return { number, outcome: otherOutcome as StatementOutcome };
  const outcome: StatementOutcome = {
    kind: 'done',
    rows: rows as string[],
    signature: signature as string,
    position: decodePosition(position as EncodedPosition),
    isFromReplica: isFromReplica === 1,
  };
  return { number, outcome };
}
