/** Ends transactions without committing them. */
import { discardConnection, releaseConnection } from '../target/connection-pool.js';
import type { OpenTransaction, StatementOwner } from './owner-state.js';

const ROLLBACK_TIMEOUT_MS = 1_000;

/** Each entry numbers its own transactions, so the key includes the entry's channel. */
export function transactionKeyOf(channelId: string, number: number): string {
  return `${channelId}/${number}`;
}

/** Closes the connection of a transaction; the server then rolls the transaction back. */
export function dropTransaction(owner: StatementOwner, transaction: OpenTransaction): void {
  owner.transactions.delete(transaction.key);
  const { pooled } = transaction;
  transaction.pooled = undefined;
  if (pooled) discardConnection(pooled);
}

/** Rolls a transaction back and returns its connection to the pool, unless a statement is running on it. */
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
