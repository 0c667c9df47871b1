/** Values and conditions that the stand-in can work out from a syntax tree. */
import { childNode, nodeList, stringValue, type SyntaxNode } from '@bramleykeel/postgres-wire';
import { SqlFailure } from './sql-failure.js';
import type { Row } from './storage.js';

export type SqlValue = string | null;

export const TYPE_IDS = { int4: 23, int8: 20, text: 25, bool: 16 } as const;

export function unsupported(what: string): SqlFailure {
  return new SqlFailure('0A000', `the stand-in does not support ${what}`);
}

/** Works out a constant, a parameter or a cast of one of them. */
export function evaluateValue(node: SyntaxNode, parameters: readonly SqlValue[]): SqlValue {
  const [kind, body] = firstEntry(node);
  if (kind === 'A_Const') return constantValue(body);
  if (kind === 'ParamRef') return parameters[Number(body.number) - 1] ?? null;
  if (kind === 'TypeCast') return evaluateValue(childNode(body, 'arg') ?? {}, parameters);
  throw unsupported(`the expression ${kind}`);
}

function constantValue(body: SyntaxNode): SqlValue {
  if (body.isnull) return null;
  const text = childNode(body, 'sval')?.sval;
  if (childNode(body, 'sval')) return typeof text === 'string' ? text : '';
  const integer = childNode(body, 'ival');
  if (integer) return typeof integer.ival === 'number' ? String(integer.ival) : '0';
  const decimal = childNode(body, 'fval')?.fval;
  if (typeof decimal === 'string') return decimal;
  const truth = childNode(body, 'boolval');
  if (truth) return truth.boolval ? 't' : 'f';
  throw unsupported('this constant');
}

/** The type of a value in a target list. */
export function valueType(node: SyntaxNode): number {
  const [kind, body] = firstEntry(node);
  if (kind === 'A_Const' && childNode(body, 'ival')) return TYPE_IDS.int4;
  if (kind === 'A_Const' && childNode(body, 'boolval')) return TYPE_IDS.bool;
  if (kind === 'TypeCast') return typeIdOf(childNode(body, 'typeName') ?? {});
  return TYPE_IDS.text;
}

export function typeIdOf(typeName: SyntaxNode): number {
  const name = stringValue(nodeList(typeName.names).at(-1));
  if (name === 'int4' || name === 'int2') return TYPE_IDS.int4;
  if (name === 'int8') return TYPE_IDS.int8;
  if (name === 'bool') return TYPE_IDS.bool;
  return TYPE_IDS.text;
}

export interface Equality {
  readonly column: string;
  readonly value: SqlValue;
}

/** Reads a WHERE clause made of equalities joined with AND. */
export function readEqualities(
  where: SyntaxNode | undefined,
  parameters: readonly SqlValue[],
): Equality[] {
  if (!where) return [];
  const [kind, body] = firstEntry(where);
  if (kind === 'BoolExpr' && body.boolop === 'AND_EXPR') {
    return nodeList(body.args).flatMap((part) => readEqualities(part, parameters));
  }
  const isEquality =
    kind === 'A_Expr' && body.kind === 'AEXPR_OP' && stringValue(nodeList(body.name)[0]) === '=';
  if (!isEquality) throw unsupported('conditions other than equality');
  const left = childNode(body, 'lexpr') ?? {};
  const right = childNode(body, 'rexpr') ?? {};
  const column = columnName(left) ?? columnName(right);
  if (column === undefined) throw unsupported('conditions without a column');
  const other = columnName(left) === undefined ? left : right;
  return [{ column, value: evaluateValue(other, parameters) }];
}

export function matchesAll(row: Row, equalities: readonly Equality[]): boolean {
  return equalities.every(({ column, value }) => value !== null && row[column] === value);
}

export function columnName(node: SyntaxNode): string | undefined {
  const reference = childNode(node, 'ColumnRef');
  return reference && stringValue(nodeList(reference.fields).at(-1));
}

export function firstEntry(node: SyntaxNode): [string, SyntaxNode] {
  const [entry] = Object.entries(node);
  if (!entry) return ['', {}];
  return [entry[0], entry[1] as SyntaxNode];
}
