import type { Socket } from 'node:net';
import { buildDataRow } from '@bramleykeel/postgres-wire';
import type { Script } from '@bramleykeel/test-support';
import { afterEach, describe, expect, it, vi } from 'vitest';
import {
  answerTo,
  closeTestSession,
  openSession,
  queryText,
} from './owner-session.test-support.js';

afterEach(closeTestSession);

/** Answers each query; `repeat` may add what a stuttering server sends. */
function stutter(repeat: (text: string, socket: Socket) => Buffer[] | undefined): Script {
  return {
    onMessage: (message, socket) => {
      const text = queryText(message);
      if (text === undefined) return [];
      const status = text === 'BEGIN' || text.startsWith('tx ') ? 'in-transaction' : 'idle';
      return [...answerTo(text, status), ...(repeat(text, socket) ?? [])];
    },
  };
}

// Guards against a repeated answer that arrives while its connection is unused and is then taken for the next answer.
describe('an answer that arrives again after its request has ended', () => {
  it('in the same write as its echo leaves the answer valid and ends the connection', async () => {
    const tested = await openSession({
      ...stutter(() => undefined),
      onEcho: (answer) => Buffer.concat([answer, ...answerTo('SELECT x')]),
    });
    expect(await tested.run('SELECT x')).toMatchObject({ refusal: undefined, status: 'idle' });
    expect(tested.closed).toEqual({ unused: 1, inRequest: 0, copies: 0 });
    const { text } = await tested.run('SELECT y');
    expect(text).toContain('row of SELECT y');
    expect(text).not.toContain('row of SELECT x');
  });

  it('before its echo does no harm if it is equal to the first', async () => {
    const tested = await openSession(
      stutter((text) => (text === 'SELECT x' ? answerTo(text) : undefined)),
    );
    // A statement that arrives while the pool opens its connection would open another one.
    await tested.warmUp();
    const { text, refusal } = await tested.run('SELECT x');
    const sockets = [...tested.server.sockets];
    expect(refusal).toBeUndefined();
    expect(text.match(/row of SELECT x/g)).toHaveLength(1);
    expect(tested.closed).toEqual({ unused: 0, inRequest: 0, copies: 1 });
    expect((await tested.run('SELECT y')).text).toContain('row of SELECT y');
    expect(sockets).toHaveLength(1);
    expect([...tested.server.sockets]).toEqual(sockets);
    expect(sockets[0]?.destroyed).toBe(false);
  });

  it('ends the connection of an open transaction, which is reported as lost', async () => {
    const tested = await openSession(
      stutter((text, socket) => {
        if (text === 'BEGIN') {
          setTimeout(() => socket.write(Buffer.concat(answerTo(text, 'in-transaction'))), 30);
        }
        return undefined;
      }),
    );
    expect(await tested.run('BEGIN', 'write')).toMatchObject({ status: 'in-transaction' });
    await vi.waitFor(() => {
      expect(tested.sent.at(-1)).toMatchObject({
        ...{ kind: 'session/lost', refusal: { reason: 'transaction-lost' } },
      });
    });
    expect(tested.closed).toEqual({ unused: 1, inRequest: 0, copies: 0 });
  });

  it('never lets a statement of an open transaction run on the closed connection', async () => {
    const tested = await openSession({
      ...stutter(() => undefined),
      onEcho: (answer) => Buffer.concat([answer, ...answerTo('BEGIN', 'in-transaction')]),
    });
    await tested.run('BEGIN', 'write');
    expect(await tested.run('tx SELECT y', 'write')).toMatchObject({
      ...{ text: '', outcome: 'not-run' },
    });
  });
});

// Guards against the late copy of an earlier answer that is taken for the answer to the request that runs.
describe('a copy of an earlier answer that arrives while a request runs', () => {
  /** Sends the answer to `SELECT x` again with the answers to other queries, `times` times. */
  function lateCopies(times: number, place: 'before' | 'inside' | 'behind'): Script {
    let remaining = times;
    const [row, complete, ready] = answerTo('SELECT x');
    const copy = [row, complete, ready].filter((frame) => frame !== undefined);
    return {
      onMessage: (message) => {
        const text = queryText(message) ?? '';
        const status = text === 'BEGIN' || text.startsWith('tx ') ? 'in-transaction' : 'idle';
        const answer = answerTo(text, status);
        if (text === 'SELECT x' || text === 'BEGIN' || remaining === 0) return answer;
        remaining -= 1;
        if (place === 'before') return [...copy, ...answer];
        if (place === 'behind') return [...answer, ...copy];
        return [...answer.slice(0, 1), ...copy, ...answer.slice(1)];
      },
    };
  }

  const PLACES = ['before', 'inside', 'behind'] as const;

  it.each(PLACES)('%s the right one: a read is repeated elsewhere', async (place) => {
    const tested = await openSession(lateCopies(2, place));
    await tested.run('SELECT x');
    const { text, refusal } = await tested.run('SELECT y');
    expect(refusal).toBeUndefined();
    expect(text).toContain('row of SELECT y');
    expect(text).not.toContain('row of SELECT x');
    expect(tested.closed).toEqual({ unused: 0, inRequest: 2, copies: 0 });
  });

  it.each(PLACES)('%s the right one: a write has an unknown outcome', async (place) => {
    const tested = await openSession(lateCopies(1, place));
    await tested.run('SELECT x');
    expect(await tested.run('INSERT y', 'write')).toMatchObject({
      ...{ text: '', refusal: 'target-out-of-step', outcome: 'outcome-unknown', status: 'idle' },
    });
    expect((await tested.run('SELECT y')).text).toContain('row of SELECT y');
  });

  it('loses an open transaction, which has not run', async () => {
    const tested = await openSession(lateCopies(1, 'before'));
    await tested.run('SELECT x');
    await tested.run('BEGIN');
    expect(await tested.run('tx SELECT y')).toMatchObject({
      ...{ text: '', refusal: 'transaction-lost', outcome: 'not-run' },
    });
  });

  it('is found before the request, in the answer to its settings', async () => {
    const tested = await openSession(lateCopies(1, 'before'));
    await tested.run('SELECT x');
    const { text } = await tested.run('SELECT y', 'read', { work_mem: "SET work_mem = '1MB'" });
    expect(text).toContain('row of SELECT y');
    expect(tested.closed).toEqual({ unused: 0, inRequest: 1, copies: 0 });
  });

  it('is found in the rows of a large result, whose caller gets an error', async () => {
    const rows = Array.from({ length: 3_000 }, () => buildDataRow(['a row of a large result']));
    const tested = await openSession({
      onMessage: () => [...rows, ...answerTo('SELECT x'), ...answerTo('SELECT y')],
    });
    expect(await tested.run('SELECT y')).toMatchObject({ refusal: 'target-out-of-step' });
  });
});
