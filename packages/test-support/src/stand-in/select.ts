/** Executes SELECT in the stand-in: columns, constants, count(*), generate_series and pg_sleep. */
import {
  childNode,
  type ColumnDescription,
  nodeList,
  stringValue,
  type SyntaxNode,
} from '@bramleykeel/postgres-wire';
import {
  columnName,
  evaluateExpression,
  inferTypeId,
  matchesEqualities,
  parseEqualities,
  type SqlValue,
  TYPE_IDS,
  unsupportedError,
  unwrapNode,
} from './expressions.js';
import { SqlError } from './sql-error.js';
import type { Column, Row, Storage } from './storage.js';
import { findTable, type Transaction, visibleRows } from './transaction.js';

export interface ResultSet {
  readonly columns: readonly ColumnDescription[];
  readonly rows: Iterator<readonly SqlValue[]>;
  /** Delay before the first row, for pg_sleep. */
  readonly sleepMs: number;
}

export interface QueryContext {
  readonly storage: Storage;
  readonly transaction: Transaction;
  readonly parameters: readonly SqlValue[];
  /** Returns the rows of pg_stat_activity: the process id and state of each connection. */
  readonly listActivity: () => readonly Row[];
}

interface RowSource {
  readonly columns: readonly Column[];
  readonly rows: () => Iterable<Row>;
}

/** A result column: its description and a function that reads its value from a row. */
interface OutputColumn extends ColumnDescription {
  readonly readValue: (row: Row) => SqlValue;
}

export function runSelect(node: SyntaxNode, context: QueryContext): ResultSet {
  const targets = nodeList(node.targetList).map((target) => childNode(target, 'ResTarget') ?? {});
  const [onlyTarget] = targets;
  const call = onlyTarget && childNode(childNode(onlyTarget, 'val') ?? {}, 'FuncCall');
  if (call && targets.length === 1) {
    const functionResult = runFunctionSelect(call, onlyTarget, node, context);
    if (functionResult) return functionResult;
  }
  const source = resolveSource(node, context);
  const output = targets.flatMap((target) => resolveOutputColumns(target, source, context));
  const rows = projectRows(filterRows(node, source, context), output);
  return { columns: output, rows, sleepMs: 0 };
}

function runFunctionSelect(
  call: SyntaxNode,
  target: SyntaxNode,
  node: SyntaxNode,
  context: QueryContext,
): ResultSet | undefined {
  const name = stringValue(nodeList(call.funcname).at(-1)) ?? '';
  const label = typeof target.name === 'string' ? target.name : name;
  if (name === 'count') {
    const source = resolveSource(node, context);
    const { length } = [...filterRows(node, source, context)];
    return singleRow(label, TYPE_IDS.int8, String(length), 0);
  }
  if (name === 'pg_sleep') {
    const [argument] = nodeList(call.args);
    const seconds = Number(argument ? evaluateExpression(argument, context.parameters) : 0);
    return singleRow(label, TYPE_IDS.text, '', seconds * 1_000);
  }
  if (name === 'generate_series') {
    const rows = projectRows(createSeriesGenerator(call, context, label)(), [
      { name: label, typeId: TYPE_IDS.int4, readValue: (row) => row[label] ?? null },
    ]);
    return { columns: [{ name: label, typeId: TYPE_IDS.int4 }], rows, sleepMs: 0 };
  }
  return undefined;
}

function singleRow(name: string, typeId: number, value: string, sleepMs: number): ResultSet {
  return { columns: [{ name, typeId }], rows: [[value]].values(), sleepMs };
}

function resolveSource(node: SyntaxNode, context: QueryContext): RowSource {
  const from = nodeList(node.fromClause);
  if (from.length === 0) return { columns: [], rows: () => [{}] };
  const [first] = from;
  if (from.length > 1 || !first) throw unsupportedError('joins');
  const [kind, body] = unwrapNode(first);
  if (kind === 'RangeVar') return createTableSource(String(body.relname), context);
  if (kind === 'RangeFunction') return createSeriesSource(body, context);
  throw unsupportedError(kind);
}

function createTableSource(name: string, context: QueryContext): RowSource {
  if (name === 'pg_stat_activity') {
    const columns = [
      { name: 'pid', typeId: TYPE_IDS.int4 },
      { name: 'state', typeId: TYPE_IDS.text },
    ];
    return { columns, rows: context.listActivity };
  }
  const definition = findTable(context.storage, context.transaction, name);
  if (!definition) throw new SqlError('42P01', `relation "${name}" does not exist`);
  const rows = () => visibleRows(context.storage, context.transaction, name).values();
  return { columns: definition.columns, rows };
}

