import { type ServerAnnouncement, type ServerName, toServerName } from '@bramleykeel/core';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeGroup, type FakeGroup } from '../test-support/fake-group.js';
import { runStatementAt } from '../test-support/run-statement.js';
import {
  applyServerAnnouncement,
  closeStatementOwner,
  handleServerLeave,
  startStatementOwner,
} from './owner-lifecycle.js';
import { createStatementOwner, type StatementOwner } from './owner-state.js';
import { loadRecordedServers, recordServerPlaces } from './server-places.js';
import { takeOver } from './take-over.js';

const FIRST = toServerName('i-1');
const LEAVING = [FIRST, toServerName('i-2')];

/** Lets control apply what was proposed. */
const applied = () => new Promise(setImmediate);

function announcementOf(owner: StatementOwner, name: ServerName): ServerAnnouncement {
  const server = owner.servers.get(name);
  if (!server) throw new Error(`the owner does not know ${name}`);
  return server.announcement;
}

describe('servers that leave', () => {
  let fake: FakeGroup;
  let owner: StatementOwner;

  beforeEach(async () => {
    fake = createFakeGroup(3);
    ({ owner } = fake);
    recordServerPlaces(owner);
    await takeOver(owner);
    await applied();
  });

  afterEach(() => {
    closeStatementOwner(owner);
  });

  async function announceDepartures(): Promise<void> {
    for (const name of LEAVING)
      applyServerAnnouncement(owner, {
        ...announcementOf(owner, name),
        ...{ isLeaving: true, sequence: 5 },
      });
    await applied();
  }

  function startNextOwner(): void {
    closeStatementOwner(owner);
    owner = startStatementOwner(owner.group, 2, owner.environment);
  }

  // Guards against DRAIN: departures were not on record, and reads went to servers that had left meanwhile.
  it('are on record at once, all of them', async () => {
    await announceDepartures();
    const leaving = fake.record.places?.filter(({ leavingSince }) => leavingSince !== undefined);
    expect(leaving?.map(({ server }) => server)).toEqual(LEAVING);
  });

  // Guards against DRAIN: a new owner sent the waiting reads to all recorded replicas before it was told which of them leave.
  it('get no reads from the next owner, which has heard nothing of them', async () => {
    await announceDepartures();
    startNextOwner();
    const reads = Array.from({ length: 6 }, () => runStatementAt(owner, 'read'));
    await takeOver(owner);
    for (const read of reads) expect(await read).toMatchObject({ kind: 'done' });
    const readsAt = fake.servers.map(
      ({ orders }) => orders.filter(({ kind }) => kind === 'run').length,
    );
    expect(readsAt.slice(1)).toEqual([0, 0]);
  });

  it('are not taken to stay because of an announcement from before', async () => {
    const before = LEAVING.map((name) => ({ ...announcementOf(owner, name), sequence: 4 }));
    await announceDepartures();
    startNextOwner();
    for (const announcement of before) applyServerAnnouncement(owner, announcement);
    for (const name of LEAVING) expect(announcementOf(owner, name).isLeaving).toBe(true);
  });

  it('are known to stay again once they say so', async () => {
    await announceDepartures();
    const stays = { ...announcementOf(owner, FIRST), isLeaving: false, sequence: 6 };
    applyServerAnnouncement(owner, stays);
    await applied();
    const place = fake.record.places?.find(({ server }) => server === FIRST);
    expect(place?.leavingSince).toBeUndefined();
  });

  it('cause no further record while they announce themselves as leaving', async () => {
    await announceDepartures();
    const { length } = fake.commands;
    for (let sequence = 6; sequence < 20; sequence += 1) {
      applyServerAnnouncement(owner, { ...announcementOf(owner, FIRST), sequence });
      await applied();
    }
    expect(fake.commands).toHaveLength(length);
  });
});

type Step =
  | { readonly kind: 'announce' | 'leave' | 'end' | 'restart'; readonly server: number }
  | { readonly kind: 'deliver-late'; readonly index: number }
  | { readonly kind: 'replace-owner' };

interface Process {
  readonly name: ServerName;
  bornMs: number;
  sequence: number;
  isLeaving: boolean;
  hasEnded: boolean;
}

const server = fc.integer({ min: 0, max: LEAVING.length - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('announce', 'leave', 'end', 'restart'), server }),
  fc.record({ kind: fc.constant('deliver-late'), index: fc.nat(40) }),
  fc.record({ kind: fc.constant('replace-owner') }),
);

// Guards against DRAIN: which servers leave was lost with the owner, in some orders of restarts and late announcements.
describe('which servers leave', () => {
  it('is known to each owner, in any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 24 }), async (steps) => {
        const fake = createFakeGroup(3);
        let { owner } = fake;
        recordServerPlaces(owner);
        await applied();
        const processes = LEAVING.map((name): Process => ({
          name,
          ...{ bornMs: 1, sequence: 1, isLeaving: false, hasEnded: false },
        }));
        const template = announcementOf(owner, FIRST);
        const sent: ServerAnnouncement[] = [];
        const announce = (process: Process) => {
          process.sequence += 1;
          const { name, bornMs, sequence, isLeaving } = process;
          const address = `10.0.0.1:${name}`;
          sent.push({ ...template, server: name, address, bornMs, sequence, isLeaving });
          applyServerAnnouncement(owner, sent.at(-1) ?? template);
        };
        const take = (each: Step) => {
          if (each.kind === 'replace-owner') {
            owner = createStatementOwner(owner.group, owner.epoch + 1, owner.environment);
            loadRecordedServers(owner);
            return;
          }
          if (each.kind === 'deliver-late') {
            const late = sent[each.index % Math.max(1, sent.length)];
            const process = processes.find(({ name }) => name === late?.server);
            if (late && process?.hasEnded === false) applyServerAnnouncement(owner, late);
            return;
          }
          const process = processes[each.server];
          if (!process || (process.hasEnded && each.kind !== 'restart')) return;
          if (each.kind === 'end') {
            if (!process.isLeaving) return;
            process.hasEnded = true;
            handleServerLeave(owner, process.name);
            return;
          }
          if (each.kind === 'leave') process.isLeaving = true;
          if (each.kind === 'restart') {
            const bornMs = process.bornMs + 1;
            Object.assign(process, { bornMs, sequence: 0, isLeaving: false, hasEnded: false });
          }
          announce(process);
        };
        for (const each of steps) {
          take(each);
          await applied();
          for (const { name, isLeaving, hasEnded } of processes) {
            if (!isLeaving && !hasEnded) continue;
            const known = owner.servers.get(name);
            expect(known?.announcement.isLeaving ?? true, name).toBe(true);
          }
        }
      }),
      { seed: 14, numRuns: 1_000 },
    );
  });
});
