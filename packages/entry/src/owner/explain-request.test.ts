import {
  type Announcement,
  createServerLoad,
  entrySettingsSchema,
  type FromOwnerMessage,
  groupSchema,
  type Intent,
  recordAnnouncement,
  recordSent,
  recordServed,
  toCustomerName,
  toGroupName,
  toIncarnation,
  toServerName,
  toSessionId,
} from '@bramleykeel/core';
import { createCounters } from '@bramleykeel/link';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createTargetPool } from '../target/target-pool.js';
import { explainAtOwner } from './explain-request.js';
import { handleEntryMessage } from './owner-app.js';
import { createGroupOwner, type GroupOwner } from './owner-state.js';
import { requeue, schedule } from './scheduler.js';

// No connection is opened: a request that starts keeps its slot.
vi.mock('../target/target-pool.js', async (importOriginal) => ({
  ...(await importOriginal<object>()),
  acquireConnection: () => new Promise(() => undefined),
}));

const GROUP = toGroupName('g');
const CUSTOMER = toCustomerName('acme');
const OTHER = toCustomerName('other');
const SLOTS = 3;

const mostly = <Value>(usual: Value, unusual: Value) =>
  fc.constantFrom(...Array<Value>(8).fill(usual), unusual);

const serverArbitrary = fc.record({
  isReplica: mostly(true, false),
  offset: fc.constantFrom(9, 10, 10, 11),
  term: mostly(2, 1),
  isLeaving: mostly(false, true),
  isEvacuated: mostly(false, true),
  isUnusable: mostly(false, true),
  runningCount: fc.constantFrom(0, 0, 1, 3),
  heardAgoMs: mostly(100, 5_000),
  sampleCount: fc.constantFrom(0, 5, 30),
});

const requestArbitrary = fc.record({
  intent: fc.constantFrom<Intent>('read', 'read', 'write'),
  isOther: fc.boolean(),
});

const stateArbitrary = fc.record({
  servers: fc.array(serverArbitrary, { minLength: 1, maxLength: 4 }),
  hasPrimary: mostly(true, false),
  knowsBase: mostly(true, false),
  isStopping: mostly(false, true),
  intent: fc.constantFrom<Intent>('read', 'read', 'write'),
  markOffset: fc.constantFrom(0, 10, 11, 90),
  readAgeAllowanceMs: fc.constantFrom(null, null, 50, 500),
  waiting: fc.oneof(
    fc.constant<readonly { intent: Intent; isOther: boolean }[]>([]),
    fc.array(requestArbitrary, { maxLength: 8 }),
  ),
});

