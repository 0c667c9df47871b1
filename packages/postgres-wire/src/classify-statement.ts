/** Classifies SQL statements by how the proxy routes them, and rejects those it does not support. */
import {
  childNode,
  nodeList,
  type ParsedStatement,
  parseStatements,
  stringValue,
  type SyntaxNode,
  walkNodes,
} from './syntax.js';

export type StatementClassification =
  | { readonly kind: 'read' }
  | { readonly kind: 'write' }
  | { readonly kind: 'begin'; readonly isReadOnly: boolean }
  /**
   * COMMIT, ROLLBACK and savepoint commands. They are exempt from rate limits and run on the connection
   * that holds the transaction.
   */
  | { readonly kind: 'transaction-control' }
  | { readonly kind: 'set-session'; readonly name: string; readonly text: string }
  | { readonly kind: 'set-local' }
  | { readonly kind: 'reset'; readonly name: string | null }
  | { readonly kind: 'show'; readonly name: string }
  | { readonly kind: 'unsupported'; readonly reason: string };

/** Classification of every statement in a query string. */
export interface QueryClassification {
  readonly statements: readonly StatementClassification[];
}

/** Functions that require the primary even when they are called from a SELECT. */
const WRITING_FUNCTIONS = new Set([
  'nextval',
  'setval',
  'pg_notify',
  'txid_current',
  'pg_current_xact_id',
  'pg_advisory_xact_lock',
  'pg_try_advisory_xact_lock',
  'pg_advisory_xact_lock_shared',
  'pg_try_advisory_xact_lock_shared',
]);

/** Session-level advisory locks outlive the transaction, so they would leak on a shared connection. */
const SESSION_LOCK_FUNCTION_PATTERN = /^pg_(try_)?advisory_(lock|unlock)/;

const WRITING_NODE_KINDS = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt']);

const UNSUPPORTED_STATEMENT_REASONS: Readonly<Record<string, string>> = {
  CopyStmt: 'COPY is not supported; use INSERT or SELECT',
  ListenStmt: 'LISTEN needs a connection of its own',
  UnlistenStmt: 'UNLISTEN needs a connection of its own',
  PrepareStmt: 'PREPARE is not supported; use protocol-level prepared statements',
  ExecuteStmt: 'EXECUTE is not supported; use protocol-level prepared statements',
  DeallocateStmt: 'DEALLOCATE is not supported; close protocol-level statements instead',
  DiscardStmt: 'DISCARD is not supported; RESET ALL clears session settings',
  LoadStmt: 'LOAD changes one target process only',
};

/** Settings that select the role a statement runs as; only the proxy sets them. */
const RESERVED_SETTINGS = new Set(['role', 'session_authorization']);

/**
 * Settings by which a server tells where a string ends, with the values that the parser here goes by. With any other one a
 * part of what is a string here may be a statement there.
 */
const PARSER_SETTINGS: ReadonlyMap<string, RegExp> = new Map([
  ['standard_conforming_strings', /^on$/i],
  ['client_encoding', /^utf-?8$/i],
]);

/** Longer query strings are not cached: they rarely occur twice, and 5,000 of the longest would take 80 GB. */
const MAX_CACHED_LENGTH = 4_096;

/** Creates a classifier with an LRU cache of `capacity` query strings. */
export function createClassifier(capacity: number): (text: string) => QueryClassification {
  const cache = new Map<string, QueryClassification>();
  return (text) => {
    const cached = cache.get(text);
    if (cached) {
      cache.delete(text);
      cache.set(text, cached);
      return cached;
    }
    const classification = classifyQuery(text);
    if (text.length > MAX_CACHED_LENGTH) return classification;
    cache.set(text, classification);
    if (cache.size > capacity) {
      const [oldest] = cache.keys();
      if (oldest !== undefined) cache.delete(oldest);
    }
    return classification;
  };
}

/**
 * Classifies a query string. A string that fails to parse counts as a write and is forwarded unchanged
 * to the primary, so that the caller receives the target's own error message.
 *
 * @example
 * classifyQuery('SELECT 1').statements; // [{ kind: 'read' }]
 */
export function classifyQuery(text: string): QueryClassification {
  const parsed = parseStatements(text);
  if (!parsed) return { statements: [{ kind: 'write' }] };
  const statements = parsed.map(classifyStatement);
  const hasSessionChange = statements.some(
    ({ kind }) => kind === 'set-session' || kind === 'reset',
  );
  if (statements.length > 1 && hasSessionChange) {
    const reason = 'SET and RESET have to be sent on their own, or as SET LOCAL';
    return { statements: [{ kind: 'unsupported', reason }] };
  }
  return { statements };
}

function classifyStatement(statement: ParsedStatement): StatementClassification {
  const { kind, node } = statement;
  const reason = UNSUPPORTED_STATEMENT_REASONS[kind];
  if (reason !== undefined) return { kind: 'unsupported', reason };
  switch (kind) {
    case 'SelectStmt':
      return classifySelect(node);
    case 'TransactionStmt':
      return classifyTransaction(node);
    case 'VariableSetStmt':
      return classifySet(statement);
    case 'VariableShowStmt':
      return { kind: 'show', name: settingName(node) };
    case 'ExplainStmt':
      return hasOption(node, 'analyze') ? { kind: 'write' } : { kind: 'read' };
    case 'CreateStmt':
    case 'CreateTableAsStmt':
      return rejectTemporaryTable(node) ?? { kind: 'write' };
    case 'DeclareCursorStmt':
      return classifyCursor(node);
    case 'FetchStmt':
    case 'ClosePortalStmt':
      return { kind: 'read' };
    default:
      return rejectSessionFunction(node) ?? { kind: 'write' };
  }
}

