import {
  type Announcement,
  type FromOwnerMessage,
  entrySettingsSchema,
  groupSchema,
  recordAnnouncement,
  type ServerName,
  toCustomerName,
  toGroupName,
  toIncarnation,
  toServerName,
  toSessionId,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { TargetConnection } from '../target/target-connection.js';
import { createTargetPool } from '../target/target-pool.js';
import {
  abortEvacuatedTransactions,
  hasOnlyEvacuatedTargets,
  isEvacuated,
  trackEvacuations,
} from './evacuated-targets.js';
import { handleEntryMessage } from './owner-app.js';
import { createGroupOwner, type GroupOwner } from './owner-state.js';
import { expireWaiting, requeue, schedule } from './scheduler.js';

const GROUP = toGroupName('g');
const SESSION = toSessionId('e1:1');
const [S1, S2] = [toServerName('s1'), toServerName('s2')];

/** Owner of a group with the primary s1 in zone a and the replica s2 in zone b. */
function createOwner(evacuated: Set<string>): GroupOwner {
  const settings = entrySettingsSchema.parse({
    entry: {
      ...{ id: 'e1', zone: 'z', callerAddress: '127.0.0.1:3', linkAddress: '127.0.0.1:4' },
      announceAddress: '127.0.0.1:5',
    },
    members: [{ id: 'c', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' }],
    link: { secret: '0123456789abcdef' },
  });
  const environment = {
    settings,
    counters: createCounters('test', undefined),
    log: () => undefined,
    holdsLease: () => true,
    groupRecord: () => ({ group: GROUP, servers: [S1, S2], primary: S1, term: 1, proposedTerm: 1 }),
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => evacuated,
    propose: () => Promise.resolve({ kind: 'done' as const }),
  };
  return createGroupOwner(GROUP, 7, environment, { schedule, requeue });
}

let sequence = 0;

function announce(owner: GroupOwner, server: ServerName): void {
  sequence += 1;
  const announcement: Announcement = {
    ...{ group: GROUP, server, incarnation: toIncarnation('i1'), sequence, address: '127.0.0.1:1' },
    ...{ commandUrl: 'http://127.0.0.1:1', zone: server === S1 ? 'a' : 'b', term: 1, slots: 2 },
    ...{ role: server === S1 ? 'primary' : 'replica', connections: 10, isLeaving: false },
    position: { term: 1, offset: 10 },
  };
  recordAnnouncement(owner.view, announcement, performance.now());
  const credentials = { user: 'u', password: '', database: GROUP };
  const options = { credentials, connectTimeoutMs: 1_000, idleCheckMs: 1_000 };
  owner.pools.set(server, createTargetPool(announcement, options));
}

function openSession(owner: GroupOwner, sent: FromOwnerMessage[]): void {
  const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
  handleEntryMessage(owner, channel, {
    ...{ kind: 'session/open', session: SESSION, group: GROUP, ownerEpoch: 7 },
    ...{ customer: toCustomerName('acme'), readAgeAllowanceMs: null, mark: null },
  });
}

function startRequest(owner: GroupOwner, sent: FromOwnerMessage[]): void {
  const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
  const chunk = { messages: new Uint8Array(), statements: [], expected: [] };
  handleEntryMessage(owner, channel, {
    ...{ kind: 'request/start', session: SESSION, number: 1, intent: 'write' },
    ...{ readAgeAllowanceMs: null, settings: {}, settingEffect: null },
    chunk: { ...chunk, isFinal: true, mayCommit: true },
  });
}

/** Opens a transaction at s1 in the session, without a running statement. */
function openTransaction(owner: GroupOwner) {
  const session = owner.sessions.get(SESSION);
  const pool = owner.pools.get(S1);
  if (!session || !pool) throw new Error('no session or no pool');
  const connection = { isClosed: true } as unknown as TargetConnection;
  pool.inUse.add(connection);
  session.pinned = { server: S1, pool, connection };
  return { session, pool };
}

describe('a group with evacuated targets', () => {
  let evacuated: Set<string>;
  let owner: GroupOwner;
  let sent: FromOwnerMessage[];

  beforeEach(() => {
    vi.useFakeTimers();
    evacuated = new Set();
    owner = createOwner(evacuated);
    sent = [];
    announce(owner, S1);
    announce(owner, S2);
    openSession(owner, sent);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('starts nothing at an evacuated primary while a target outside can replace it', () => {
    evacuated.add('a');
    startRequest(owner, sent);
    expect(isEvacuated(owner, S1)).toBe(true);
    expect(owner.pools.get(S1)?.runningCount).toBe(0);
    expect(sent).toEqual([]);
  });

  it('refuses at once as not run when all its targets are evacuated', () => {
    evacuated.add('a').add('b');
    startRequest(owner, sent);
    expect(sent).toMatchObject([{ refusal: { reason: 'no-primary', outcome: 'not-run' } }]);
  });

  it('refuses requests that waited when the last target is evacuated', () => {
    evacuated.add('a');
    startRequest(owner, sent);
    evacuated.add('b');
    expireWaiting(owner);
    expect(sent).toMatchObject([{ refusal: { reason: 'no-primary', outcome: 'not-run' } }]);
  });

  it('counts a target outside only while it announces itself', () => {
    evacuated.add('a');
    expect(hasOnlyEvacuatedTargets(owner)).toBe(false);
    vi.advanceTimersByTime(3_001);
    announce(owner, S1);
    expect(hasOnlyEvacuatedTargets(owner)).toBe(true);
  });

  it('is not given up by a new owner before the targets had time to announce themselves', () => {
    evacuated.add('a');
    const newOwner = createOwner(evacuated);
    announce(newOwner, S1);
    expect(hasOnlyEvacuatedTargets(newOwner)).toBe(false);
    vi.advanceTimersByTime(3_001);
    expect(hasOnlyEvacuatedTargets(newOwner)).toBe(true);
  });

  it('aborts transactions that are still open 3 s after the order, and not before', () => {
    const { session, pool } = openTransaction(owner);
    evacuated.add('a');
    trackEvacuations(owner);
    vi.advanceTimersByTime(2_990);
    abortEvacuatedTransactions(owner);
    expect(session.pinned).toBeDefined();
    vi.advanceTimersByTime(10);
    abortEvacuatedTransactions(owner);
    expect(session.pinned).toBeUndefined();
    expect(pool.inUse.size).toBe(0);
    expect(sent).toMatchObject([{ kind: 'session/lost', refusal: { reason: 'transaction-lost' } }]);
  });

  it('aborts a transaction whose statement waits, and refuses that statement as not run', () => {
    const { session, pool } = openTransaction(owner);
    pool.runningCount = pool.slots;
    startRequest(owner, sent);
    evacuated.add('a');
    trackEvacuations(owner);
    vi.advanceTimersByTime(3_000);
    abortEvacuatedTransactions(owner);
    expect(session.pinned).toBeUndefined();
    schedule(owner);
    expect(sent).toMatchObject([
      { kind: 'request/end', refusal: { reason: 'transaction-lost', outcome: 'not-run' } },
    ]);
  });

  it('keeps transactions when the order is withdrawn in time, and starts to count again', () => {
    const { session } = openTransaction(owner);
    evacuated.add('a');
    trackEvacuations(owner);
    vi.advanceTimersByTime(2_000);
    evacuated.clear();
    trackEvacuations(owner);
    evacuated.add('a');
    trackEvacuations(owner);
    vi.advanceTimersByTime(2_000);
    abortEvacuatedTransactions(owner);
    expect(session.pinned).toBeDefined();
  });
});
