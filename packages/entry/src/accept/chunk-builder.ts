/**
 * Builds request chunks from a caller's messages: classifies their statements, and replaces the
 * names of prepared statements with names that callers share on target connections.
 */
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

interface PreparedStatement {
  readonly parse: ParseMessage;
  readonly classification: QueryClassification;
  /** The statement's name on target connections; empty for the unnamed statement. */
  readonly targetName: string;
  readonly heldBytes: number;
}

/** A caller's prepared statements and portals, by the caller's names. */
export interface CallerStatements {
  readonly statements: Map<string, PreparedStatement>;
  readonly portals: Map<string, QueryClassification>;
  /** Bytes that the statements and portals hold. */
  heldBytes: number;
}

export interface BuiltChunk {
  readonly chunk: RequestChunk;
  readonly intent: Intent;
  /** Number of statements that count against the customer's rate. */
  readonly tokenCount: number;
  readonly settingEffect: SettingEffect | null;
  /** Reason why the chunk must be refused as a whole, if it must; nothing of it may be sent. */
  readonly unsupportedReason: string | undefined;
  readonly endsTransaction: boolean;
}

/** Rough size of the objects of a statement or portal beside its text. */
const OBJECT_BYTES = 128;
/** Messages of this length have a buffer that holds little else. */
const LONG_MESSAGE_BYTES = 128 * 1024;
/** Name of a statement that never exists; closing it has no effect but is answered as usual. */
const ABSENT_STATEMENT_NAME = 'bramleykeel_absent';

export function createCallerStatements(): CallerStatements {
  return { statements: new Map(), portals: new Map(), heldBytes: 0 };
}

/** Whether a message is the last one of a chunk. */
export function endsChunk({ type }: WireMessage): boolean {
  return type === CLIENT.query || type === CLIENT.sync || type === CLIENT.flush;
}

interface ChunkDraft {
  readonly output: Buffer[];
  readonly requiredStatements: Map<string, StatementDefinition>;
  readonly createdStatements: Set<string>;
  readonly expected: ExpectedAnswer[];
  readonly executed: StatementClassification[];
  readonly parsed: StatementClassification[];
  unsupportedReason: string | undefined;
}

/**
 * Builds a chunk from messages that end with a Query, Sync or Flush.
 *
 * @param classify classifies the statements of a query text
 */
export function buildChunk(
  callerStatements: CallerStatements,
  messages: readonly WireMessage[],
  classify: (text: string) => QueryClassification,
): BuiltChunk {
  const draft: ChunkDraft = {
    output: [],
    requiredStatements: new Map(),
    createdStatements: new Set(),
    expected: [],
    executed: [],
    parsed: [],
    unsupportedReason: undefined,
  };
  for (const message of messages) addMessage(callerStatements, draft, message, classify);
  const lastType = messages.at(-1)?.type;
  const isFinal = lastType === CLIENT.query || lastType === CLIENT.sync;
  const classifiedStatements = draft.executed.length > 0 ? draft.executed : draft.parsed;
  const unsupported = classifiedStatements.find((statement) => statement.kind === 'unsupported');
  return {
    chunk: {
      messages: joinOutput(draft.output),
      statements: [...draft.requiredStatements.values()],
      expected: draft.expected,
      isFinal,
      mayCommit: draft.executed.some(mayCommit),
    },
    intent: classifiedStatements.every(isReadOnly) ? 'read' : 'write',
    tokenCount: draft.executed.filter(({ kind }) => kind === 'read' || kind === 'write').length,
    settingEffect: findSettingEffect(draft.executed),
    unsupportedReason: draft.unsupportedReason ?? unsupported?.reason,
    endsTransaction: draft.executed.some(({ kind }) => kind === 'transaction-control'),
  };
}

/** A single long message is passed on as it is; short ones are copied, since they are parts of larger buffers. */
function joinOutput(output: readonly Buffer[]): Buffer {
  const [first, ...others] = output;
  const isLongMessage = first && others.length === 0 && first.length >= LONG_MESSAGE_BYTES;
  return isLongMessage ? first : Buffer.concat(output);
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
  callerStatements: CallerStatements,
  draft: ChunkDraft,
  message: WireMessage,
  classify: (text: string) => QueryClassification,
): void {
  switch (message.type) {
    case CLIENT.query:
      draft.executed.push(...classify(readStringPayload(message)).statements);
      draft.output.push(message.frame);
      return;
    case CLIENT.parse:
      addParse(callerStatements, draft, message, classify);
      return;
    case CLIENT.bind:
      addBind(callerStatements, draft, message);
      return;
    case CLIENT.describe:
      addDescribe(callerStatements, draft, message);
      return;
    case CLIENT.execute: {
      const portal = callerStatements.portals.get(readExecute(message).portal);
      draft.executed.push(...(portal?.statements ?? [{ kind: 'write' }]));
      draft.output.push(message.frame);
      return;
    }
    case CLIENT.close:
      addClose(callerStatements, draft, message);
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
      draft.unsupportedReason ??= 'this protocol message is not supported';
  }
}

