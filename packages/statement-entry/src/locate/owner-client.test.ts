import {
  type GroupName,
  type StatementRequest,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
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
  createStatementDeadlines,
  handleOutcome,
} from './owner-client.js';

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
};

describe('statements that are pending when their owner ends', () => {
  let client: OwnerClient;
  let epoch: number;
  let lastStartMs: number;
  let sent: { readonly epoch: number; readonly request: StatementRequest }[];

  beforeEach(() => {
    epoch = 1;
    lastStartMs = Number.POSITIVE_INFINITY;
    sent = [];
    const control = {
      get records() {
        const assignment = {
          resource: `group/${group}`,
          epoch,
          incarnation: 'b',
          linkAddress: 'b:1',
        };
        return new Map([[`group/${group}`, { record: { kind: 'assignment', assignment } }]]);
      },
      incarnation: () => 'a',
    } as unknown as ControlClient;
    client = createOwnerClient({
      control,
      links: () => ({ linkTo: () => ({}) }) as unknown as EntryLinks,
      sendLocally: () => false,
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
