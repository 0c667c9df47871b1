/** Runs one parsed statement against the stand-in's storage. */
import {
  childNode,
  nodeList,
  type ParsedStatement,
  type SyntaxNode,
} from '@bramleykeel/postgres-wire';
import {
  evaluateValue,
  type Equality,
  matchesAll,
  readEqualities,
  type SqlValue,
  TYPE_IDS,
  typeIdOf,
  unsupported,
} from './expressions.js';
import { type QueryContext, type ResultSet, runReturning, runSelect } from './select.js';
import { mayCommit, type StandInServer } from './server-state.js';
import { SqlFailure } from './sql-failure.js';
import { type Column, lastEntry, type Row, type TableDefinition } from './storage.js';
import { findTable, type Transaction, visibleRows } from './transaction.js';

export interface StatementResult {
  /** Command tag; rows that were sent are added to SELECT tags by the session. */
  readonly tag: string;
  readonly result: ResultSet | undefined;
}

export interface StatementContext {
  readonly server: StandInServer;
  readonly transaction: Transaction;
  readonly settings: Map<string, string>;
  readonly parameters: readonly SqlValue[];
  readonly listActivity: () => readonly Row[];
}

let nextRowNumber = 1;

/** Runs anything but transaction control, which the session does itself. */
export function runStatement(
  statement: ParsedStatement,
  context: StatementContext,
): StatementResult {
  const { kind, node } = statement;
  const { storage } = context.server;
  const query: QueryContext = {
    storage,
    transaction: context.transaction,
    parameters: context.parameters,
    listActivity: context.listActivity,
  };
  switch (kind) {
    case 'SelectStmt':
      if (nodeList(node.valuesLists).length > 0) throw unsupported('VALUES');
      if (nodeList(node.lockingClause).length > 0) requirePrimary(context.server);
      return { tag: 'SELECT', result: runSelect(node, query) };
    case 'InsertStmt':
      return runInsert(node, context, query);
    case 'UpdateStmt':
      return runUpdate(node, context, query);
    case 'DeleteStmt':
      return runDelete(node, context, query);
    case 'CreateStmt':
      return runCreate(node, context);
    case 'VariableSetStmt':
      return runSet(node, context);
    case 'VariableShowStmt':
      return runShow(String(node.name).toLowerCase(), context);
    default:
      throw unsupported(kind);
  }
}

function requirePrimary(server: StandInServer): void {
  if (mayCommit(server)) return;
  throw new SqlFailure('25006', 'cannot execute a write in a read-only transaction');
}

function requireTable(relation: SyntaxNode | undefined, context: StatementContext) {
  const name = String(relation?.relname);
  const definition = findTable(context.server.storage, context.transaction, name);
  if (!definition) throw new SqlFailure('42P01', `relation "${name}" does not exist`);
  return definition;
}

function runInsert(
  node: SyntaxNode,
  context: StatementContext,
  query: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const named = nodeList(node.cols).map((column) => childNode(column, 'ResTarget')?.name);
  const names = named.length > 0 ? named.map(String) : table.columns.map(({ name }) => name);
  const select = childNode(childNode(node, 'selectStmt') ?? {}, 'SelectStmt');
  const lists = nodeList(select?.valuesLists);
  if (lists.length === 0) throw unsupported('INSERT without VALUES');
  const rows = lists.map((list) => {
    const values = nodeList(childNode(list, 'List')?.items);
    return readRow(table, names, values, query.parameters);
  });
  for (const row of rows) insertRow(table, row, context);
  return { tag: `INSERT 0 ${rows.length}`, result: returning(node, table, rows, query) };
}

function readRow(
  table: TableDefinition,
  names: readonly string[],
  values: readonly SyntaxNode[],
  parameters: readonly SqlValue[],
): Row {
  if (values.length > names.length) {
    throw new SqlFailure('42601', 'INSERT has more expressions than target columns');
  }
  const row: Record<string, SqlValue> = {};
  for (const { name } of table.columns) row[name] = null;
  for (const [index, value] of values.entries()) {
    const name = names[index] ?? '';
    if (!(name in row)) throw new SqlFailure('42703', `column "${name}" does not exist`);
    row[name] = evaluateValue(value, parameters);
  }
  return row;
}

function insertRow(table: TableDefinition, row: Row, context: StatementContext): void {
  const { transaction, server } = context;
  let key: string;
  if (table.primaryKey === null) {
    key = `#${nextRowNumber}`;
    nextRowNumber += 1;
  } else {
    const value = row[table.primaryKey];
    if (value === null || value === undefined) {
      throw new SqlFailure('23502', `null value in column "${table.primaryKey}"`);
    }
    key = value;
  }
  if (visibleRows(server.storage, transaction, table.name).has(key)) {
    const constraint = `${table.name}_pkey`;
    throw new SqlFailure('23505', `duplicate key value violates unique constraint "${constraint}"`);
  }
  transaction.changes.push({ kind: 'insert', table: table.name, key, row });
}

function runUpdate(
  node: SyntaxNode,
  context: StatementContext,
  query: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const assignments = nodeList(node.targetList).map((target) => {
    const assignment = childNode(target, 'ResTarget') ?? {};
    const value = evaluateValue(childNode(assignment, 'val') ?? {}, query.parameters);
    return [String(assignment.name), value] as const;
  });
  const changed: Row[] = [];
  for (const [key, row] of matchingRows(node, table, context, query)) {
    const next = { ...row, ...Object.fromEntries(assignments) };
    changed.push(next);
    context.transaction.changes.push({ kind: 'update', table: table.name, key, row: next });
  }
  return { tag: `UPDATE ${changed.length}`, result: returning(node, table, changed, query) };
}

