/** SELECT of the stand-in: columns, constants, count(*), generate_series and pg_sleep. */
import {
  childNode,
  type ColumnDescription,
  nodeList,
  stringValue,
  type SyntaxNode,
} from '@bramleykeel/postgres-wire';
import {
  columnName,
  evaluateValue,
  firstEntry,
  matchesAll,
  readEqualities,
  type SqlValue,
  TYPE_IDS,
  unsupported,
  valueType,
} from './expressions.js';
import { SqlFailure } from './sql-failure.js';
import type { Column, Row, Storage } from './storage.js';
import { findTable, type Transaction, visibleRows } from './transaction.js';

export interface ResultSet {
  readonly columns: readonly ColumnDescription[];
  readonly rows: Iterator<readonly SqlValue[]>;
  /** Time that the statement sleeps before its first row, in milliseconds. */
  readonly sleepMs: number;
}

export interface QueryContext {
  readonly storage: Storage;
  readonly transaction: Transaction;
  readonly parameters: readonly SqlValue[];
  /** Rows of pg_stat_activity: the process id and state of each connection. */
  readonly listActivity: () => readonly Row[];
}

interface Source {
  readonly columns: readonly Column[];
  readonly rows: () => Iterable<Row>;
}

/** One column of the answer: its description and its value for a row. */
interface OutputColumn extends ColumnDescription {
  readonly read: (row: Row) => SqlValue;
}

export function runSelect(node: SyntaxNode, context: QueryContext): ResultSet {
  const targets = nodeList(node.targetList).map((target) => childNode(target, 'ResTarget') ?? {});
  const [only] = targets;
  const call = only && childNode(childNode(only, 'val') ?? {}, 'FuncCall');
  if (call && targets.length === 1) {
    const special = runFunctionSelect(call, only, node, context);
    if (special) return special;
  }
  const source = readSource(node, context);
  const output = targets.flatMap((target) => outputColumns(target, source, context));
  const rows = mapRows(selectRows(node, source, context), output);
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
    const source = readSource(node, context);
    const { length } = [...selectRows(node, source, context)];
    return singleRow(label, TYPE_IDS.int8, String(length), 0);
  }
  if (name === 'pg_sleep') {
    const [argument] = nodeList(call.args);
    const seconds = Number(argument ? evaluateValue(argument, context.parameters) : 0);
    return singleRow(label, TYPE_IDS.text, '', seconds * 1_000);
  }
  if (name === 'generate_series') {
    const rows = mapRows(seriesRows(call, context, label)(), [
      { name: label, typeId: TYPE_IDS.int4, read: (row) => row[label] ?? null },
    ]);
    return { columns: [{ name: label, typeId: TYPE_IDS.int4 }], rows, sleepMs: 0 };
  }
  return undefined;
}

function singleRow(name: string, typeId: number, value: string, sleepMs: number): ResultSet {
  return { columns: [{ name, typeId }], rows: [[value]].values(), sleepMs };
}

function readSource(node: SyntaxNode, context: QueryContext): Source {
  const from = nodeList(node.fromClause);
  if (from.length === 0) return { columns: [], rows: () => [{}] };
  const [first] = from;
  if (from.length > 1 || !first) throw unsupported('joins');
  const [kind, body] = firstEntry(first);
  if (kind === 'RangeVar') return tableSource(String(body.relname), context);
  if (kind === 'RangeFunction') return seriesSource(body, context);
  throw unsupported(kind);
}

function tableSource(name: string, context: QueryContext): Source {
  if (name === 'pg_stat_activity') {
    const columns = [
      { name: 'pid', typeId: TYPE_IDS.int4 },
      { name: 'state', typeId: TYPE_IDS.text },
    ];
    return { columns, rows: context.listActivity };
  }
  const definition = findTable(context.storage, context.transaction, name);
  if (!definition) throw new SqlFailure('42P01', `relation "${name}" does not exist`);
  const rows = () => visibleRows(context.storage, context.transaction, name).values();
  return { columns: definition.columns, rows };
}

