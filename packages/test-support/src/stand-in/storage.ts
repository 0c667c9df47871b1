/**
 * Tables, replicated log and terms of the stand-in, in memory and optionally persisted in a folder.
 */
import { appendFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

export type Row = Readonly<Record<string, string | null>>;

export interface Column {
  readonly name: string;
  readonly typeId: number;
}

export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly Column[];
  readonly primaryKey: string | null;
}

export type RowChange =
  | { readonly kind: 'create'; readonly table: TableDefinition }
  | { readonly kind: 'insert'; readonly table: string; readonly key: string; readonly row: Row }
  | { readonly kind: 'update'; readonly table: string; readonly key: string; readonly row: Row }
  | { readonly kind: 'delete'; readonly table: string; readonly key: string };

export interface StandInLogEntry {
  readonly term: number;
  readonly offset: number;
  readonly committedAtMs: number;
  readonly changes: readonly RowChange[];
}

export interface Table {
  readonly definition: TableDefinition;
  readonly rows: Map<string, Row>;
}

export interface TermState {
  readonly promisedTerm: number;
  readonly term: number;
}

export interface Storage {
  readonly folder: string | undefined;
  entries: StandInLogEntry[];
  tables: Map<string, Table>;
  terms: TermState;
  /** Called after each change to the log or the terms. */
  onChange: () => void;
}

/** Opens the storage and loads the log and terms persisted in the folder, if any. */
export function openStorage(folder: string | undefined): Storage {
  const storage: Storage = {
    folder,
    entries: [],
    tables: new Map(),
    terms: { promisedTerm: 0, term: 0 },
    onChange: () => undefined,
  };
  if (folder === undefined) return storage;
  mkdirSync(folder, { recursive: true });
  if (existsSync(termsFile(folder))) {
    storage.terms = JSON.parse(readFileSync(termsFile(folder), 'utf8')) as TermState;
  }
  if (existsSync(logFile(folder))) {
    const lines = readFileSync(logFile(folder), 'utf8')
      .split('\n')
      .filter((line) => line !== '');
    for (const line of lines) applyEntry(storage, JSON.parse(line) as StandInLogEntry);
  }
  return storage;
}

export function lastEntry(storage: Storage): { term: number; offset: number } {
  const last = storage.entries.at(-1);
  return last ? { term: last.term, offset: last.offset } : { term: 0, offset: 0 };
}

/** Returns the entry at a log offset. Offsets start at 1 and are contiguous. */
export function entryAtOffset(storage: Storage, offset: number): StandInLogEntry | undefined {
  return storage.entries[offset - 1];
}

export function appendEntry(storage: Storage, entry: StandInLogEntry): void {
  applyEntry(storage, entry);
  if (storage.folder !== undefined) {
    appendFileSync(logFile(storage.folder), `${JSON.stringify(entry)}\n`);
  }
  storage.onChange();
}

export function saveTerms(storage: Storage, terms: TermState): void {
  storage.terms = terms;
  if (storage.folder !== undefined) {
    writeFileSync(termsFile(storage.folder), JSON.stringify(terms));
  }
  storage.onChange();
}

/** Discards the log entries after `offset`, to remove a diverged tail, and rebuilds the tables. */
export function truncateLog(storage: Storage, offset: number): void {
  const kept = storage.entries.slice(0, offset);
  storage.entries = [];
  storage.tables = new Map();
  for (const entry of kept) applyEntry(storage, entry);
  if (storage.folder !== undefined) {
    const lines = kept.map((entry) => `${JSON.stringify(entry)}\n`);
    writeFileSync(logFile(storage.folder), lines.join(''));
  }
  storage.onChange();
}

function applyEntry(storage: Storage, entry: StandInLogEntry): void {
  storage.entries.push(entry);
  for (const change of entry.changes) applyChange(storage, change);
}

function applyChange(storage: Storage, change: RowChange): void {
  if (change.kind === 'create') {
    storage.tables.set(change.table.name, { definition: change.table, rows: new Map() });
    return;
  }
  const table = storage.tables.get(change.table);
  if (change.kind === 'delete') table?.rows.delete(change.key);
  else table?.rows.set(change.key, change.row);
}

function logFile(folder: string): string {
  return join(folder, 'log.jsonl');
}

function termsFile(folder: string): string {
  return join(folder, 'terms.json');
}
