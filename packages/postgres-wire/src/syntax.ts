/** Parses SQL with PostgreSQL's own parser (libpg-query), and helpers to read its syntax trees. */
import './parser-compiler.js';
import { loadModule, parseSync } from 'libpg-query';

/** A node of the syntax tree in libpg-query's JSON form, such as `{ SelectStmt: {...} }`. */
export type SyntaxNode = Readonly<Record<string, unknown>>;

export interface ParsedStatement {
  readonly kind: string;
  readonly node: SyntaxNode;
  /** Returns the source text of this statement only, without the semicolon; costs a copy of the query string. */
  readonly readText: () => string;
}

/** Loads the parser module. Must have resolved before the first call of {@link parseStatements}. */
export async function loadParser(): Promise<void> {
  await loadModule();
}

/**
 * Parses a query string; returns `undefined` if it has a syntax error.
 *
 * @example
 * parseStatements('BEGIN; SELECT 1')?.map((statement) => statement.kind);
 * // ['TransactionStmt', 'SelectStmt']
 */
export function parseStatements(text: string): ParsedStatement[] | undefined {
  // libpg-query rejects an empty string, but PostgreSQL answers it with EmptyQueryResponse.
  if (text.trim() === '') return [];
  try {
    const result = parseSync(text);
    return (result.stmts ?? []).map((raw) => toStatement(text, raw as RawStatement));
  } catch {
    return undefined;
  }
}

interface RawStatement {
  readonly stmt?: SyntaxNode;
  readonly stmt_location?: number;
  readonly stmt_len?: number;
}

function toStatement(text: string, raw: RawStatement): ParsedStatement {
  const [kind, node] = Object.entries(raw.stmt ?? {})[0] ?? ['', {}];
  const readText = () => {
    const bytes = Buffer.from(text, 'utf8');
    const start = raw.stmt_location ?? 0;
    const end = raw.stmt_len ? start + raw.stmt_len : bytes.length;
    return bytes.subarray(start, end).toString('utf8').trim();
  };
  return { kind, node: node as SyntaxNode, readText };
}

/** Calls `visit` for each node with a kind, such as `SelectStmt`, in the tree below `value`. */
export function walkNodes(value: unknown, visit: (kind: string, node: SyntaxNode) => void): void {
  if (Array.isArray(value)) {
    for (const item of value) walkNodes(item, visit);
    return;
  }
  if (typeof value !== 'object' || value === null) return;
  for (const [key, child] of Object.entries(value)) {
    if (isNode(child) && /^[A-Z]/.test(key)) visit(key, child);
    walkNodes(child, visit);
  }
}

export function isNode(value: unknown): value is SyntaxNode {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the nodes in `value`, or an empty list if `value` is not an array. */
export function nodeList(value: unknown): SyntaxNode[] {
  return Array.isArray(value) ? value.filter(isNode) : [];
}

/** Returns `node[key]` if it is a node. */
export function childNode(node: SyntaxNode, key: string): SyntaxNode | undefined {
  const child = node[key];
  return isNode(child) ? child : undefined;
}

/** Returns the text of a String node, `{ String: { sval } }`. */
export function stringValue(node: SyntaxNode | undefined): string | undefined {
  const stringNode = node && childNode(node, 'String');
  const text = stringNode?.sval;
  return typeof text === 'string' ? text : undefined;
}