/**
 * Adds a Parse. A named statement may already exist on the connection under its shared name, so it
 * is closed first; the answer to that Close is hidden from the caller.
 */
function addParse(
  callerStatements: CallerStatements,
  draft: ChunkDraft,
  message: WireMessage,
  classify: (text: string) => QueryClassification,
): void {
  const received = readParse(message);
  // A part of the received buffer would keep all of it in memory for as long as the statement exists.
  const parse = { ...received, parameterTypes: Buffer.from(received.parameterTypes) };
  const classification = classify(parse.text);
  const targetName = parse.name === '' ? '' : sharedStatementName(parse);
  removeStatement(callerStatements, parse.name);
  const heldBytes = OBJECT_BYTES + parse.text.length + parse.name.length;
  callerStatements.statements.set(parse.name, { parse, classification, targetName, heldBytes });
  callerStatements.heldBytes += heldBytes;
  draft.parsed.push(...classification.statements);
  draft.createdStatements.add(targetName);
  if (targetName === '') {
    draft.output.push(message.frame);
  } else {
    draft.output.push(buildCloseStatement(targetName), buildParse(parse, targetName));
    draft.expected.push({ kind: 'close', isHidden: true, statement: targetName });
  }
  draft.expected.push({ kind: 'parse', isHidden: false, statement: targetName });
}

function sharedStatementName({ text, parameterTypes }: ParseMessage): string {
  const hash = createHash('sha256').update(text).update('\0').update(parameterTypes);
  return `bk_${hash.digest('hex').slice(0, 24)}`;
}

function addBind(
  callerStatements: CallerStatements,
  draft: ChunkDraft,
  message: WireMessage,
): void {
  const bind = readBind(message);
  const statement = callerStatements.statements.get(bind.statement);
  if (!statement) {
    draft.output.push(message.frame);
    return;
  }
  if (!callerStatements.portals.has(bind.portal)) callerStatements.heldBytes += portalBytes(bind);
  callerStatements.portals.set(bind.portal, statement.classification);
  requireStatement(draft, statement);
  draft.output.push(buildBind(bind, statement.targetName));
}

/** Ensures that a statement exists on the target connection before the chunk refers to it. */
function requireStatement(draft: ChunkDraft, { parse, targetName }: PreparedStatement): void {
  if (draft.createdStatements.has(targetName)) return;
  if (targetName === '') {
    // The unnamed statement is not tracked by name on connections, so it is created again.
    draft.output.push(buildParse(parse, ''));
    draft.expected.push({ kind: 'parse', isHidden: true, statement: '' });
    draft.createdStatements.add('');
    return;
  }
  draft.requiredStatements.set(targetName, {
    name: targetName,
    parseMessage: buildParse(parse, targetName),
  });
}

function addDescribe(
  callerStatements: CallerStatements,
  draft: ChunkDraft,
  message: WireMessage,
): void {
  const { target, name } = readDescribeOrClose(message);
  const statement = target === 'S' ? callerStatements.statements.get(name) : undefined;
  if (!statement) {
    draft.output.push(message.frame);
    return;
  }
  requireStatement(draft, statement);
  draft.output.push(buildDescribeStatement(statement.targetName));
}

/**
 * Adds a Close. Other callers may use the same statement on the target connection, so only the
 * caller's own name is removed.
 */
function addClose(
  callerStatements: CallerStatements,
  draft: ChunkDraft,
  message: WireMessage,
): void {
  const { target, name } = readDescribeOrClose(message);
  draft.expected.push({ kind: 'close', isHidden: false, statement: '' });
  if (target === 'P') {
    if (callerStatements.portals.delete(name))
      callerStatements.heldBytes -= portalBytes({ portal: name });
    draft.output.push(message.frame);
    return;
  }
  removeStatement(callerStatements, name);
  draft.output.push(buildCloseStatement(ABSENT_STATEMENT_NAME));
}

function removeStatement(callerStatements: CallerStatements, name: string): void {
  callerStatements.heldBytes -= callerStatements.statements.get(name)?.heldBytes ?? 0;
  callerStatements.statements.delete(name);
}

function portalBytes({ portal }: { readonly portal: string }): number {
  return OBJECT_BYTES + portal.length;
}
