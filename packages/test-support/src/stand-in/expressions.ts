/** Evaluates the expressions and conditions that the stand-in supports from a syntax tree. */
import { childNode, nodeList, stringValue, type SyntaxNode } from '@bramleykeel/postgres-wire';
import { SqlError } from './sql-error.js';
import type { Row } from './storage.js';

export type SqlValue = string | null;

export const TYPE_IDS = { int4: 23, int8: 20, text: 25, bool: 16 } as const;

export function unsupportedError(what: string): SqlError {
  return new SqlError('0A000', `the stand-in does not support ${what}`);
}

/** Evaluates a constant, a parameter or a cast of one of them. */
export function evaluateExpression(node: SyntaxNode, parameters: readonly SqlValue[]): SqlValue {
  const [kind, body] = unwrapNode(node);
  if (kind === 'A_Const') return evaluateConstant(body);
  if (kind === 'ParamRef') return parameters[Number(body.number) - 1] ?? null;
  if (kind === 'TypeCast') return evaluateExpression(childNode(body, 'arg') ?? {}, parameters);
  throw unsupportedError(`the expression ${kind}`);
}

function evaluateConstant(body: SyntaxNode): SqlValue {
  if (body.isnull) return null;
  const text = childNode(body, 'sval')?.sval;
  if (childNode(body, 'sval')) return typeof text === 'string' ? text : '';
  const integer = childNode(body, 'ival');
  if (integer) return typeof integer.ival === 'number' ? String(integer.ival) : '0';
  const decimal = childNode(body, 'fval')?.fval;
  if (typeof decimal === 'string') return decimal;
  const booleanNode = childNode(body, 'boolval');
  if (booleanNode) return booleanNode.boolval ? 't' : 'f';
  throw unsupportedError('this constant');
}

/** Returns the type OID of an expression in a target list. */
export function inferTypeId(node: SyntaxNode): number {
  const [kind, body] = unwrapNode(node);
  if (kind === 'A_Const' && childNode(body, 'ival')) return TYPE_IDS.int4;
  if (kind === 'A_Const' && childNode(body, 'boolval')) return TYPE_IDS.bool;
  if (kind === 'TypeCast') return resolveTypeId(childNode(body, 'typeName') ?? {});
  return TYPE_IDS.text;
}

export function resolveTypeId(typeName: SyntaxNode): number {
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

/** Parses a WHERE clause that consists of equalities joined with AND. */
export function parseEqualities(
  where: SyntaxNode | undefined,
  parameters: readonly SqlValue[],
): Equality[] {
  if (!where) return [];
  const [kind, body] = unwrapNode(where);
  if (kind === 'BoolExpr' && body.boolop === 'AND_EXPR') {
    return nodeList(body.args).flatMap((part) => parseEqualities(part, parameters));
  }
  const isEquality =
    kind === 'A_Expr' && body.kind === 'AEXPR_OP' && stringValue(nodeList(body.name)[0]) === '=';
  if (!isEquality) throw unsupportedError('conditions other than equality');
  const left = childNode(body, 'lexpr') ?? {};
  const right = childNode(body, 'rexpr') ?? {};
  const column = columnName(left) ?? columnName(right);
  if (column === undefined) throw unsupportedError('conditions without a column');
  const valueNode = columnName(left) === undefined ? left : right;
  return [{ column, value: evaluateExpression(valueNode, parameters) }];
}

export function matchesEqualities(row: Row, equalities: readonly Equality[]): boolean {
  return equalities.every(({ column, value }) => value !== null && row[column] === value);
}

export function columnName(node: SyntaxNode): string | undefined {
  const reference = childNode(node, 'ColumnRef');
  return reference && stringValue(nodeList(reference.fields).at(-1));
}

/** Splits a node `{ Kind: body }` into its kind and body. */
export function unwrapNode(node: SyntaxNode): [string, SyntaxNode] {
  const [entry] = Object.entries(node);
  if (!entry) return ['', {}];
  return [entry[0], entry[1] as SyntaxNode];
}