function runDelete(
  node: SyntaxNode,
  context: StatementContext,
  query: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const removed = matchingRows(node, table, context, query);
  for (const [key] of removed) {
    context.transaction.changes.push({ kind: 'delete', table: table.name, key });
  }
  const rows = removed.map(([, row]) => row);
  return { tag: `DELETE ${rows.length}`, result: returning(node, table, rows, query) };
}

function matchingRows(
  node: SyntaxNode,
  table: TableDefinition,
  context: StatementContext,
  query: QueryContext,
): [string, Row][] {
  const where = childNode(node, 'whereClause');
  const equalities: Equality[] = readEqualities(where, query.parameters);
  const rows = visibleRows(context.server.storage, context.transaction, table.name);
  const byKey = equalities.find(({ column }) => column === table.primaryKey)?.value;
  if (typeof byKey === 'string') {
    const row = rows.get(byKey);
    return row && matchesAll(row, equalities) ? [[byKey, row]] : [];
  }
  return [...rows].filter(([, row]) => matchesAll(row, equalities));
}

function returning(
  node: SyntaxNode,
  table: TableDefinition,
  rows: readonly Row[],
  query: QueryContext,
): ResultSet | undefined {
  const clause = childNode(node, 'returningClause');
  const targets = nodeList(clause?.exprs ?? node.returningList);
  if (targets.length === 0) return undefined;
  return runReturning(targets, table.columns, rows, query);
}

function runCreate(node: SyntaxNode, context: StatementContext): StatementResult {
  requirePrimary(context.server);
  const name = String(childNode(node, 'relation')?.relname);
  if (findTable(context.server.storage, context.transaction, name)) {
    if (node.if_not_exists) return { tag: 'CREATE TABLE', result: undefined };
    throw new SqlFailure('42P07', `relation "${name}" already exists`);
  }
  const columns: Column[] = [];
  let primaryKey: string | null = null;
  for (const element of nodeList(node.tableElts)) {
    const definition = childNode(element, 'ColumnDef');
    if (!definition) throw unsupported('table constraints');
    const column = String(definition.colname);
    columns.push({ name: column, typeId: typeIdOf(childNode(definition, 'typeName') ?? {}) });
    const isKey = nodeList(definition.constraints).some(
      (constraint) => childNode(constraint, 'Constraint')?.contype === 'CONSTR_PRIMARY',
    );
    if (isKey) primaryKey = column;
  }
  context.transaction.changes.push({ kind: 'create', table: { name, columns, primaryKey } });
  return { tag: 'CREATE TABLE', result: undefined };
}

function runSet(node: SyntaxNode, context: StatementContext): StatementResult {
  const name = String(node.name).toLowerCase();
  if (node.kind === 'VAR_RESET_ALL') context.settings.clear();
  else if (node.kind === 'VAR_SET_VALUE') {
    const values = nodeList(node.args).map((value) => evaluateValue(value, []) ?? '');
    context.settings.set(name, values.join(', '));
  } else context.settings.delete(name);
  const isReset = node.kind === 'VAR_RESET' || node.kind === 'VAR_RESET_ALL';
  return { tag: isReset ? 'RESET' : 'SET', result: undefined };
}

function runShow(name: string, context: StatementContext): StatementResult {
  const position = lastEntry(context.server.storage);
  const builtIn: Readonly<Record<string, string>> = {
    log_position: `${position.term}/${position.offset}`,
    server_version: '16.0',
    server_role: context.server.role,
    transaction_read_only: context.server.role === 'primary' ? 'off' : 'on',
  };
  const value = context.settings.get(name) ?? builtIn[name];
  if (value === undefined) {
    throw new SqlFailure('42704', `unrecognized configuration parameter "${name}"`);
  }
  const columns = [{ name, typeId: TYPE_IDS.text }];
  return { tag: 'SHOW', result: { columns, rows: [[value]].values(), sleepMs: 0 } };
}

/** Describes the columns of a statement without running it; `undefined` when it returns none. */
export function describeStatement(
  statement: ParsedStatement,
  context: StatementContext,
): ResultSet['columns'] | undefined {
  const { kind, node } = statement;
  const query: QueryContext = {
    storage: context.server.storage,
    transaction: context.transaction,
    parameters: context.parameters,
    listActivity: context.listActivity,
  };
  if (kind === 'SelectStmt') return runSelect(node, query).columns;
  if (kind === 'VariableShowStmt') {
    return [{ name: String(node.name).toLowerCase(), typeId: TYPE_IDS.text }];
  }
  const hasReturning = kind === 'InsertStmt' || kind === 'UpdateStmt' || kind === 'DeleteStmt';
  if (!hasReturning) return undefined;
  const table = requireTable(childNode(node, 'relation'), context);
  return returning(node, table, [], query)?.columns;
}

/** Highest parameter number of a statement. */
export function countParameters(node: unknown): number {
  let highest = 0;
  JSON.stringify(node, (key, value: unknown) => {
    if (key === 'ParamRef' && typeof value === 'object' && value !== null && 'number' in value) {
      highest = Math.max(highest, Number(value.number));
    }
    return value;
  });
  return highest;
}
