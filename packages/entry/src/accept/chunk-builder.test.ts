import { classifyQuery, CLIENT, loadParser, type WireMessage } from '@bramleykeel/postgres-wire';
import { serialize } from 'pg-protocol';
import { beforeAll, describe, expect, it } from 'vitest';
import { type BuiltChunk, buildChunk, createCallerStatements } from './chunk-builder.js';

beforeAll(loadParser);

function wire(frame: Buffer): WireMessage {
  return { type: frame[0] ?? 0, frame };
}

function build(frames: readonly Buffer[], known = createCallerStatements()): BuiltChunk {
  return buildChunk(known, frames.map(wire), classifyQuery);
}

function prepared(name: string, text: string): Buffer[] {
  return [
    serialize.parse({ name, text }),
    serialize.bind({ statement: name, values: [] }),
    serialize.execute({}),
    serialize.sync(),
  ];
}

describe('buildChunk', () => {
  const CLASSES: readonly [string, string, BuiltChunk['intent'], number, boolean][] = [
    ['a read', 'SELECT 1', 'read', 1, false],
    ['a write', "INSERT INTO b VALUES ('1')", 'write', 1, true],
    [
      'a write hidden in a CTE',
      'WITH d AS (DELETE FROM b RETURNING 1) SELECT * FROM d',
      'write',
      1,
      true,
    ],
    ['a locking read', 'SELECT 1 FROM b FOR UPDATE', 'write', 1, true],
    [
      'a locking read below a union',
      '(SELECT 1 FROM b FOR SHARE) UNION SELECT 2',
      'write',
      1,
      true,
    ],
    ['a sequence', "SELECT nextval('s')", 'write', 1, true],
    ['SELECT INTO', 'SELECT 1 INTO t', 'write', 1, true],
    ['EXPLAIN', 'EXPLAIN SELECT 1', 'read', 1, false],
    ['EXPLAIN ANALYZE', 'EXPLAIN ANALYZE DELETE FROM b', 'write', 1, true],
    ['a read-only transaction', 'BEGIN READ ONLY', 'read', 0, false],
    ['a transaction', 'BEGIN', 'write', 0, false],
    ['COMMIT', 'COMMIT', 'write', 0, true],
    ['two statements', 'SELECT 1; SELECT 2', 'read', 2, false],
    ['a syntax error', 'SELEC', 'write', 1, true],
    ['nothing', '', 'read', 0, false],
  ];
  it.each(CLASSES)('classifies %s', (_name, text, intent, tokenCount, mayCommit) => {
    for (const frames of [[serialize.query(text)], prepared('', text)]) {
      const isMultiple = text.includes(';') && frames.length > 1;
      if (isMultiple) continue;
      const built = build(frames);
      expect([built.intent, built.tokenCount, built.chunk.mayCommit]).toEqual([
        intent,
        tokenCount,
        mayCommit,
      ]);
      expect(built.unsupported).toBeUndefined();
    }
  });

  it('gives equal statements of different callers one name on target connections', () => {
    const [left, right, other] = ['a', 'b', 'a'].map((name, index) =>
      build(prepared(name, index === 2 ? 'SELECT 2' : 'SELECT 1')),
    );
    const nameOf = (built: BuiltChunk | undefined) => built?.chunk.expected[0]?.statement;
    expect(nameOf(left)).toBe(nameOf(right));
    expect(nameOf(left)).not.toBe(nameOf(other));
  });

  it('names the statements that a later chunk needs on its connection', () => {
    const known = createCallerStatements();
    build(prepared('p', 'SELECT 1'), known);
    const later = build(
      [serialize.bind({ statement: 'p' }), serialize.execute({}), serialize.sync()],
      known,
    );
    expect(later.chunk.statements).toHaveLength(1);
    expect(later.intent).toBe('read');
  });

  it('creates the unnamed statement again in a later chunk, unseen by the caller', () => {
    const known = createCallerStatements();
    build([serialize.parse({ text: 'SELECT 1' }), serialize.sync()], known);
    const later = build([serialize.bind({}), serialize.execute({}), serialize.sync()], known);
    expect(later.chunk.expected).toEqual([{ kind: 'parse', isHidden: true, statement: '' }]);
    expect(later.chunk.messages[0]).toBe(CLIENT.parse);
  });

  it('closes only the name of the caller, never the shared statement', () => {
    const known = createCallerStatements();
    const shared = build(prepared('p', 'SELECT 1'), known).chunk.expected[0]?.statement ?? '';
    const closed = build([serialize.close({ type: 'S', name: 'p' }), serialize.sync()], known);
    expect(Buffer.from(closed.chunk.messages).toString()).not.toContain(shared);
    expect(known.statements.has('p')).toBe(false);
  });

  it('tells which session setting a request makes or clears', () => {
    const effectOf = (text: string) => build([serialize.query(text)]).settingEffect;
    expect(effectOf("SET TimeZone TO 'UTC'")).toEqual({
      name: 'timezone',
      text: "SET TimeZone TO 'UTC'",
    });
    expect(effectOf('RESET timezone')).toEqual({ name: 'timezone', text: null });
    expect(effectOf('RESET ALL')).toEqual({ name: null, text: null });
    expect(effectOf('SET LOCAL timezone = 1')).toBeNull();
  });

  it('does not end with a Flush', () => {
    expect(build([serialize.parse({ text: 'SELECT 1' }), serialize.flush()]).chunk.isFinal).toBe(
      false,
    );
  });
});
