import { newestAcknowledged, type StatementRequest } from '@bramleykeel/core';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeGroup, type FakeGroup, type FakeServer } from '../test-support/fake-group.js';
import { runStatementAt } from '../test-support/run-statement.js';
import { mayHaveUnknownReplicas, newestAcknowledgedOf } from './membership.js';
import { closeStatementOwner } from './owner-lifecycle.js';
import type { StatementOwner } from './owner-state.js';
import { recordServerPlaces } from './server-places.js';
import { takeOver } from './take-over.js';

const at = (offset: number) => ({ term: 3, offset });

describe('the acknowledged position of an owner', () => {
  let fake: FakeGroup;
  let owner: StatementOwner;
  let primary: FakeServer;

  beforeEach(async () => {
    fake = createFakeGroup(3);
    ({ owner } = fake);
    [primary] = fake.servers as [FakeServer];
    recordServerPlaces(owner);
    await takeOver(owner);
  });

  afterEach(() => {
    closeStatementOwner(owner);
  });

  function inTransaction(isFirst: boolean): Partial<StatementRequest> {
    return { transaction: { number: 1, isReadOnly: false, isFirst } };
  }

  function newest() {
    return owner.acknowledgedPositions && newestAcknowledged(owner.acknowledgedPositions);
  }

  // Guards against LOST: another owner under the same epoch chooses a successor without what this one acknowledges.
  it('does not grow after a lost lease has closed it, although the lease is held again', async () => {
    primary.statementMs = 100;
    const write = runStatementAt(owner, 'write');
    await delay(20);
    closeStatementOwner(owner);
    expect(await write).toMatchObject({ kind: 'unknown' });
  });

  it('covers the commit of a transaction that has written', async () => {
    await runStatementAt(owner, 'write', inTransaction(true));
    primary.position = at(70);
    expect(await runStatementAt(owner, 'commit', inTransaction(false))).toMatchObject({
      kind: 'done',
    });
    expect(newest()).toEqual(at(70));
  });

  // Guards against a wait without need: such a commit is answered at a position that no replica may have reached.
  it('does not grow with the commit of a transaction that wrote nothing', async () => {
    const before = newest();
    await runStatementAt(owner, 'read', inTransaction(true));
    primary.position = at(70);
    expect(await runStatementAt(owner, 'commit', inTransaction(false))).toMatchObject({
      kind: 'done',
    });
    expect(newest()).toEqual(before);
  });

  it('covers what was acknowledged before the lease was lost under the same epoch', () => {
    owner.acknowledgedBefore = at(90);
    expect(newestAcknowledgedOf(owner)).toEqual(at(90));
  });

  it('is not waited for in unknown replicas if the group may lose commits by its settings', () => {
    expect(mayHaveUnknownReplicas(owner)).toBe(true);
    const settings = owner.environment.groupSettings();
    const groupSettings = () => settings && { ...settings, isSynchronous: false };
    const asynchronous = { ...owner, environment: { ...owner.environment, groupSettings } };
    expect(mayHaveUnknownReplicas(asynchronous)).toBe(false);
  });
});
