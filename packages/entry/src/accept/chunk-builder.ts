/** Turns a caller's messages into request chunks: classified, with statement names made shareable. */
import { createHash } from 'node:crypto';
import type {
  ExpectedAnswer,
  Intent,
  RequestChunk,
  SettingEffect,
  StatementDefinition,
} from '@bramleykeel/core';
import {
  buildBind,
  buildCloseStatement,
  buildDescribeStatement,
  buildParse,
  CLIENT,
  type ParseMessage,
  readBind,
  readExecute,
  readDescribeOrClose,
  readParse,
  readStringPayload,
  type StatementClassification,
  type QueryClassification,
  type WireMessage,
} from '@bramleykeel/postgres-wire';

interface KnownStatement {
  readonly parse: ParseMessage;
  readonly textClass: QueryClassification;
  /** Name on target connections; empty for the unnamed statement. */
  readonly targetName: string;
}

/** A caller's prepared statements and portals. */
export interface CallerStatements {
  readonly statements: Map<string, KnownStatement>;
  readonly portals: Map<string, QueryClassification>;
}

export interface BuiltChunk {
  readonly chunk: RequestChunk;
  readonly intent: Intent;
  /** Statements that count against the customer's rate. */
  readonly tokenCount: number;
  readonly settingEffect: SettingEffect | null;
  /** Why the chunk is refused; nothing of it may be sent. */
  readonly unsupported: string | undefined;
  readonly endsTransaction: boolean;
}

/** A statement name that never exists: closing it changes nothing and is answered as usual. */
const ABSENT_STATEMENT = 'bramleykeel_absent';

export function createCallerStatements(): CallerStatements {
  return { statements: new Map(), portals: new Map() };
}

/** The type bytes that end a chunk. */
export function endsChunk({ type }: WireMessage): boolean {
  return type === CLIENT.query || type === CLIENT.sync || type === CLIENT.flush;
}

interface Draft {
  readonly output: Buffer[];
  readonly needed: Map<string, StatementDefinition>;
  readonly created: Set<string>;
  readonly expected: ExpectedAnswer[];
  readonly executed: StatementClassification[];
  readonly parsed: StatementClassification[];
  unsupported: string | undefined;
}

/**
 * Builds a chunk from messages that end with a Query, Sync or Flush.
 *
 * @param classify classification of a query text
 */
export function buildChunk(
  known: CallerStatements,
  messages: readonly WireMessage[],
  classify: (text: string) => QueryClassification,
): BuiltChunk {
  const draft: Draft = {
    output: [],
    needed: new Map(),
    created: new Set(),
    expected: [],
    executed: [],
    parsed: [],
    unsupported: undefined,
  };
  for (const message of messages) addMessage(known, draft, message, classify);
  const lastType = messages.at(-1)?.type;
  const isFinal = lastType === CLIENT.query || lastType === CLIENT.sync;
  const relevant = draft.executed.length > 0 ? draft.executed : draft.parsed;
  const refused = relevant.find((statement) => statement.kind === 'unsupported');
  return {
    chunk: {
      messages: Buffer.concat(draft.output),
      statements: [...draft.needed.values()],
      expected: draft.expected,
      isFinal,
      mayCommit: draft.executed.some(mayCommit),
    },
    intent: relevant.every(isReadOnly) ? 'read' : 'write',
    tokenCount: draft.executed.filter(({ kind }) => kind === 'read' || kind === 'write').length,
    settingEffect: findSettingEffect(draft.executed),
    unsupported: draft.unsupported ?? refused?.reason,
    endsTransaction: draft.executed.some(({ kind }) => kind === 'transaction-control'),
  };
}

function mayCommit({ kind }: StatementClassification): boolean {
  return kind === 'write' || kind === 'transaction-control';
}

function isReadOnly(statement: StatementClassification): boolean {
  switch (statement.kind) {
    case 'read':
    case 'show':
    case 'set-session':
    case 'reset':
      return true;
    case 'begin':
      return statement.isReadOnly;
    case 'write':
    case 'transaction-control':
    case 'set-local':
    case 'unsupported':
      return false;
  }
}

