/** A group of three servers and the state of its change of primary, for tests. */
import type { GroupRecord } from '../control-state/types.js';
import { createGroupView, recordAnnouncement } from '../route/server-view.js';
import { toGroupName, toIncarnation, toServerName } from '../types/ids.js';
import type { Announcement } from '../types/target.js';
import { createFailoverState, stepFailover } from './failover.js';
import type { FailoverContext, FailoverEvent, FailoverState } from './types.js';

const GROUP = toGroupName('g');
const TIMING = {
  suspectAfterMs: 1_000,
  resendMs: 300,
  promoteTimeoutMs: 2_000,
  drainTimeoutMs: 3_000,
  evacuationDrainMs: 4_500,
  cancelLeadMs: 500,
  staleAnnouncementMs: 3_000,
};

/** Failover state of a group with three servers in term 1. */
export interface TestGroup {
  record: GroupRecord;
  readonly state: FailoverState;
  readonly context: () => FailoverContext;
  nowMs: number;
  runningWrites: number;
  runningStatements: number;
  evacuatedZones: ReadonlySet<string>;
  sequence: number;
  readonly announce: (server: string, fields?: Partial<Announcement>) => void;
  readonly step: (event: FailoverEvent) => string[];
}

export function createTestGroup(record: Partial<GroupRecord> = {}): TestGroup {
  const view = createGroupView();
  const servers = ['s1', 's2', 's3'].map(toServerName);
  const full: GroupRecord = {
    group: GROUP,
    servers,
    primary: toServerName('s1'),
    term: 1,
    proposedTerm: 1,
    ...record,
  };
  const testGroup: TestGroup = {
    record: full,
    state: createFailoverState(full, 0),
    nowMs: 0,
    runningWrites: 0,
    runningStatements: 0,
    evacuatedZones: new Set(),
    sequence: 0,
    context: () => ({
      record: testGroup.record,
      view,
      timing: TIMING,
      runningWrites: testGroup.runningWrites,
      runningStatements: testGroup.runningStatements,
      evacuatedZones: testGroup.evacuatedZones,
      nowMs: testGroup.nowMs,
    }),
    announce: (server, fields = {}) => {
      testGroup.sequence += 1;
      const announcement: Announcement = {
        group: GROUP,
        server: toServerName(server),
        incarnation: toIncarnation('i1'),
        sequence: testGroup.sequence,
        address: '127.0.0.1:1',
        commandUrl: 'http://127.0.0.1:1',
        zone: 'z',
        role: server === 's1' ? 'primary' : 'replica',
        term: 1,
        position: { term: 1, offset: 10 },
        slots: 2,
        connections: 10,
        isLeaving: false,
        ...fields,
      };
      recordAnnouncement(view, announcement, testGroup.nowMs);
    },
    step: (event) =>
      stepFailover(testGroup.state, event, testGroup.context()).map((effect) => {
        const server = 'server' in effect ? ` ${effect.server}` : '';
        return `${effect.kind}${server} ${effect.term}`;
      }),
  };
  for (const server of ['s1', 's2', 's3']) testGroup.announce(server);
  return testGroup;
}

export function probeRefusedTwice(testGroup: TestGroup): string[] {
  return [1, 2].flatMap(() => testGroup.step({ kind: 'probed', result: 'refused' }));
}

export function promise(
  testGroup: TestGroup,
  server: string,
  term: number,
  offset: number,
  logTerm = 1,
): string[] {
  return testGroup.step({
    kind: 'promised',
    promise: {
      server: toServerName(server),
      promisedTerm: term,
      position: { term: logTerm, offset },
    },
  });
}
