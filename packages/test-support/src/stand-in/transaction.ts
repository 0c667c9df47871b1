/**
 * Transactions of the stand-in: uncommitted changes are buffered and visible only to their own
 * connection.
 */
import type { Row, RowChange, Storage, TableDefinition } from './storage.js';

export interface Transaction {
  readonly changes: RowChange[];
}

export function createTransaction(): Transaction {
  return { changes: [] };
}

export function findTable(
  storage: Storage,
  transaction: Transaction,
  name: string,
): TableDefinition | undefined {
  for (const change of transaction.changes) {
    if (change.kind === 'create' && change.table.name === name) return change.table;
  }
  return storage.tables.get(name)?.definition;
}

/**
 * Returns the rows of a table visible to the transaction: committed rows with its own changes
 * applied.
 */
export function visibleRows(
  storage: Storage,
  transaction: Transaction,
  table: string,
): Map<string, Row> {
  const committed = storage.tables.get(table)?.rows ?? new Map<string, Row>();
  const ownChanges = transaction.changes.filter(
    (change) => change.kind !== 'create' && change.table === table,
  );
  if (ownChanges.length === 0) return committed;
  const rows = new Map(committed);
  for (const change of ownChanges) {
    if (change.kind === 'create') continue;
    if (change.kind === 'delete') rows.delete(change.key);
    else rows.set(change.key, change.row);
  }
  return rows;
}
