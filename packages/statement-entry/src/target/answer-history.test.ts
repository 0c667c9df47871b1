import { describe, expect, it } from 'vitest';
import type { ConnectionState, TargetOrder } from '../types/target-port.js';
import {
  createAnswerHistory,
  isReusable,
  MAX_SIGNED_ANSWERS,
  recordMatch,
} from './match-answer.js';

const MAX_HELD_BYTES = 1024 * 1024;

function recordStatements(count: number, tag: string, state: ConnectionState) {
  const history = createAnswerHistory();
  for (let number = 0; number < count; number += 1) {
    const order: TargetOrder = {
      ...{ kind: 'run', tag: `${number}${tag}`, isWrite: false, after: null, text: 'READ x' },
    };
    recordMatch(history, order, {
      ...{ rows: [], signature: `s${number}`, isError: false, state, position: null },
    });
  }
  return history;
}

describe('the history of the answers of a connection', () => {
  // Guards against a caller that fills the memory of the process: a message, and so its tag, may have 1 MiB.
  it('holds a limited number of bytes, however long the tags are', () => {
    const history = recordStatements(MAX_SIGNED_ANSWERS, 'x'.repeat(100_000), 'idle');
    const heldBytes = JSON.stringify([...history.rowCounts]).length;
    expect(heldBytes).toBeLessThan(MAX_HELD_BYTES);
  });

  // Guards against a transaction without an end that fills the memory of the process.
  it('is limited in a transaction too', () => {
    const history = recordStatements(MAX_SIGNED_ANSWERS * 20, 't', 'open');
    expect(history.rowCounts.size <= MAX_SIGNED_ANSWERS || !isReusable(history)).toBe(true);
  });
});
