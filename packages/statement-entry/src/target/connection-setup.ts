/** Sets up the session values and prepared statements that a statement needs on a pooled connection. */
import type { LogPosition, StatementAccess, StatementBody } from '@bramleykeel/core';
import type { PooledConnection } from '../owner/owner-state.js';
import type { TargetOrder } from '../types/target-port.js';

export interface BeginOrder {
  readonly isReadOnly: boolean;
  /** The log position that the server must have reached. */
  readonly after: LogPosition | null;
}

/** The session values and statement body that a connection has to be set up for. */
export interface SetupRequirements {
  readonly values: Readonly<Record<string, string>>;
  /** Result of {@link valuesKeyOf}, compared instead of the values themselves. */
  readonly valuesKey: string;
  readonly body: StatementBody;
}

/** The part of a caller's statement that is sent to a server. */
export interface StatementOrderRequest {
  readonly tag: string;
  readonly access: StatementAccess;
  readonly body: StatementBody;
}

/** The part of a connection's state that its setup changes. */
export type SetupState = Pick<PooledConnection, 'values' | 'valuesKey' | 'prepared'>;

/**
 * A string that is equal for equal values, regardless of their order.
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
 * The orders that set up a connection for a statement, in sequence; empty if it needs no change. Values that
 * the session does not have can only be removed by a reset, which also removes the prepared statements.
 */
export function setupOrders(
  { values, valuesKey, body }: SetupRequirements,
  connection: SetupState,
  begin: BeginOrder | undefined,
): TargetOrder[] {
  const orders: TargetOrder[] = [];
  const isResetNeeded = Object.keys(connection.values).some((name) => !Object.hasOwn(values, name));
  if (isResetNeeded) orders.push({ kind: 'reset' });
  if (valuesKey !== connection.valuesKey) {
    for (const [name, value] of Object.entries(values)) {
      if (isResetNeeded || connection.values[name] !== value)
        orders.push({ kind: 'set', name, value });
    }
  }
  if (body.kind === 'prepared') {
    const { access, shape } = body;
    const name = preparedName(access, shape);
    if (isResetNeeded || !connection.prepared.has(name)) {
      orders.push({ kind: 'prepare', name, access, shape });
    }
  }
  if (begin) orders.push({ kind: 'begin', ...begin });
  return orders;
}

/** Updates the connection's state after the server has acknowledged an order of {@link setupOrders}. */
export function recordSetup(connection: SetupState, order: TargetOrder): void {
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

/** The order that runs a caller's statement; `after` is the log position that a read has to see. */
export function statementOrder(
  { tag, access, body }: StatementOrderRequest,
  after: LogPosition | null,
): TargetOrder {
  if (body.kind === 'plain') {
    const { text } = body;
    if (access === 'commit') return { kind: 'commit', tag, text };
    return { kind: 'run', tag, isWrite: access === 'write', after, text };
  }
  const name = preparedName(body.access, body.shape);
  const isWrite = body.access === 'write';
  return { kind: 'execute', tag, isWrite, after, name, argument: body.argument };
}

/** The same statement has the same name in all sessions, and different statements have different names. */
function preparedName(access: 'read' | 'write', shape: string): string {
  return `${access === 'read' ? 'r' : 'w'}_${encodeURIComponent(shape)}`;
}