function createSeriesSource(body: SyntaxNode, context: QueryContext): RowSource {
  const list = childNode(nodeList(body.functions)[0] ?? {}, 'List');
  const call = childNode(nodeList(list?.items)[0] ?? {}, 'FuncCall');
  const name = call && stringValue(nodeList(call.funcname).at(-1));
  if (!call || name !== 'generate_series') throw unsupportedError('this function in FROM');
  const alias = childNode(body, 'alias')?.aliasname;
  const column = typeof alias === 'string' ? alias : 'generate_series';
  return {
    columns: [{ name: column, typeId: TYPE_IDS.int4 }],
    rows: createSeriesGenerator(call, context, column),
  };
}

function createSeriesGenerator(call: SyntaxNode, context: QueryContext, column: string) {
  const [first, last] = nodeList(call.args).map((argument) =>
    Number(evaluateExpression(argument, context.parameters)),
  );
  return function* (): Generator<Row> {
    for (let value = first ?? 1; value <= (last ?? 0); value += 1)
      yield { [column]: String(value) };
  };
}

function* filterRows(node: SyntaxNode, source: RowSource, context: QueryContext): Generator<Row> {
  const equalities = parseEqualities(childNode(node, 'whereClause'), context.parameters);
  const limitNode = childNode(node, 'limitCount');
  const limit = limitNode ? Number(evaluateExpression(limitNode, context.parameters)) : Infinity;
  let count = 0;
  for (const row of orderRows(node, source)) {
    if (count >= limit) return;
    if (!matchesEqualities(row, equalities)) continue;
    count += 1;
    yield row;
  }
}

function orderRows(node: SyntaxNode, source: RowSource): Iterable<Row> {
  const keys = nodeList(node.sortClause).map((item) => childNode(item, 'SortBy') ?? {});
  if (keys.length === 0) return source.rows();
  const comparators = keys.map((key) => {
    const column = columnName(childNode(key, 'node') ?? {});
    const definition = source.columns.find(({ name }) => name === column);
    if (!definition) throw new SqlError('42703', `column "${column ?? '?'}" does not exist`);
    const direction = key.sortby_dir === 'SORTBY_DESC' ? -1 : 1;
    return (left: Row, right: Row) => direction * compareValues(left, right, definition);
  });
  return [...source.rows()].sort((left, right) => {
    for (const compare of comparators) {
      const order = compare(left, right);
      if (order !== 0) return order;
    }
    return 0;
  });
}

function compareValues(left: Row, right: Row, { name, typeId }: Column): number {
  const leftValue = left[name] ?? '';
  const rightValue = right[name] ?? '';
  if (typeId !== TYPE_IDS.text) return Number(leftValue) - Number(rightValue);
  if (leftValue === rightValue) return 0;
  return leftValue < rightValue ? -1 : 1;
}

function resolveOutputColumns(
  target: SyntaxNode,
  source: RowSource,
  context: QueryContext,
): OutputColumn[] {
  const value = childNode(target, 'val') ?? {};
  const fields = nodeList(childNode(value, 'ColumnRef')?.fields);
  if (fields.some((field) => 'A_Star' in field)) {
    return source.columns.map(({ name, typeId }) => createColumnOutput(name, typeId, name));
  }
  const label = typeof target.name === 'string' ? target.name : undefined;
  const column = columnName(value);
  if (column !== undefined) {
    const definition = source.columns.find(({ name }) => name === column);
    if (!definition) throw new SqlError('42703', `column "${column}" does not exist`);
    return [createColumnOutput(label ?? column, definition.typeId, column)];
  }
  const constant = evaluateExpression(value, context.parameters);
  return [{ name: label ?? '?column?', typeId: inferTypeId(value), readValue: () => constant }];
}

function createColumnOutput(name: string, typeId: number, column: string): OutputColumn {
  return { name, typeId, readValue: (row) => row[column] ?? null };
}

function* projectRows(
  rows: Iterable<Row>,
  output: readonly OutputColumn[],
): Generator<readonly SqlValue[]> {
  for (const row of rows) yield output.map(({ readValue }) => readValue(row));
}

/** Builds the result set of a RETURNING clause from the changed rows. */
export function runReturning(
  targets: readonly SyntaxNode[],
  columns: readonly Column[],
  rows: readonly Row[],
  context: QueryContext,
): ResultSet {
  const source: RowSource = { columns, rows: () => rows };
  const output = targets.flatMap((target) =>
    resolveOutputColumns(childNode(target, 'ResTarget') ?? {}, source, context),
  );
  return { columns: output, rows: projectRows(rows, output), sleepMs: 0 };
}
