import { classifyQuery, CLIENT, loadParser, type WireMessage } from '@bramleykeel/postgres-wire';
import { serialize } from 'pg-protocol';
import { beforeAll, describe, expect, it } from 'vitest';
import { type BuiltChunk, buildChunk, createCallerStatements } from './chunk-builder.js';

beforeAll(loadParser);

function toWireMessage(frame: Buffer): WireMessage {
  return { type: frame[0] ?? 0, frame };
}

function build(frames: readonly Buffer[], callerStatements = createCallerStatements()): BuiltChunk {
  return buildChunk(callerStatements, frames.map(toWireMessage), classifyQuery);
}

function extendedQuery(name: string, text: string): Buffer[] {
  return [
    serialize.parse({ name, text }),
    serialize.bind({ statement: name, values: [] }),
    serialize.execute({}),
    serialize.sync(),
  ];
}

describe('bytes held for prepared statements', () => {
  // Guards against statements that a caller keeps without their being counted, and counts that stay after them.
  it('grow with each statement and portal, and end with them', () => {
    const held = createCallerStatements();
    const text = `SELECT '${'x'.repeat(10_000)}'`;
    build([serialize.parse({ name: 'a', text }), serialize.sync()], held);
    expect(held.heldBytes).toBeGreaterThan(10_000);
    const ofOne = held.heldBytes;
    build([serialize.parse({ name: 'a', text }), serialize.sync()], held);
    expect(held.heldBytes).toBe(ofOne);
    const bind = serialize.bind({ portal: 'p', statement: 'a', values: [] });
    build([serialize.parse({ name: 'b', text }), bind, bind, serialize.sync()], held);
    expect(held.heldBytes).toBeGreaterThan(2 * ofOne);
    const close = ['a', 'b'].map((name) => serialize.close({ type: 'S', name }));
    build([...close, serialize.close({ type: 'P', name: 'p' }), serialize.sync()], held);
    expect(held.heldBytes).toBe(0);
  });
});

describe('buildChunk', () => {
  const CASES: readonly [string, string, BuiltChunk['intent'], number, boolean][] = [
    ['a read', 'SELECT 1', 'read', 1, false],
    ['a write', "INSERT INTO b VALUES ('1')", 'write', 1, true],
    ['a write in a CTE', 'WITH d AS (DELETE FROM b RETURNING 1) SELECT * FROM d', 'write', 1, true],
    ['a locking read', 'SELECT 1 FROM b FOR UPDATE', 'write', 1, true],
    [
      'a locking read below a union',
      '(SELECT 1 FROM b FOR SHARE) UNION SELECT 2',
      'write',
      1,
      true,
    ],
    ['a sequence function', "SELECT nextval('s')", 'write', 1, true],
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
  it.each(CASES)('classifies %s', (_name, text, intent, tokenCount, mayCommit) => {
    for (const frames of [[serialize.query(text)], extendedQuery('', text)]) {
      const isMultiple = text.includes(';') && frames.length > 1;
      if (isMultiple) continue;
      const built = build(frames);
      expect([built.intent, built.tokenCount, built.chunk.mayCommit]).toEqual([
        intent,
        tokenCount,
        mayCommit,
      ]);
      expect(built.unsupportedReason).toBeUndefined();
    }
  });

  it('gives identical statements of different callers the same name on target connections', () => {
    const [left, right, other] = ['a', 'b', 'a'].map((name, index) =>
      build(extendedQuery(name, index === 2 ? 'SELECT 2' : 'SELECT 1')),
    );
    const nameOf = (built: BuiltChunk | undefined) => built?.chunk.expected[0]?.statement;
    expect(nameOf(left)).toBe(nameOf(right));
    expect(nameOf(left)).not.toBe(nameOf(other));
  });

  it('lists the prepared statements that a later chunk requires on its connection', () => {
    const callerStatements = createCallerStatements();
    build(extendedQuery('p', 'SELECT 1'), callerStatements);
    const later = build(
      [serialize.bind({ statement: 'p' }), serialize.execute({}), serialize.sync()],
      callerStatements,
    );
    expect(later.chunk.statements).toHaveLength(1);
    expect(later.intent).toBe('read');
  });

  it('creates the unnamed statement again in a later chunk, hidden from the caller', () => {
    const callerStatements = createCallerStatements();
    build([serialize.parse({ text: 'SELECT 1' }), serialize.sync()], callerStatements);
    const later = build(
      [serialize.bind({}), serialize.execute({}), serialize.sync()],
      callerStatements,
    );
    expect(later.chunk.expected).toEqual([{ kind: 'parse', isHidden: true, statement: '' }]);
    expect(later.chunk.messages[0]).toBe(CLIENT.parse);
  });

  it("closes only the caller's name for a statement, never the shared statement", () => {
    const callerStatements = createCallerStatements();
    const shared =
      build(extendedQuery('p', 'SELECT 1'), callerStatements).chunk.expected[0]?.statement ?? '';
    const closed = build(
      [serialize.close({ type: 'S', name: 'p' }), serialize.sync()],
      callerStatements,
    );
    expect(Buffer.from(closed.chunk.messages).toString()).not.toContain(shared);
    expect(callerStatements.statements.has('p')).toBe(false);
  });

  it('reports the session setting that a request sets or clears', () => {
    const effectOf = (text: string) => build([serialize.query(text)]).settingEffect;
    expect(effectOf("SET TimeZone TO 'UTC'")).toEqual({
      name: 'timezone',
      text: "SET TimeZone TO 'UTC'",
    });
    expect(effectOf('RESET timezone')).toEqual({ name: 'timezone', text: null });
    expect(effectOf('RESET ALL')).toEqual({ name: null, text: null });
    expect(effectOf('SET LOCAL timezone = 1')).toBeNull();
  });

  it('does not mark a chunk that ends with Flush as final', () => {
    expect(build([serialize.parse({ text: 'SELECT 1' }), serialize.flush()]).chunk.isFinal).toBe(
      false,
    );
  });
});
