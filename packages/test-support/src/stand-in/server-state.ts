/** Role, terms and commits of one stand-in server. */
import type { TargetCommand } from '@bramleykeel/core';
import { SqlFailure } from './sql-failure.js';
import { appendEntry, lastEntry, type RowChange, saveTerms, type Storage } from './storage.js';

export interface StandInServer {
  readonly storage: Storage;
  role: 'primary' | 'replica';
  /** Command address of the primary that this replica follows. */
  primaryCommandUrl: string | undefined;
  isLeaving: boolean;
  onRoleChange: () => void;
}

export function createStandInServer(storage: Storage): StandInServer {
  return {
    storage,
    role: 'replica',
    primaryCommandUrl: undefined,
    isLeaving: false,
    onRoleChange: () => undefined,
  };
}

/** Tells whether the server may commit: it is the primary, and no newer term was promised. */
export function mayCommit(server: StandInServer): boolean {
  const { term, promisedTerm } = server.storage.terms;
  return server.role === 'primary' && promisedTerm <= term;
}

/** Commits changes as one log entry and returns its position as `term/offset`. */
export function commitChanges(server: StandInServer, changes: readonly RowChange[]): string {
  if (!mayCommit(server)) {
    throw new SqlFailure('25006', 'cannot execute a write in a read-only transaction');
  }
  rejectDuplicates(server.storage, changes);
  return appendNext(server, changes);
}

function rejectDuplicates(storage: Storage, changes: readonly RowChange[]): void {
  for (const change of changes) {
    if (change.kind !== 'insert') continue;
    if (!storage.tables.get(change.table)?.rows.has(change.key)) continue;
    throw new SqlFailure(
      '23505',
      `duplicate key value violates unique constraint of ${change.table}`,
    );
  }
}

function appendNext(server: StandInServer, changes: readonly RowChange[]): string {
  const { storage } = server;
  const { term } = storage.terms;
  const offset = lastEntry(storage).offset + 1;
  appendEntry(storage, { term, offset, committedAtMs: Date.now(), changes });
  return `${term}/${offset}`;
}

/** Carries out a command; the answer always shows the promised term and the end of the log. */
export function runCommand(server: StandInServer, command: TargetCommand) {
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

/** Takes the primary role; a repeated command for the same term changes nothing. */
export function promote(server: StandInServer, term: number): void {
  if (server.role === 'primary' && server.storage.terms.term === term) return;
  saveTerms(server.storage, { promisedTerm: term, term });
  server.role = 'primary';
  server.primaryCommandUrl = undefined;
  appendNext(server, []);
  server.onRoleChange();
}
