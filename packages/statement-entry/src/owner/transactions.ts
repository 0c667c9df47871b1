/** Ends of transactions that are not committed. */
import { discardConnection, releaseConnection } from '../target/connection-pool.js';
import type { OpenTransaction, StatementOwner } from './owner-state.js';

const ROLLBACK_TIMEOUT_MS = 1_000;

/** Transactions are numbered by the entry of their caller, so its channel is part of the key. */
export function transactionKeyOf(channelId: string, number: number): string {
  return `${channelId}/${number}`;
}

/** Ends a transaction without its commit; the server rolls it back when the connection closes. */
export function dropTransaction(owner: StatementOwner, transaction: OpenTransaction): void {
  owner.transactions.delete(transaction.key);
  const { pooled } = transaction;
  transaction.pooled = undefined;
  if (pooled) discardConnection(pooled);
}

/** Rolls a transaction back and keeps its connection, if nothing runs on it. */
export async function rollBack(owner: StatementOwner, transaction: OpenTransaction): Promise<void> {
  owner.transactions.delete(transaction.key);
  const { pooled } = transaction;
  transaction.pooled = undefined;
  if (!pooled) return;
  if (transaction.isBusy) {
    discardConnection(pooled);
    return;
  }
  const answer = await pooled.connection.send({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
  if (answer.kind === 'done' && answer.state === 'idle') releaseConnection(pooled);
  else discardConnection(pooled);
}
