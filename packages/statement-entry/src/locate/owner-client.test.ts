import {
  type GroupName,
  type StatementRequest,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import type { LinkError } from '@bramleykeel/link';
import { type Either, Left, Right } from 'purify-ts';
import { setTimeout as delay } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import type { EntryLinks } from './entry-links.js';
import {
  createOwnerClient,
  handleOwnerEnded,
  handleLinkLost,
  type OwnerClient,
  runStatement,
  type StatementDraft,
  handleOutcome,
} from './owner-client.js';
import { createStatementDeadlines } from './statement-deadlines.js';

const group: GroupName = toGroupName('ledger');
const done = {
  kind: 'done',
  rows: [],
  signature: 's',
  position: null,
  isFromReplica: false,
} as const;
const write: StatementDraft = {
  tag: 't',
  access: 'write',
  body: { kind: 'plain', text: 'WRITE x a' },
  transaction: null,
  customer: toCustomerName('one'),
  priority: 1,
  consistency: 'newest',
  maxReadAgeMs: 0,
  mark: null,
  values: {},
  homes: null,
};

describe('statements that are pending when their owner ends', () => {
  let client: OwnerClient;
  let epoch: number;
  let lastStartMs: number;
  let ownerZone: string | undefined;
  let ownerIncarnation: string;
  /** The owner's answer to `statement/fate`; by default it gives none. */
  let fate: Either<LinkError, readonly number[] | null>;
  let fateRequests: unknown[];
  const peer = {
    request: (method: string, params: unknown) => {
      fateRequests.push([method, params]);
      return Promise.resolve(fate);
    },
  };
  let sent: { readonly epoch: number; readonly request: StatementRequest }[];

  beforeEach(() => {
    epoch = 1;
    lastStartMs = Number.POSITIVE_INFINITY;
    ownerZone = 'ub';
    ownerIncarnation = 'b';
    sent = [];
    fate = Left({ kind: 'timeout' });
    fateRequests = [];
    const control = {
      get records() {
        const assignment = {
          ...(ownerZone === undefined ? {} : { zone: ownerZone }),
          resource: `group/${group}`,
          epoch,
          incarnation: ownerIncarnation,
          linkAddress: 'b:1',
        };
        return new Map([[`group/${group}`, { record: { kind: 'assignment', assignment } }]]);
      },
      incarnation: () => 'a',
    } as unknown as ControlClient;
    client = createOwnerClient({
      regionOf: (zone) => zone,
      homeRules: () => undefined,
      control,
      links: () => ({ linkTo: () => peer }) as unknown as EntryLinks,
      sendLocally: (_group, sentEpoch, request) => {
        sent.push({ epoch: sentEpoch, request });
        return true;
      },
      rollBackLocally: () => undefined,
      sendOverLink: (port, request) => {
        sent.push({ epoch: port.epoch, request });
        return true;
      },
      rollBackOverLink: () => undefined,
      withdrawLocally: () => undefined,
      withdrawOverLink: () => undefined,
      requestResource: () => undefined,
      lastStartMs: () => lastStartMs,
    });
  });

  function run(draft: StatementDraft = write) {
    return runStatement(client, group, draft, undefined, createStatementDeadlines(1_000, 0.45));
  }

  // Guards against content that passes through a region that is no home.
  it.each([
    { homes: null, zone: undefined, holder: 'b', isSent: true },
    { homes: ['ub'], zone: 'ub', holder: 'b', isSent: true },
    { homes: ['erdenet'], zone: 'ub', holder: 'b', isSent: false },
    { homes: ['ub'], zone: undefined, holder: 'b', isSent: false },
    { homes: ['erdenet'], zone: 'ub', holder: 'a', isSent: true },
  ])(
    'with the homes $homes and an owner in $zone at entry $holder are sent: $isSent',
    async ({ homes, zone, holder, isSent }) => {
      ownerZone = zone;
      ownerIncarnation = holder;
      const running = run({ ...write, homes });
      await delay(5);
      expect(sent).toHaveLength(isSent ? 1 : 0);
      if (isSent) handleOutcome(client, sent[0]?.request.number ?? 0, done);
      const { outcome, port } = await running;
      if (isSent) expect(outcome).toEqual(done);
      else expect(outcome).toMatchObject({ kind: 'not-run', reason: 'no-home-server' });
      expect(port !== undefined).toBe(isSent);
    },
  );

  it('end their transaction if its owner is no home any more', async () => {
    const transaction = { number: 1, isReadOnly: false, isFirst: true };
    const first = run({ ...write, transaction, homes: ['ub'] });
    await delay(5);
    handleOutcome(client, sent[0]?.request.number ?? 0, done);
    const { port } = await first;
    const draft = { ...write, transaction: { ...transaction, isFirst: false }, homes: ['erdenet'] };
    const deadlines = createStatementDeadlines(1_000, 0.45);
    const next = await runStatement(client, group, draft, port, deadlines);
    expect(next.outcome).toMatchObject({ kind: 'aborted' });
    expect(sent).toHaveLength(1);
  });

  it('are sent to the next owner if the former owner has not run them', async () => {
    const running = run();
    await delay(5);
    handleOwnerEnded(client, group, 1, []);
    await delay(60);
    expect(sent).toHaveLength(1);
    epoch = 2;
    await delay(60);
    expect(sent.map((each) => each.epoch)).toEqual([1, 2]);
    handleOutcome(client, sent[1]?.request.number ?? 0, done);
    expect((await running).outcome).toEqual(done);
  });

  it('are awaited if they still run on the former owner', async () => {
    const running = run();
    await delay(5);
    const number = sent[0]?.request.number ?? 0;
    handleOwnerEnded(client, group, 1, [number]);
    epoch = 2;
    await delay(40);
    expect(sent).toHaveLength(1);
    handleOutcome(client, number, done);
    expect((await running).outcome).toEqual(done);
  });

  it('have an unknown outcome if the link breaks before the owner reports its end', async () => {
    const running = run();
    await delay(5);
    handleLinkLost(client, 'b:1');
    expect((await running).outcome.kind).toBe('unknown');
    expect(sent).toHaveLength(1);
  });

  // Guards against a read at which one owner after another ends.
  it('are sent to at most three lost owners if they are reads', async () => {
    const timer = setInterval(() => {
      handleLinkLost(client, 'b:1');
    }, 2);
    const running = run({ ...write, access: 'read' });
    const { outcome } = await running;
    clearInterval(timer);
    expect(sent).toHaveLength(3);
    expect(outcome).toEqual({ kind: 'unknown', reason: 'lost at 3 owners of the group' });
  });

  const lastNumber = () => sent.at(-1)?.request.number ?? 0;

  it('are sent again after a lost link if the owner has not started them and promises not to', async () => {
    const running = run();
    await delay(5);
    fate = Right([lastNumber()]);
    handleLinkLost(client, 'b:1');
    await delay(60);
    expect(fateRequests).toEqual([
      ['statement/fate', [group, 1, expect.any(Number), 1, write.tag]],
    ]);
    expect(sent).toHaveLength(2);
    handleOutcome(client, lastNumber(), done);
    expect((await running).outcome).toEqual(done);
  });

  it.each([
    { name: 'has started them', answer: Right([]) },
    { name: 'has restarted', answer: Right(null) },
    { name: 'does not answer', answer: Left({ kind: 'timeout' } as const) },
  ])('have an unknown outcome after a lost link if the owner $name', async ({ answer }) => {
    const running = run();
    await delay(5);
    fate = answer;
    handleLinkLost(client, 'b:1');
    expect((await running).outcome.kind).toBe('unknown');
    expect(sent).toHaveLength(1);
  });

  it('have an unknown outcome after a lost link if the epoch of the owner has ended', async () => {
    const running = run();
    await delay(5);
    epoch = 2;
    fate = Right([1]);
    handleLinkLost(client, 'b:1');
    expect((await running).outcome.kind).toBe('unknown');
    expect(fateRequests).toEqual([]);
  });

  // Guards against a write that runs twice: the end names what runs for the link that it comes over, not for a lost one.
  it('have an unknown outcome if the owner reports its end over a new link before it answers for the lost one', async () => {
    const running = run();
    await delay(5);
    fate = Right([]);
    handleLinkLost(client, 'b:1');
    handleOwnerEnded(client, group, 1, []);
    epoch = 2;
    await delay(60);
    expect(sent).toHaveLength(1);
    expect((await running).outcome.kind).toBe('unknown');
  });

  it.each<{ name: string; change: Partial<StatementDraft>; expected: string }>([
    {
      name: 'the first of a transaction',
      change: { transaction: { number: 1, isReadOnly: false, isFirst: true } },
      expected: 'not-run',
    },
    {
      name: 'a COMMIT',
      change: {
        access: 'commit',
        transaction: { number: 1, isReadOnly: false, isFirst: true },
      },
      expected: 'not-run',
    },
    { name: 'a read that is too late to repeat', change: { access: 'read' }, expected: 'not-run' },
  ])(
    'have not run if the owner says so when it is too late: $name',
    async ({ change, expected }) => {
      const running = runStatement(client, group, { ...write, ...change }, undefined, {
        ...createStatementDeadlines(1_000, 0.45),
        startByMs: performance.now() + 1,
      });
      await delay(5);
      fate = Right([lastNumber()]);
      handleLinkLost(client, 'b:1');
      expect((await running).outcome.kind).toBe(expected);
    },
  );

  // Guards against `not-run` for a read that the lost owner may have run.
  it('may have run if they are reads that were repeated after a lost link and refused then', async () => {
    const running = run({ ...write, access: 'read' });
    await delay(5);
    handleLinkLost(client, 'b:1');
    await delay(5);
    expect(sent).toHaveLength(2);
    handleOutcome(client, lastNumber(), {
      kind: 'not-run',
      reason: 'queue-timeout',
      retryAfterMs: 200,
      reachedNoTarget: true,
    });
    expect((await running).outcome).toEqual({ kind: 'timed-out' });
    expect(fateRequests).toEqual([]);
  });

  it('are refused as not run if there is no next owner in time', async () => {
    const running = run();
    await delay(5);
    handleOwnerEnded(client, group, 1, []);
    expect((await running).outcome).toMatchObject({ kind: 'not-run', reason: 'no-owner' });
    expect(sent).toHaveLength(1);
  });

  // Guards against LOST: they waited for an owner until the end of the stop, which answered them as unknown.
  it('are refused as not run once their entry stops and starts nothing more', async () => {
    const running = run();
    await delay(5);
    handleOwnerEnded(client, group, 1, []);
    const stoppedAtMs = performance.now();
    lastStartMs = stoppedAtMs + 50;
    expect((await running).outcome).toMatchObject({ kind: 'not-run', reason: 'no-owner' });
    expect(performance.now() - stoppedAtMs).toBeLessThan(300);
  });
});
