import {
  entrySettingsSchema,
  type FromOwnerMessage,
  groupSchema,
  type RequestChunk,
  toCustomerName,
  toGroupName,
  toServerName,
  toSessionId,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { describe, expect, it } from 'vitest';
import {
  closeSession,
  endIdleTransactions,
  handleEntryMessage,
  requestStatusOf,
} from './owner-app.js';
import { createGroupOwner, type GroupOwner } from './owner-state.js';
import { startOnConnection } from './request-run.js';
import type { TargetConnection } from '../target/target-connection.js';
import type { TargetPool } from '../target/target-pool.js';

const GROUP = toGroupName('g');
const SESSION = toSessionId('e1:1');
const CHUNK: RequestChunk = {
  messages: new Uint8Array(),
  statements: [],
  expected: [],
  isFinal: true,
  mayCommit: true,
};

function createOwner(): GroupOwner {
  const member = { id: 'c', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' };
  const settings = entrySettingsSchema.parse({
    entry: {
      id: 'e1',
      zone: 'z',
      callerAddress: '127.0.0.1:3',
      linkAddress: '127.0.0.1:4',
      announceAddress: '127.0.0.1:5',
    },
    members: [member],
    link: { secret: '0123456789abcdef' },
  });
  const environment = {
    settings,
    counters: createCounters('test', undefined),
    log: () => undefined,
    holdsLease: () => true,
    groupRecord: () => ({
      group: GROUP,
      servers: [],
      primary: undefined,
      term: 0,
      proposedTerm: 0,
    }),
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => new Set<string>(),
    propose: () => Promise.resolve({ kind: 'done' as const }),
  };
  const scheduler = { schedule: () => undefined, requeue: () => undefined };
  return createGroupOwner(GROUP, 7, environment, scheduler);
}

function openSession(owner: GroupOwner, sent: FromOwnerMessage[]): void {
  const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
  handleEntryMessage(owner, channel, {
    kind: 'session/open',
    session: SESSION,
    group: GROUP,
    ownerEpoch: 7,
    customer: toCustomerName('acme'),
    readAgeAllowanceMs: null,
    mark: null,
  });
}

function openAndStart(owner: GroupOwner, sent: FromOwnerMessage[], number = 1): void {
  openSession(owner, sent);
  start(owner, sent, number);
}

function start(owner: GroupOwner, sent: FromOwnerMessage[], number: number): void {
  const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
  handleEntryMessage(owner, channel, {
    kind: 'request/start',
    session: SESSION,
    number,
    intent: 'write',
    readAgeAllowanceMs: null,
    settings: {},
    settingEffect: null,
    chunk: CHUNK,
  });
}

const QUERY = { ownerEpoch: 7, session: SESSION, number: 1 };

describe('requestStatusOf', () => {
  it('guarantees that a waiting request will not start, and drops it', () => {
    const owner = createOwner();
    openAndStart(owner, []);
    expect(requestStatusOf(owner, QUERY)).toBe('not-started');
    expect([...owner.queue.customers.values()].flatMap(({ items }) => items)).toEqual([]);
  });

  it('refuses a request that arrives after its status query', () => {
    const owner = createOwner();
    expect(requestStatusOf(owner, QUERY)).toBe('not-started');
    const sent: FromOwnerMessage[] = [];
    openAndStart(owner, sent);
    expect(sent).toMatchObject([
      { kind: 'request/end', refusal: { reason: 'owner-lost-before-start' } },
    ]);
    expect(owner.sessions.size).toBe(0);
  });

  it('reports may-have-run once a byte may have reached a target, also after the session has closed', () => {
    const owner = createOwner();
    openAndStart(owner, []);
    owner.lastSentRequests.set(SESSION, { number: 1, atMs: 0 });
    closeSession(owner, SESSION);
    expect(requestStatusOf(owner, QUERY)).toBe('may-have-run');
  });

  it('distinguishes requests of the same session', () => {
    const owner = createOwner();
    owner.lastSentRequests.set(SESSION, { number: 1, atMs: 0 });
    expect(requestStatusOf(owner, { ...QUERY, number: 2 })).toBe('not-started');
  });
});

describe('a statement of an open transaction', () => {
  it('never runs outside of it when the lease ends before the statement is sent', async () => {
    const owner = createOwner();
    const sent: FromOwnerMessage[] = [];
    openAndStart(owner, sent);
    const session = owner.sessions.get(SESSION);
    const request = session?.request;
    if (!session || !request) throw new Error('no request was started');
    const pool = { runningCount: 1, idle: [], inUse: new Set() } as unknown as TargetPool;
    const connection = { isClosed: true, settings: new Map() } as unknown as TargetConnection;
    const pinned = { server: toServerName('s1'), pool, connection };
    session.pinned = pinned;
    const withoutLease = {
      ...owner,
      environment: { ...owner.environment, holdsLease: () => false },
    };
    const running = {
      ...pinned,
      isOnReplica: false,
      term: 1,
      lastSentMs: 0,
      isEndSent: false,
      isCheckingConnection: false,
    };
    await startOnConnection(withoutLease, request, running);
    expect(sent).toMatchObject([{ kind: 'request/end', refusal: { reason: 'transaction-lost' } }]);
    expect(session.pinned).toBeUndefined();
  });
});

describe('a statement that crosses the report of its lost transaction', () => {
  // Guards against a statement of a lost transaction that is run, and committed, outside of it.
  it('is refused as not run', () => {
    const owner = createOwner();
    const sent: FromOwnerMessage[] = [];
    openSession(owner, sent);
    const session = owner.sessions.get(SESSION);
    if (!session) throw new Error('no session was opened');
    const pool = { runningCount: 0, idle: [], inUse: new Set() } as unknown as TargetPool;
    const connection = { isClosed: true } as unknown as TargetConnection;
    session.pinned = { server: toServerName('s1'), pool, connection };
    session.pinnedSinceMs = -owner.environment.settings.requests.idleTransactionMs;
    endIdleTransactions(owner);
    expect(sent).toMatchObject([{ kind: 'session/lost' }]);
    start(owner, sent, 1);
    expect(sent.at(-1)).toMatchObject({ kind: 'request/end', refusal: { outcome: 'not-run' } });
    expect([...owner.queue.customers.values()].flatMap(({ items }) => items)).toEqual([]);
  });
});

describe('a message for an owner', () => {
  it('is refused as not run when the session is unknown', () => {
    const owner = createOwner();
    const sent: FromOwnerMessage[] = [];
    const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
    handleEntryMessage(owner, channel, {
      kind: 'request/start',
      session: SESSION,
      number: 3,
      intent: 'read',
      readAgeAllowanceMs: null,
      settings: {},
      settingEffect: null,
      chunk: CHUNK,
    });
    expect(sent).toMatchObject([{ number: 3, refusal: { outcome: 'not-run' } }]);
  });

  it('is refused as not run while the owner hands over', () => {
    const owner = createOwner();
    owner.isStopping = true;
    const sent: FromOwnerMessage[] = [];
    openAndStart(owner, sent);
    expect(sent).toMatchObject([{ refusal: { reason: 'owner-stopping', outcome: 'not-run' } }]);
  });
});
