import { describe, expect, it } from 'vitest';
import type { CallerSession } from './session-state.js';
import {
  dropPrepared,
  MAX_SESSION_STATE_BYTES,
  prepareStatement,
  setValue,
} from './session-values.js';

function createSessionState() {
  const kept: number[] = [];
  const port = { keepState: (bytes: number) => kept.push(bytes) };
  const session = { values: {}, prepared: new Map(), stateBytes: 0, port };
  return { session: session as unknown as CallerSession, kept };
}

describe('what a session keeps', () => {
  // Guards against values that are not counted: `__proto__` made the sum no number, which no bound applies to.
  it.each(['unit', '__proto__', 'constructor', 'length'])('is counted for a value %s', (name) => {
    const { session, kept } = createSessionState();
    expect(setValue(session, name, 'mm')).toBe(true);
    expect(setValue(session, name, 'inch')).toBe(true);
    expect(kept).toEqual([name.length + 2, name.length + 4]);
    expect(Object.entries(session.values)).toEqual([[name, 'inch']]);
    expect(setValue(session, 'more', 'x'.repeat(MAX_SESSION_STATE_BYTES))).toBe(false);
  });

  it.each(['q', '__proto__'])('is counted for a prepared statement %s', (name) => {
    const { session, kept } = createSessionState();
    prepareStatement(session, name, { access: 'read', shape: 'x ?' });
    dropPrepared(session, name);
    expect(kept).toEqual([name.length + 3, 0]);
  });
});