type State = typeof stateArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createOwner(state: State): GroupOwner {
  const nowMs = performance.now();
  const settings = entrySettingsSchema.parse({
    entry: {
      ...{ id: 'e1', zone: 'z', callerAddress: '127.0.0.1:3', linkAddress: '127.0.0.1:4' },
      announceAddress: '127.0.0.1:5',
    },
    members: [{ id: 'c', linkAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2' }],
    link: { secret: '0123456789abcdef' },
  });
  const names = state.servers.map((_, index) => toServerName(`s${index}`));
  const primary = state.hasPrimary ? names[0] : undefined;
  const zones = state.servers.flatMap(({ isEvacuated }, index) =>
    isEvacuated ? [`z${index}`] : [],
  );
  const record = { group: GROUP, servers: names, primary, term: 2, proposedTerm: 2 };
  const environment = {
    settings,
    counters: createCounters('test', undefined),
    log: () => undefined,
    holdsLease: () => true,
    groupRecord: () => record,
    groupSetting: () => groupSchema.parse({}),
    evacuatedZones: () => new Set(zones),
    propose: () => Promise.resolve({ kind: 'done' as const }),
  };
  const owner = createGroupOwner(GROUP, 7, environment, { schedule, requeue });
  for (const [index, each] of state.servers.entries()) {
    const server = toServerName(`s${index}`);
    const isPrimary = server === primary;
    const announcement: Announcement = {
      ...{ group: GROUP, server, incarnation: toIncarnation('i1'), sequence: 1 },
      ...{ address: '127.0.0.1:1', commandUrl: 'http://127.0.0.1:1', zone: `z${index}` },
      ...{ term: each.term, slots: SLOTS, connections: 40, isLeaving: each.isLeaving },
      role: isPrimary || !each.isReplica ? 'primary' : 'replica',
      position: { term: 2, offset: each.offset },
    };
    recordAnnouncement(owner.view, announcement, nowMs - each.heardAgoMs);
    const credentials = { user: 'u', password: '', database: GROUP };
    const options = { credentials, connectTimeoutMs: 1_000, idleCheckMs: 1_000 };
    const pool = createTargetPool(announcement, options);
    pool.runningCount = each.runningCount;
    owner.pools.set(server, pool);
    if (each.isUnusable) owner.unusableUntilMs.set(server, nowMs + 150);
    const load = createServerLoad();
    for (let count = 0; count < each.sampleCount; count += 1) {
      recordSent(load, 'read', nowMs - 10);
      recordServed(load, 'read', { elapsedMs: 20, occupied: 1, slots: SLOTS }, nowMs - 10);
    }
    owner.loads.set(server, load);
  }
  if (state.knowsBase) owner.baseMark = { term: 2, offset: 10 };
  owner.highestSeen = { term: 2, offset: 11 };
  return owner;
}

type Asked = Pick<State, 'intent' | 'readAgeAllowanceMs'> & { readonly markOffset: number };

/** What one request of a new session comes to: its server, its refusal, or neither while it waits. */
function submit(
  owner: GroupOwner,
  number: number,
  customer: typeof CUSTOMER,
  { intent, markOffset, readAgeAllowanceMs }: Asked,
) {
  const before = new Map([...owner.pools].map(([name, { runningCount }]) => [name, runningCount]));
  const sent: FromOwnerMessage[] = [];
  const channel = { send: (message: FromOwnerMessage) => sent.push(message) };
  const session = toSessionId(`e1:${number}`);
  const mark = { term: 2, offset: markOffset };
  handleEntryMessage(owner, channel, {
    ...{ kind: 'session/open', session, group: GROUP, ownerEpoch: 7, customer },
    ...{ readAgeAllowanceMs, mark },
  });
  const chunk = { messages: new Uint8Array(), statements: [], expected: [] };
  handleEntryMessage(owner, channel, {
    ...{ kind: 'request/start', session, number: 1, intent, readAgeAllowanceMs },
    ...{ settings: {}, settingEffect: null, chunk: { ...chunk, isFinal: true, mayCommit: true } },
  });
  const started = [...owner.pools].find(
    ([name, { runningCount }]) => runningCount > (before.get(name) ?? 0),
  );
  const end = sent.find((message) => message.kind === 'request/end');
  return { server: started?.[0], refusal: end?.refusal?.reason };
}

describe('explainAtOwner', () => {
  beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(100_000);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against an explanation that differs from what the owner does.
  it('agrees with what the owner does in 1,000 states, and has a reason against each other server', () => {
    const seen = { run: 0, wait: 0, 'no-primary': 0, refused: 0 };
    const reasons = new Set<string>();
    let predictedCount = 0;
    fc.assert(
      fc.property(stateArbitrary, (state) => {
        const owner = createOwner(state);
        for (const [index, { intent, isOther }] of state.waiting.entries()) {
          const request = { intent, markOffset: 0, readAgeAllowanceMs: null };
          submit(owner, index + 2, isOther ? OTHER : CUSTOMER, request);
        }
        owner.isStopping = state.isStopping;
        const { intent, markOffset, readAgeAllowanceMs } = state;
        const explained = explainAtOwner(owner, {
          ...{ customer: CUSTOMER, access: intent, readAgeAllowanceMs },
          mark: { term: 2, offset: markOffset },
        });
        const { outcome, servers, predictedWaitMs } = explained;
        seen[outcome.kind] += 1;
        if (predictedWaitMs !== null && predictedWaitMs > 0) predictedCount += 1;
        for (const { isChosen, reason, isEvacuated } of servers) {
          expect(reason === undefined).toBe(isChosen);
          if (isEvacuated) expect(reason).toBe('evacuated');
          if (reason !== undefined) reasons.add(reason);
        }
        const { server, refusal } = submit(owner, 1, CUSTOMER, state);
        expect(server).toBe(outcome.kind === 'run' ? outcome.server : undefined);
        expect(refusal).toBe(outcome.kind === 'refused' ? outcome.reason : undefined);
      }),
      { numRuns: 1_000, seed: 21 },
    );
    for (const count of Object.values(seen)) expect(count).toBeGreaterThan(20);
    for (const reason of ['evacuated', 'set-aside', 'too-stale', 'behind-mark', 'no-free-slot'])
      expect(reasons).toContain(reason);
    expect(predictedCount).toBeGreaterThan(20);
  });
});
