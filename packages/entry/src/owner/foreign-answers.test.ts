import type { Socket } from 'node:net';
import {
  type FromOwnerMessage,
  type Intent,
  entrySettingsSchema,
  groupSchema,
  type RequestChunk,
  toCustomerName,
  toGroupName,
  toIncarnation,
  toServerName,
  toSessionId,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import {
  buildCommandComplete,
  buildDataRow,
  buildQuery,
  buildReadyForQuery,
  CLIENT,
  readStringPayload,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { type Script, type ScriptedServer, startScriptedServer } from '@bramleykeel/test-support';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { closeGroupOwner, handleAnnouncement, startGroupOwner } from './group-owner.js';
import { handleEntryMessage } from './owner-app.js';
import type { GroupOwner } from './owner-state.js';

const GROUP = toGroupName('g');
const SERVER = toServerName('s1');
const SESSION = toSessionId('e1:1');

function createEnvironment() {
  const settings = entrySettingsSchema.parse({
    entry: {
      ...{ id: 'e1', zone: 'z', callerAddress: '127.0.0.1:3', linkAddress: '127.0.0.1:4' },
      announceAddress: '127.0.0.1:5',
    },
    members: [{ id: 'c', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' }],
    link: { secret: '0123456789abcdef' },
  });
  const record = { group: GROUP, servers: [SERVER], primary: SERVER, term: 1, proposedTerm: 1 };
  return {
    settings,
    counters: createCounters('test', undefined),
    log: () => undefined,
    holdsLease: () => true,
    groupRecord: () => record,
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => new Set<string>(),
    propose: () => Promise.resolve({ kind: 'done' as const }),
  };
}

/** A session at the owner of a group whose only server follows a script. */
class TestSession {
  readonly sent: FromOwnerMessage[] = [];
  private lastNumber = 0;

  constructor(
    readonly owner: GroupOwner,
    readonly server: ScriptedServer,
  ) {
    handleEntryMessage(owner, this.channel, {
      ...{ kind: 'session/open', session: SESSION, group: GROUP, ownerEpoch: 7 },
      ...{ customer: toCustomerName('acme'), readAgeAllowanceMs: null, mark: null },
    });
  }

  private get channel() {
    return { send: (message: FromOwnerMessage) => this.sent.push(message) };
  }

  /** Runs a request; resolves to the answer's bytes, its refusal and its status. */
  async run(
    text: string,
    intent: Intent = 'read',
    settings: Readonly<Record<string, string>> = {},
  ) {
    const messages = buildQuery(text);
    const chunk = { messages, statements: [], expected: [], isFinal: true };
    return this.runChunk({ ...chunk, mayCommit: intent === 'write' }, intent, settings);
  }

  async runChunk(
    chunk: RequestChunk,
    intent: Intent,
    settings: Readonly<Record<string, string>> = {},
  ) {
    this.lastNumber += 1;
    const number = this.lastNumber;
    handleEntryMessage(this.owner, this.channel, {
      ...{ kind: 'request/start', session: SESSION, number, intent, chunk },
      ...{ readAgeAllowanceMs: null, settings, settingEffect: null },
    });
    return this.endOf(number);
  }

  async endOf(number: number) {
    const end = await vi.waitFor(
      () => {
        const found = this.sent.find(
          (message) => message.kind === 'request/end' && message.number === number,
        );
        if (found?.kind !== 'request/end') throw new Error(`request ${number} has not ended`);
        return found;
      },
      { timeout: 3_000, interval: 5 },
    );
    const frames = this.sent.flatMap((message) =>
      message.kind === 'request/data' && message.number === number ? [message.bytes] : [],
    );
    const text = Buffer.concat(frames).toString('latin1');
    const { reason: refusal, outcome } = end.refusal ?? {};
    return { text, refusal, outcome, status: end.status };
  }

  /** Number of connections that were closed because they were out of step, by what used them, and of harmless copies. */
  get closed() {
    const totals = this.owner.environment.counters.totals();
    return {
      unused: totals['target.message-unexpected'] ?? 0,
      inRequest: totals['target.answer-foreign'] ?? 0,
      copies: totals['target.answer-repeated'] ?? 0,
    };
  }
}

let session: TestSession | undefined;

afterEach(() => {
  if (!session) return;
  closeGroupOwner(session.owner);
  session.server.close();
});

async function openSession(script: Script): Promise<TestSession> {
  const server = await startScriptedServer(script);
  const owner = startGroupOwner(GROUP, 7, createEnvironment());
  handleAnnouncement(owner, {
    ...{ group: GROUP, server: SERVER, incarnation: toIncarnation('i1'), sequence: 1 },
    ...{ address: server.address, commandUrl: 'http://127.0.0.1:1', zone: 'a', term: 1, slots: 1 },
    ...{ role: 'primary', connections: 10, isLeaving: false, position: { term: 1, offset: 10 } },
  });
  session = new TestSession(owner, server);
  return session;
}

function answerTo(text: string, status: 'idle' | 'in-transaction' = 'idle'): Buffer[] {
  const row = buildDataRow([`row of ${text}`]);
  return [row, buildCommandComplete('SELECT 1'), buildReadyForQuery(status)];
}

function queryText(message: WireMessage): string | undefined {
  return message.type === CLIENT.query ? readStringPayload(message) : undefined;
}

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
