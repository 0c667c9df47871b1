/** PostgreSQL's own grammar, loaded once, and walks over its syntax trees. */
import { loadModule, parseSync } from 'libpg-query';

/** A node of the syntax tree as libpg-query writes it: `{ SelectStmt: {...} }`. */
export type SyntaxNode = Readonly<Record<string, unknown>>;

export interface ParsedStatement {
  readonly kind: string;
  readonly node: SyntaxNode;
  /** The statement's own text, without its semicolon. */
  readonly text: string;
}

/** Loads the grammar; has to be awaited once before {@link parseStatements}. */
export async function loadSyntax(): Promise<void> {
  await loadModule();
}

/**
 * Parses a query text; `undefined` when the grammar refuses it.
 *
 * @example
 * parseStatements('BEGIN; SELECT 1')?.map((statement) => statement.kind);
 * // ['TransactionStmt', 'SelectStmt']
 */
export function parseStatements(text: string): ParsedStatement[] | undefined {
  // The parser reports an empty text as an error; PostgreSQL answers it with EmptyQueryResponse.
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
  const bytes = Buffer.from(text, 'utf8');
  const start = raw.stmt_location ?? 0;
  const end = raw.stmt_len ? start + raw.stmt_len : bytes.length;
  const own = bytes.subarray(start, end).toString('utf8').trim();
  return { kind, node: node as SyntaxNode, text: own };
}

/** Calls `visit` for every named node at or below `value`. */
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

/** Reads a list of nodes; anything else is an empty list. */
export function nodeList(value: unknown): SyntaxNode[] {
  return Array.isArray(value) ? value.filter(isNode) : [];
}

/** The child of `node` under `key`, when it is a node. */
export function childNode(node: SyntaxNode, key: string): SyntaxNode | undefined {
  const child = node[key];
  return isNode(child) ? child : undefined;
}

/** A text value inside a String node: `{ String: { sval } }`. */
export function stringValue(node: SyntaxNode | undefined): string | undefined {
  const holder = node && childNode(node, 'String');
  const text = holder?.sval;
  return typeof text === 'string' ? text : undefined;
}
