import {
  buildDataRow,
  buildErrorResponse,
  buildReadyForQuery,
  loadParser,
  parseStatements,
  SERVER,
} from '@bramleykeel/postgres-wire';
import type { Script } from '@bramleykeel/test-support';
import { afterEach, describe, expect, it } from 'vitest';
import {
  answerTo,
  closeTestSession,
  openSession,
  queryText,
  SERVER_NAME,
} from './owner-session.test-support.js';

afterEach(closeTestSession);

// Guards against a message that cannot be read and counts as a connection that the server ended.
describe('a message of a server whose length is not allowed', () => {
  const NEGATIVE_LENGTH = Buffer.from([SERVER.dataRow, 0xff, 0xff, 0xff, 0xff]);
  const TOO_LONG = Buffer.from([SERVER.dataRow, 0x7f, 0xff, 0xff, 0xff]);
  const line = 'server sent a message that cannot be read; closing the connection';

  it.each([
    { problem: 'malformed', rest: NEGATIVE_LENGTH, intent: 'read' },
    { problem: 'malformed', rest: NEGATIVE_LENGTH, intent: 'write' },
    { problem: 'too-large', rest: TOO_LONG, intent: 'read' },
    { problem: 'too-large', rest: TOO_LONG, intent: 'write' },
  ] as const)('leaves a $intent without an answer: $problem', async ({ problem, rest, intent }) => {
    const tested = await openSession({ onMessage: () => [buildDataRow(['a']), rest] });
    expect(await tested.run('SELECT x', intent)).toMatchObject({
      ...{ text: '', refusal: 'target-out-of-step', outcome: 'outcome-unknown' },
    });
    const counted = tested.owner.environment.counters.totals()['target.message-unreadable'];
    expect(counted).toBeGreaterThan(0);
    const fields = tested.logged.find(({ message }) => message === line)?.fields;
    expect(fields).toMatchObject({ server: SERVER_NAME, problem, moment: 'unreadable' });
  });
});

// Guards against a read that runs again and again because its answer can be read from no server.
describe('a read without an answer', () => {
  const UNREADABLE = Buffer.from([SERVER.dataRow, 0xff, 0xff, 0xff, 0xff]);

  /** Leaves queries without an answer, by an unreadable one or by the end of the connection. */
  function leaveUnanswered(closedBy: string, onRun: () => void): Script {
    return {
      onMessage: (message, socket) => {
        if (queryText(message) === undefined) return [];
        onRun();
        if (closedBy === 'owner') return [buildDataRow(['a']), UNREADABLE];
        socket.destroy();
        return [];
      },
    };
  }

  it.each(['owner', 'server'])('runs at most three times: closed by the %s', async (closedBy) => {
    let runs = 0;
    const tested = await openSession(leaveUnanswered(closedBy, () => (runs += 1)));
    expect(await tested.run('SELECT x')).toMatchObject({ outcome: 'outcome-unknown', text: '' });
    expect(runs).toBe(3);
    const lines = tested.logged.filter(
      ({ message }) => message === 'request left without an answer',
    );
    expect(lines.map(({ fields }) => fields)).toMatchObject(
      [1, 2, 3].map((count) => ({ closedBy, unansweredRuns: count, isRetried: count < 3 })),
    );
  });

  it('is not refused as not run when it waits for another run', async () => {
    let closeServer: () => void = () => undefined;
    const script = leaveUnanswered('server', () => {
      closeServer();
    });
    const tested = await openSession(script, { queueTimeoutMs: 300, failoverWaitMs: 300 });
    closeServer = tested.server.close;
    expect(await tested.run('SELECT x')).toMatchObject({ outcome: 'outcome-unknown' });
  });
});

// Guards against one connection after another without a pause.
describe('a connection that cannot be prepared for a request', () => {
  const ERROR = buildErrorResponse({ severity: 'ERROR', sqlState: '22023', message: 'no' });

  it.each([
    { name: 'the server ends it', answer: undefined },
    { name: 'the answer cannot be read', answer: [Buffer.from([SERVER.dataRow, 0, 0, 0, 0])] },
    { name: 'the setting is refused', answer: [ERROR, buildReadyForQuery('idle')] },
  ])('is followed by another one after a pause: $name', async ({ answer }) => {
    let setups = 0;
    const script: Script = {
      onMessage: (message, socket) => {
        if (queryText(message) === undefined) return [];
        setups += 1;
        if (!answer) socket.destroy();
        return answer ?? [];
      },
    };
    const tested = await openSession(script, { queueTimeoutMs: 300, failoverWaitMs: 300 });
    const settings = { work_mem: "SET work_mem = '1MB'" };
    expect(await tested.run('SELECT x', 'read', settings)).toMatchObject({ outcome: 'not-run' });
    expect(setups).toBeGreaterThan(0);
    expect(setups).toBeLessThan(10);
    const retries = tested.owner.environment.counters.totals()['retry.not-prepared'];
    expect(retries).toBe(setups);
  });
});

describe('a write that its server refuses as read-only', () => {
  it('is sent four times, and its caller gets the refusal', async () => {
    const refused = { severity: 'ERROR', sqlState: '25006', message: 'read-only' } as const;
    let runs = 0;
    const tested = await openSession({
      onMessage: (message) => {
        if (queryText(message) === undefined) return [];
        runs += 1;
        return [buildErrorResponse(refused), buildReadyForQuery('idle')];
      },
    });
    const { text, refusal } = await tested.run('INSERT x', 'write');
    expect(refusal).toBeUndefined();
    expect(text).toContain('25006');
    expect(runs).toBe(4);
  });
});

// Guards against a storm of connections: each further attempt opens one.
it('settings that a server refuses are not applied on one connection after another', async () => {
  let count = 0;
  const tested = await openSession({
    onMessage: (message) => {
      const text = queryText(message);
      if (text === undefined) return [];
      if (!text.startsWith('SET')) return answerTo(text);
      count += 1;
      const error = { severity: 'ERROR' as const, sqlState: '22023', message: 'invalid value' };
      return [buildErrorResponse(error), buildReadyForQuery('idle')];
    },
  });
  const ended = tested.run('SELECT x', 'read', { search_path: "SET search_path TO 'a'" });
  expect(await ended).toMatchObject({ outcome: 'not-run', status: 'idle' });
  expect(count).toBeGreaterThan(0);
  expect(count).toBeLessThan(5);
});

// Guards against PINNED: a comment at the end of one setting hid the next one, which counted as applied.
it('settings are applied one by one also if they end in a comment', async () => {
  await loadParser();
  const applied: string[] = [];
  const tested = await openSession({
    onMessage: (message) => {
      const text = queryText(message);
      if (text === undefined) return [];
      if (text.includes('SET')) applied.push(text);
      return answerTo(text);
    },
  });
  const settings = {
    search_path: "SET search_path = 'a' -- for reports",
    timezone: "SET timezone = 'UTC'",
  };
  await tested.run('SELECT x', 'read', settings);
  expect(parseStatements(applied[0] ?? '')).toHaveLength(2);
});
