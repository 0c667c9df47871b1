/** Role, terms and commits of one stand-in server. */
import type { TargetCommand } from '@bramleykeel/core';
import { SqlError } from './sql-error.js';
import { appendEntry, lastEntry, type RowChange, saveTerms, type Storage } from './storage.js';

export interface StandInServer {
  readonly name: string;
  readonly storage: Storage;
  role: 'primary' | 'replica';
  /** Command address of the primary that this replica follows. */
  primaryCommandUrl: string | undefined;
  isLeaving: boolean;
  onRoleChange: () => void;
}

export function createStandInServer(name: string, storage: Storage): StandInServer {
  return {
    name,
    storage,
    role: 'replica',
    primaryCommandUrl: undefined,
    isLeaving: false,
    onRoleChange: () => undefined,
  };
}

/** Returns whether the server may commit: it is the primary and has not promised a newer term. */
export function mayCommit(server: StandInServer): boolean {
  const { term, promisedTerm } = server.storage.terms;
  return server.role === 'primary' && promisedTerm <= term;
}

/**
 * Commits changes as one log entry and returns its position as `term/offset`.
 *
 * @throws SqlError if the server may not commit (25006) or a key exists already (23505)
 */
export function commitChanges(server: StandInServer, changes: readonly RowChange[]): string {
  if (!mayCommit(server)) {
    throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
  }
  rejectDuplicateKeys(server.storage, changes);
  return appendNextEntry(server, changes);
}

function rejectDuplicateKeys(storage: Storage, changes: readonly RowChange[]): void {
  for (const change of changes) {
    if (change.kind !== 'insert') continue;
    if (!storage.tables.get(change.table)?.rows.has(change.key)) continue;
    throw new SqlError(
      '23505',
      `duplicate key value violates unique constraint of ${change.table}`,
    );
  }
}

function appendNextEntry(server: StandInServer, changes: readonly RowChange[]): string {
  const { storage } = server;
  const { term } = storage.terms;
  const offset = lastEntry(storage).offset + 1;
  appendEntry(storage, { term, offset, committedAtMs: Date.now(), changes });
  return `${term}/${offset}`;
}

/**
 * Executes a command, unless its term is older than the promised term. The response always contains
 * the promised term and the position of the last log entry.
 */
export function executeCommand(server: StandInServer, command: TargetCommand) {
  const { storage } = server;
  const { promisedTerm, term } = storage.terms;
  if (command.term >= promisedTerm) {
    switch (command.kind) {
      case 'fence':
        saveTerms(storage, { promisedTerm: command.term, term });
        break;
      case 'promote':
        promote(server, command.term);
        break;
      case 'follow':
        saveTerms(storage, { promisedTerm: command.term, term: command.term });
        server.role = 'replica';
        server.primaryCommandUrl = command.primaryCommandUrl;
        server.onRoleChange();
        break;
    }
  }
  return { promisedTerm: storage.terms.promisedTerm, position: lastEntry(storage) };
}

/**
 * Makes the server primary in `term`; has no effect if it is already primary in this term.
 */
export function promote(server: StandInServer, term: number): void {
  if (server.role === 'primary' && server.storage.terms.term === term) return;
  saveTerms(server.storage, { promisedTerm: term, term });
  server.role = 'primary';
  server.primaryCommandUrl = undefined;
  appendNextEntry(server, []);
  server.onRoleChange();
}
