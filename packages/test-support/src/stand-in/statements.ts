/** Executes parsed statements against the storage of the stand-in. */
import {
  childNode,
  nodeList,
  type ParsedStatement,
  type SyntaxNode,
} from '@bramleykeel/postgres-wire';
import {
  evaluateExpression,
  type Equality,
  matchesEqualities,
  parseEqualities,
  type SqlValue,
  TYPE_IDS,
  resolveTypeId,
  unsupportedError,
} from './expressions.js';
import { type QueryContext, type ResultSet, runReturning, runSelect } from './select.js';
import { mayCommit, type StandInServer } from './server-state.js';
import { SqlError } from './sql-error.js';
import { type Column, lastEntry, type Row, type TableDefinition } from './storage.js';
import { findTable, type Transaction, visibleRows } from './transaction.js';

export interface StatementResult {
  /** Command tag; for SELECT, the connection appends the number of rows sent. */
  readonly tag: string;
  readonly resultSet: ResultSet | undefined;
}

export interface StatementContext {
  readonly server: StandInServer;
  readonly transaction: Transaction;
  readonly settings: Map<string, string>;
  readonly parameters: readonly SqlValue[];
  readonly listActivity: () => readonly Row[];
}

let nextRowNumber = 1;

/** Executes any statement except transaction control, which the connection handles. */
export function runStatement(
  statement: ParsedStatement,
  context: StatementContext,
): StatementResult {
  const { kind, node } = statement;
  const { storage } = context.server;
  const queryContext: QueryContext = {
    storage,
    transaction: context.transaction,
    parameters: context.parameters,
    listActivity: context.listActivity,
  };
  switch (kind) {
    case 'SelectStmt':
      if (nodeList(node.valuesLists).length > 0) throw unsupportedError('VALUES');
      if (nodeList(node.lockingClause).length > 0) requirePrimary(context.server);
      return { tag: 'SELECT', resultSet: runSelect(node, queryContext) };
    case 'InsertStmt':
      return runInsert(node, context, queryContext);
    case 'UpdateStmt':
      return runUpdate(node, context, queryContext);
    case 'DeleteStmt':
      return runDelete(node, context, queryContext);
    case 'CreateStmt':
      return runCreateTable(node, context);
    case 'VariableSetStmt':
      return runSet(node, context);
    case 'VariableShowStmt':
      return runShow(String(node.name).toLowerCase(), context);
    default:
      throw unsupportedError(kind);
  }
}

function requirePrimary(server: StandInServer): void {
  if (mayCommit(server)) return;
  throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
}

function requireTable(relation: SyntaxNode | undefined, context: StatementContext) {
  const name = String(relation?.relname);
  const definition = findTable(context.server.storage, context.transaction, name);
  if (!definition) throw new SqlError('42P01', `relation "${name}" does not exist`);
  return definition;
}

function runInsert(
  node: SyntaxNode,
  context: StatementContext,
  queryContext: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const explicitNames = nodeList(node.cols).map((column) => childNode(column, 'ResTarget')?.name);
  const columnNames =
    explicitNames.length > 0 ? explicitNames.map(String) : table.columns.map(({ name }) => name);
  const select = childNode(childNode(node, 'selectStmt') ?? {}, 'SelectStmt');
  const valueLists = nodeList(select?.valuesLists);
  if (valueLists.length === 0) throw unsupportedError('INSERT without VALUES');
  const rows = valueLists.map((list) => {
    const values = nodeList(childNode(list, 'List')?.items);
    return buildRow(table, columnNames, values, queryContext.parameters);
  });
  for (const row of rows) insertRow(table, row, context);
  return {
    tag: `INSERT 0 ${rows.length}`,
    resultSet: buildReturningResult(node, table, rows, queryContext),
  };
}

function buildRow(
  table: TableDefinition,
  columnNames: readonly string[],
  values: readonly SyntaxNode[],
  parameters: readonly SqlValue[],
): Row {
  if (values.length > columnNames.length) {
    throw new SqlError('42601', 'INSERT has more expressions than target columns');
  }
  const row: Record<string, SqlValue> = {};
  for (const { name } of table.columns) row[name] = null;
  for (const [index, value] of values.entries()) {
    const name = columnNames[index] ?? '';
    if (!(name in row)) throw new SqlError('42703', `column "${name}" does not exist`);
    row[name] = evaluateExpression(value, parameters);
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
      throw new SqlError('23502', `null value in column "${table.primaryKey}"`);
    }
    key = value;
  }
  if (visibleRows(server.storage, transaction, table.name).has(key)) {
    const constraint = `${table.name}_pkey`;
    throw new SqlError('23505', `duplicate key value violates unique constraint "${constraint}"`);
  }
  transaction.changes.push({ kind: 'insert', table: table.name, key, row });
}

function runUpdate(
  node: SyntaxNode,
  context: StatementContext,
  queryContext: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const assignments = nodeList(node.targetList).map((target) => {
    const assignment = childNode(target, 'ResTarget') ?? {};
    const value = evaluateExpression(childNode(assignment, 'val') ?? {}, queryContext.parameters);
    return [String(assignment.name), value] as const;
  });
  const changed: Row[] = [];
  for (const [key, row] of findMatchingRows(node, table, context, queryContext)) {
    const updatedRow = { ...row, ...Object.fromEntries(assignments) };
    changed.push(updatedRow);
    context.transaction.changes.push({ kind: 'update', table: table.name, key, row: updatedRow });
  }
  return {
    tag: `UPDATE ${changed.length}`,
    resultSet: buildReturningResult(node, table, changed, queryContext),
  };
}