function findSettingEffect(executed: readonly StatementClassification[]): SettingEffect | null {
  for (const statement of executed) {
    if (statement.kind === 'set-session') return { name: statement.name, text: statement.text };
    if (statement.kind === 'reset') return { name: statement.name, text: null };
  }
  return null;
}

function addMessage(
  known: CallerStatements,
  draft: Draft,
  message: WireMessage,
  classify: (text: string) => QueryClassification,
): void {
  switch (message.type) {
    case CLIENT.query:
      draft.executed.push(...classify(readStringPayload(message)).statements);
      draft.output.push(message.frame);
      return;
    case CLIENT.parse:
      addParse(known, draft, message, classify);
      return;
    case CLIENT.bind:
      addBind(known, draft, message);
      return;
    case CLIENT.describe:
      addDescribe(known, draft, message);
      return;
    case CLIENT.execute: {
      const portal = known.portals.get(readExecute(message).portal);
      draft.executed.push(...(portal?.statements ?? [{ kind: 'write' }]));
      draft.output.push(message.frame);
      return;
    }
    case CLIENT.close:
      addClose(known, draft, message);
      return;
    case CLIENT.flush:
    case CLIENT.sync:
      draft.output.push(message.frame);
      return;
    case CLIENT.copyData:
    case CLIENT.copyDone:
    case CLIENT.copyFail:
      return;
    default:
      draft.unsupported ??= 'this protocol message is not supported';
  }
}

/** A named statement is created anew under its shared name: a close first, so that it may exist. */
function addParse(
  known: CallerStatements,
  draft: Draft,
  message: WireMessage,
  classify: (text: string) => QueryClassification,
): void {
  const parse = readParse(message);
  const textClass = classify(parse.text);
  const targetName = parse.name === '' ? '' : sharedName(parse);
  known.statements.set(parse.name, { parse, textClass, targetName });
  draft.parsed.push(...textClass.statements);
  draft.created.add(targetName);
  if (targetName === '') {
    draft.output.push(message.frame);
  } else {
    draft.output.push(buildCloseStatement(targetName), buildParse(parse, targetName));
    draft.expected.push({ kind: 'close', isHidden: true, statement: targetName });
  }
  draft.expected.push({ kind: 'parse', isHidden: false, statement: targetName });
}

function sharedName({ text, parameterTypes }: ParseMessage): string {
  const hash = createHash('sha256').update(text).update('\0').update(parameterTypes);
  return `bk_${hash.digest('hex').slice(0, 24)}`;
}

function addBind(known: CallerStatements, draft: Draft, message: WireMessage): void {
  const bind = readBind(message);
  const statement = known.statements.get(bind.statement);
  if (!statement) {
    draft.output.push(message.frame);
    return;
  }
  known.portals.set(bind.portal, statement.textClass);
  requireStatement(draft, statement);
  draft.output.push(buildBind(bind, statement.targetName));
}

/** Makes sure that the statement exists on the connection when the chunk refers to it. */
function requireStatement(draft: Draft, { parse, targetName }: KnownStatement): void {
  if (draft.created.has(targetName)) return;
  if (targetName === '') {
    // The unnamed statement is not kept by name, so it is simply created again.
    draft.output.push(buildParse(parse, ''));
    draft.expected.push({ kind: 'parse', isHidden: true, statement: '' });
    draft.created.add('');
    return;
  }
  draft.needed.set(targetName, { name: targetName, parseMessage: buildParse(parse, targetName) });
}

function addDescribe(known: CallerStatements, draft: Draft, message: WireMessage): void {
  const { target, name } = readDescribeOrClose(message);
  const statement = target === 'S' ? known.statements.get(name) : undefined;
  if (!statement) {
    draft.output.push(message.frame);
    return;
  }
  requireStatement(draft, statement);
  draft.output.push(buildDescribeStatement(statement.targetName));
}

/** Other callers may use the same statement, so a close only forgets the caller's own name. */
function addClose(known: CallerStatements, draft: Draft, message: WireMessage): void {
  const { target, name } = readDescribeOrClose(message);
  draft.expected.push({ kind: 'close', isHidden: false, statement: '' });
  if (target === 'P') {
    known.portals.delete(name);
    draft.output.push(message.frame);
    return;
  }
  known.statements.delete(name);
  draft.output.push(buildCloseStatement(ABSENT_STATEMENT));
}
