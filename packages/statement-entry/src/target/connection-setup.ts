/** Brings a pooled connection to the values and prepared names that a session's statement needs. */
import type { LogPosition, StatementBody } from '@bramleykeel/core';
import type { PooledConnection } from '../owner/owner-state.js';
import type { TargetOrder } from '../types/target-port.js';

export interface BeginOrder {
  readonly isReadOnly: boolean;
  /** The position that the server's log has to contain. */
  readonly after: LogPosition | null;
}

/** What a statement expects of its connection. */
export interface SetupNeed {
  readonly values: Readonly<Record<string, string>>;
  /** From {@link valuesKeyOf}; compared instead of the values themselves. */
  readonly valuesKey: string;
  readonly body: StatementBody;
}

/** The part of a connection that setting it up changes. */
export type SetupState = Pick<PooledConnection, 'values' | 'valuesKey' | 'prepared'>;

/**
 * A text that is the same for the same values, whatever their order.
 *
 * @example
 * valuesKeyOf({ unit: 'mm', zone: 'a' }) === valuesKeyOf({ zone: 'a', unit: 'mm' });
 */
export function valuesKeyOf(values: Readonly<Record<string, string>>): string {
  const names = Object.keys(values);
  if (names.length === 0) return '';
  return JSON.stringify(names.sort().map((name) => [name, values[name]]));
}

/**
 * The orders that prepare a connection for a statement, in turn; none when it fits as it is. Values
 * that the session does not have can only be dropped all together, with the prepared names.
 */
export function setupOrders(
  { values, valuesKey, body }: SetupNeed,
  connection: SetupState,
  begin: BeginOrder | undefined,
): TargetOrder[] {
  const orders: TargetOrder[] = [];
  const isReset = Object.keys(connection.values).some((name) => !(name in values));
  if (isReset) orders.push({ kind: 'reset' });
  if (valuesKey !== connection.valuesKey) {
    for (const [name, value] of Object.entries(values)) {
      if (isReset || connection.values[name] !== value) orders.push({ kind: 'set', name, value });
    }
  }
  if (body.kind === 'prepared') {
    const { access, shape } = body;
    const name = preparedName(access, shape);
    if (isReset || !connection.prepared.has(name)) {
      orders.push({ kind: 'prepare', name, access, shape });
    }
  }
  if (begin) orders.push({ kind: 'begin', ...begin });
  return orders;
}

/** Records an order of {@link setupOrders} that the server has acknowledged. */
export function noteSetup(connection: SetupState, order: TargetOrder): void {
  if (order.kind === 'reset') {
    connection.values = {};
    connection.valuesKey = '';
    connection.prepared.clear();
  } else if (order.kind === 'set') {
    connection.values = { ...connection.values, [order.name]: order.value };
    connection.valuesKey = valuesKeyOf(connection.values);
  } else if (order.kind === 'prepare') {
    connection.prepared.add(order.name);
  }
}

/** The order that runs a caller's statement; `after` is the position that its read is owed. */
export function statementOrder(
  { tag, body }: { readonly tag: string; readonly body: StatementBody },
  after: LogPosition | null,
): TargetOrder {
  if (body.kind === 'plain') return { kind: 'run', tag, after, text: body.text };
  const { access, shape, argument } = body;
  return { kind: 'execute', tag, after, name: preparedName(access, shape), argument };
}

/** Sessions share a prepared name exactly when they mean the same statement by it. */
function preparedName(access: 'read' | 'write', shape: string): string {
  return `${access === 'read' ? 'r' : 'w'}_${encodeURIComponent(shape)}`;
}