function runDelete(
  node: SyntaxNode,
  context: StatementContext,
  queryContext: QueryContext,
): StatementResult {
  requirePrimary(context.server);
  const table = requireTable(childNode(node, 'relation'), context);
  const removed = findMatchingRows(node, table, context, queryContext);
  for (const [key] of removed) {
    context.transaction.changes.push({ kind: 'delete', table: table.name, key });
  }
  const rows = removed.map(([, row]) => row);
  return {
    tag: `DELETE ${rows.length}`,
    resultSet: buildReturningResult(node, table, rows, queryContext),
  };
}

function findMatchingRows(
  node: SyntaxNode,
  table: TableDefinition,
  context: StatementContext,
  queryContext: QueryContext,
): [string, Row][] {
  const where = childNode(node, 'whereClause');
  const equalities: Equality[] = parseEqualities(where, queryContext.parameters);
  const rows = visibleRows(context.server.storage, context.transaction, table.name);
  const primaryKeyValue = equalities.find(({ column }) => column === table.primaryKey)?.value;
  if (typeof primaryKeyValue === 'string') {
    const row = rows.get(primaryKeyValue);
    return row && matchesEqualities(row, equalities) ? [[primaryKeyValue, row]] : [];
  }
  return [...rows].filter(([, row]) => matchesEqualities(row, equalities));
}

function buildReturningResult(
  node: SyntaxNode,
  table: TableDefinition,
  rows: readonly Row[],
  queryContext: QueryContext,
): ResultSet | undefined {
  const clause = childNode(node, 'returningClause');
  const targets = nodeList(clause?.exprs ?? node.returningList);
  if (targets.length === 0) return undefined;
  return runReturning(targets, table.columns, rows, queryContext);
}

function runCreateTable(node: SyntaxNode, context: StatementContext): StatementResult {
  requirePrimary(context.server);
  const name = String(childNode(node, 'relation')?.relname);
  if (findTable(context.server.storage, context.transaction, name)) {
    if (node.if_not_exists) return { tag: 'CREATE TABLE', resultSet: undefined };
    throw new SqlError('42P07', `relation "${name}" already exists`);
  }
  const columns: Column[] = [];
  let primaryKey: string | null = null;
  for (const element of nodeList(node.tableElts)) {
    const definition = childNode(element, 'ColumnDef');
    if (!definition) throw unsupportedError('table constraints');
    const column = String(definition.colname);
    columns.push({ name: column, typeId: resolveTypeId(childNode(definition, 'typeName') ?? {}) });
    const isPrimaryKeyColumn = nodeList(definition.constraints).some(
      (constraint) => childNode(constraint, 'Constraint')?.contype === 'CONSTR_PRIMARY',
    );
    if (isPrimaryKeyColumn) primaryKey = column;
  }
  context.transaction.changes.push({ kind: 'create', table: { name, columns, primaryKey } });
  return { tag: 'CREATE TABLE', resultSet: undefined };
}

function runSet(node: SyntaxNode, context: StatementContext): StatementResult {
  const name = String(node.name).toLowerCase();
  if (node.kind === 'VAR_RESET_ALL') context.settings.clear();
  else if (node.kind === 'VAR_SET_VALUE') {
    const values = nodeList(node.args).map((value) => evaluateExpression(value, []) ?? '');
    context.settings.set(name, values.join(', '));
  } else context.settings.delete(name);
  const isReset = node.kind === 'VAR_RESET' || node.kind === 'VAR_RESET_ALL';
  return { tag: isReset ? 'RESET' : 'SET', resultSet: undefined };
}

function runShow(name: string, context: StatementContext): StatementResult {
  const position = lastEntry(context.server.storage);
  const builtIn: Readonly<Record<string, string>> = {
    log_position: `${position.term}/${position.offset}`,
    server_version: '16.0',
    server_name: context.server.name,
    server_role: context.server.role,
    transaction_read_only: context.server.role === 'primary' ? 'off' : 'on',
  };
  const value = context.settings.get(name) ?? builtIn[name];
  if (value === undefined) {
    throw new SqlError('42704', `unrecognized configuration parameter "${name}"`);
  }
  const columns = [{ name, typeId: TYPE_IDS.text }];
  return { tag: 'SHOW', resultSet: { columns, rows: [[value]].values(), sleepMs: 0 } };
}

/**
 * Returns the result columns of a statement without executing it, or `undefined` if it returns no
 * rows.
 */
export function describeStatement(
  statement: ParsedStatement,
  context: StatementContext,
): ResultSet['columns'] | undefined {
  const { kind, node } = statement;
  const queryContext: QueryContext = {
    storage: context.server.storage,
    transaction: context.transaction,
    parameters: context.parameters,
    listActivity: context.listActivity,
  };
  if (kind === 'SelectStmt') return runSelect(node, queryContext).columns;
  if (kind === 'VariableShowStmt') {
    return [{ name: String(node.name).toLowerCase(), typeId: TYPE_IDS.text }];
  }
  const mayHaveReturning = kind === 'InsertStmt' || kind === 'UpdateStmt' || kind === 'DeleteStmt';
  if (!mayHaveReturning) return undefined;
  const table = requireTable(childNode(node, 'relation'), context);
  return buildReturningResult(node, table, [], queryContext)?.columns;
}

/** Returns the highest parameter number used in a statement. */
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