function classifySelect(node: SyntaxNode): StatementClassification {
  const rejection = rejectSessionFunction({ SelectStmt: node }) ?? rejectTemporaryTable(node);
  if (rejection) return rejection;
  return containsWrite({ SelectStmt: node }) ? { kind: 'write' } : { kind: 'read' };
}

function containsWrite(node: SyntaxNode): boolean {
  const found = new Set<string>();
  walkNodes(node, (kind, child) => {
    if (WRITING_NODE_KINDS.has(kind) || kind === 'LockingClause') found.add(kind);
    if (child.intoClause) found.add('IntoClause');
    if (kind === 'FuncCall' && WRITING_FUNCTIONS.has(functionName(child))) found.add(kind);
  });
  return found.size > 0;
}

function rejectSessionFunction(node: SyntaxNode): StatementClassification | undefined {
  let found: string | undefined;
  walkNodes(node, (kind, child) => {
    if (kind !== 'FuncCall') return;
    const name = functionName(child);
    if (SESSION_LOCK_FUNCTION_PATTERN.test(name)) found = name;
    if (name === 'set_config') found = name;
  });
  if (found === undefined) return undefined;
  const advice = found === 'set_config' ? 'use SET' : 'use the transaction-level lock functions';
  return { kind: 'unsupported', reason: `${found} changes session state; ${advice}` };
}

function functionName(call: SyntaxNode): string {
  return stringValue(nodeList(call.funcname).at(-1)) ?? '';
}

function classifyTransaction(node: SyntaxNode): StatementClassification {
  const kind = node.kind;
  if (kind === 'TRANS_STMT_PREPARE' || kind === 'TRANS_STMT_COMMIT_PREPARED') {
    return { kind: 'unsupported', reason: 'two-phase commit is not supported' };
  }
  if (kind !== 'TRANS_STMT_BEGIN' && kind !== 'TRANS_STMT_START') {
    return { kind: 'transaction-control' };
  }
  return { kind: 'begin', isReadOnly: hasOption(node, 'transaction_read_only') };
}

/** Whether the statement has a DefElem with this name whose value is not zero, false or off. */
function hasOption(node: SyntaxNode, name: string): boolean {
  return nodeList(node.options).some((option) => {
    const element = childNode(option, 'DefElem');
    if (element?.defname !== name) return false;
    const constant = childNode(element, 'arg') && JSON.stringify(element.arg);
    return !/"ival":\{\}|"false"|"off"/.test(constant ?? '');
  });
}

function classifySet({ node, readText }: ParsedStatement): StatementClassification {
  const kind = node.kind;
  const name = settingName(node);
  if (RESERVED_SETTINGS.has(name)) {
    return { kind: 'unsupported', reason: `${name} is set by the system` };
  }
  const parserValue = PARSER_SETTINGS.get(name);
  if (parserValue && kind === 'VAR_SET_VALUE' && !parserValue.test(settingValue(node))) {
    return { kind: 'unsupported', reason: `${name} cannot be changed` };
  }
  if (kind === 'VAR_RESET_ALL') return { kind: 'reset', name: null };
  if (kind === 'VAR_RESET' || kind === 'VAR_SET_DEFAULT') {
    return node.is_local ? { kind: 'set-local' } : { kind: 'reset', name };
  }
  if (node.is_local) return { kind: 'set-local' };
  if (kind === 'VAR_SET_MULTI') {
    if (name === 'transaction') return { kind: 'set-local' };
    return { kind: 'unsupported', reason: 'set default_transaction_* parameters instead' };
  }
  return { kind: 'set-session', name, text: readText() };
}

function settingName(node: SyntaxNode): string {
  const name = node.name;
  return typeof name === 'string' ? name.toLowerCase() : '';
}

/** The value of a setting that is a single string or keyword; empty otherwise. */
function settingValue({ args }: SyntaxNode): string {
  const [value] = nodeList(args);
  const constant = value && childNode(value, 'A_Const');
  const text = constant?.sval;
  const isText = typeof text === 'object' && text !== null && 'sval' in text;
  return isText && typeof text.sval === 'string' ? text.sval : '';
}

function rejectTemporaryTable(node: SyntaxNode): StatementClassification | undefined {
  let isTemporary = false;
  const relation = childNode(node, 'relation');
  if (relation?.relpersistence === 't') isTemporary = true;
  const into = childNode(node, 'into') ?? childNode(node, 'intoClause');
  if (into && childNode(into, 'rel')?.relpersistence === 't') isTemporary = true;
  if (!isTemporary) return undefined;
  return {
    kind: 'unsupported',
    reason: 'temporary tables are not supported on shared connections',
  };
}

/** PostgreSQL's CURSOR_OPT_HOLD flag, which the parser sets for DECLARE ... WITH HOLD. */
const CURSOR_OPT_HOLD = 0x20;

function classifyCursor(node: SyntaxNode): StatementClassification {
  const options = node.options;
  if (typeof options === 'number' && (options & CURSOR_OPT_HOLD) !== 0) {
    return { kind: 'unsupported', reason: 'cursors WITH HOLD outlive their transaction' };
  }
  return { kind: 'read' };
}