function seriesSource(body: SyntaxNode, context: QueryContext): Source {
  const list = childNode(nodeList(body.functions)[0] ?? {}, 'List');
  const call = childNode(nodeList(list?.items)[0] ?? {}, 'FuncCall');
  const name = call && stringValue(nodeList(call.funcname).at(-1));
  if (!call || name !== 'generate_series') throw unsupported('this function in FROM');
  const alias = childNode(body, 'alias')?.aliasname;
  const column = typeof alias === 'string' ? alias : 'generate_series';
  return {
    columns: [{ name: column, typeId: TYPE_IDS.int4 }],
    rows: seriesRows(call, context, column),
  };
}

function seriesRows(call: SyntaxNode, context: QueryContext, column: string) {
  const [first, last] = nodeList(call.args).map((argument) =>
    Number(evaluateValue(argument, context.parameters)),
  );
  return function* (): Generator<Row> {
    for (let value = first ?? 1; value <= (last ?? 0); value += 1)
      yield { [column]: String(value) };
  };
}

function* selectRows(node: SyntaxNode, source: Source, context: QueryContext): Generator<Row> {
  const equalities = readEqualities(childNode(node, 'whereClause'), context.parameters);
  const limitNode = childNode(node, 'limitCount');
  const limit = limitNode ? Number(evaluateValue(limitNode, context.parameters)) : Infinity;
  let count = 0;
  for (const row of orderRows(node, source)) {
    if (count >= limit) return;
    if (!matchesAll(row, equalities)) continue;
    count += 1;
    yield row;
  }
}

function orderRows(node: SyntaxNode, source: Source): Iterable<Row> {
  const keys = nodeList(node.sortClause).map((item) => childNode(item, 'SortBy') ?? {});
  if (keys.length === 0) return source.rows();
  const comparators = keys.map((key) => {
    const column = columnName(childNode(key, 'node') ?? {});
    const definition = source.columns.find(({ name }) => name === column);
    if (!definition) throw new SqlFailure('42703', `column "${column ?? '?'}" does not exist`);
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

function outputColumns(target: SyntaxNode, source: Source, context: QueryContext): OutputColumn[] {
  const value = childNode(target, 'val') ?? {};
  const fields = nodeList(childNode(value, 'ColumnRef')?.fields);
  if (fields.some((field) => 'A_Star' in field)) {
    return source.columns.map(({ name, typeId }) => columnOutput(name, typeId, name));
  }
  const label = typeof target.name === 'string' ? target.name : undefined;
  const column = columnName(value);
  if (column !== undefined) {
    const known = source.columns.find(({ name }) => name === column);
    if (!known) throw new SqlFailure('42703', `column "${column}" does not exist`);
    return [columnOutput(label ?? column, known.typeId, column)];
  }
  const constant = evaluateValue(value, context.parameters);
  return [{ name: label ?? '?column?', typeId: valueType(value), read: () => constant }];
}

function columnOutput(name: string, typeId: number, column: string): OutputColumn {
  return { name, typeId, read: (row) => row[column] ?? null };
}

function* mapRows(
  rows: Iterable<Row>,
  output: readonly OutputColumn[],
): Generator<readonly SqlValue[]> {
  for (const row of rows) yield output.map(({ read }) => read(row));
}

/** Builds the answer of a RETURNING clause over the changed rows. */
export function runReturning(
  targets: readonly SyntaxNode[],
  columns: readonly Column[],
  rows: readonly Row[],
  context: QueryContext,
): ResultSet {
  const source: Source = { columns, rows: () => rows };
  const output = targets.flatMap((target) =>
    outputColumns(childNode(target, 'ResTarget') ?? {}, source, context),
  );
  return { columns: output, rows: mapRows(rows, output), sleepMs: 0 };
}
