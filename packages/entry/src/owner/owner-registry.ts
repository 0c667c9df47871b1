/** Registry of the groups that this entry owns, reconciled with control's assignments. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Announcement,
  toGroupName,
  type RequestStatusQuery,
  type GroupName,
  groupRecordOf,
  groupSetting,
  listAssignments,
  type RequestStatus,
  type SessionId,
  type ToOwnerMessage,
  type ApplyResult,
  type ControlCommand,
  type EntrySettings,
  evacuatedZones,
} from '@bramleykeel/core';
import { type Counters, createLog } from '@bramleykeel/link';
import type { ControlClient } from '@bramleykeel/entry-shared';
import type { AnswerChannel } from './answer-channel.js';
import {
  closeGroupOwner,
  drainGroupOwner,
  handleRecordChange,
  startGroupOwner,
  handleAnnouncement,
} from './group-owner.js';
import {
  requestStatusOf,
  closeChannel,
  REQUEST_STATUS_RETENTION_MS,
  handleEntryMessage,
} from './owner-app.js';
import type { GroupOwner } from './owner-state.js';

export interface OwnerRegistry {
  readonly owners: Map<GroupName, GroupOwner>;
  /** Closed owners, kept to answer status queries about their requests. */
  readonly closedOwners: Set<GroupOwner>;
  readonly settings: EntrySettings;
  readonly control: ControlClient;
  readonly counters: Counters;
  /**
   * Called after an owner is closed for a handover, with the sessions whose requests may still run.
   */
  readonly onHandedOver: (owner: GroupOwner, running: readonly SessionId[]) => void;
  /** The evacuated zones as of the last change of records. */
  evacuatedZones: ReadonlySet<string>;
}

const GROUP_RESOURCE = /^group\/(.+)$/;
const PROPOSE_RETRY_DELAY_MS = 50;

export function createOwnerRegistry(
  settings: EntrySettings,
  control: ControlClient,
  counters: Counters,
  onHandedOver: OwnerRegistry['onHandedOver'],
): OwnerRegistry {
  const owners: OwnerRegistry['owners'] = new Map();
  return {
    owners,
    closedOwners: new Set(),
    settings,
    control,
    counters,
    onHandedOver,
    evacuatedZones: new Set(),
  };
}

/** Starts owners for groups assigned to this entry and closes owners whose assignment has ended. */
export function reconcileOwners(registry: OwnerRegistry): void {
  registry.evacuatedZones = evacuatedZones(registry.control);
  const assigned = new Map<GroupName, number>();
  for (const { resource, incarnation, epoch } of listAssignments(registry.control)) {
    const name = GROUP_RESOURCE.exec(resource)?.[1];
    if (name === undefined || incarnation !== registry.control.incarnation()) continue;
    assigned.set(toGroupName(name), epoch);
  }
  for (const [group, owner] of registry.owners) {
    if (assigned.get(group) === owner.epoch) {
      handleRecordChange(owner);
      continue;
    }
    retireOwner(registry, owner);
  }
  for (const [group, epoch] of assigned) {
    if (!registry.owners.has(group)) startOwner(registry, group, epoch);
  }
}

/** Closes an owner and keeps it for `REQUEST_STATUS_RETENTION_MS` to answer status queries. */
function retireOwner(registry: OwnerRegistry, owner: GroupOwner): void {
  closeGroupOwner(owner);
  registry.owners.delete(owner.group);
  registry.closedOwners.add(owner);
  setTimeout(() => registry.closedOwners.delete(owner), REQUEST_STATUS_RETENTION_MS).unref();
}

function startOwner(registry: OwnerRegistry, group: GroupName, epoch: number): void {
  const { control, settings, counters } = registry;
  const owner = startGroupOwner(group, epoch, {
    settings,
    counters,
    log: createLog('owner'),
    holdsLease: () => control.heldEpoch(`group/${group}`) === epoch,
    groupRecord: () => groupRecordOf(control, group),
    groupSetting: () => groupSetting(control, group),
    evacuatedZones: () => registry.evacuatedZones,
    propose: (command) => propose(control, command),
  });
  registry.owners.set(group, owner);
}

/**
 * Treats an unanswered proposal as superseded; the owner then continues from the current record.
 */
async function propose(control: ControlClient, command: ControlCommand): Promise<ApplyResult> {
  const answer = await control.call('control/propose', command);
  if (answer.isLeft()) await delay(PROPOSE_RETRY_DELAY_MS);
  const unanswered: ApplyResult = { kind: 'superseded', reason: 'control did not answer' };
  return answer.map((result) => result as ApplyResult).orDefault(unanswered);
}

/** Returns the owner of a group if this entry currently owns it under the given epoch. */
export function findOwner(
  registry: OwnerRegistry,
  group: GroupName,
  epoch: number,
): GroupOwner | undefined {
  const owner = registry.owners.get(group);
  return owner?.epoch === epoch && !owner.isClosed ? owner : undefined;
}

/**
 * Delivers an entry's message to the owner. Without a matching owner, requests are refused and
 * other messages dropped.
 */
export function deliverToOwner(
  registry: OwnerRegistry,
  channel: AnswerChannel,
  group: GroupName,
  epoch: number,
  message: ToOwnerMessage,
): void {
  const owner = findOwner(registry, group, epoch);
  if (owner) {
    handleEntryMessage(owner, channel, message);
    return;
  }
  if (message.kind !== 'request/start') return;
  const { session, number } = message;
  channel.send({
    kind: 'request/end',
    session,
    number,
    status: 'idle',
    mark: { term: 0, offset: 0 },
    refusal: {
      outcome: 'not-run',
      reason: 'owner-lost-before-start',
      sqlState: '57P03',
      message: 'not run: this entry does not own the group',
    },
    isFromReplica: false,
  });
}

/**
 * Answers a request status query. Only the owner of exactly the queried epoch can guarantee that a
 * request was not started and never will be; without it the answer is `may-have-run`.
 */
export function answerRequestStatusQuery(
  registry: OwnerRegistry,
  group: GroupName,
  query: RequestStatusQuery,
): RequestStatus {
  const candidates = [registry.owners.get(group), ...registry.closedOwners];
  const owner = candidates.find(
    (candidate) => candidate?.group === group && candidate.epoch === query.ownerEpoch,
  );
  return owner ? requestStatusOf(owner, query) : 'may-have-run';
}

export function deliverAnnouncement(registry: OwnerRegistry, announcement: Announcement): boolean {
  const owner = registry.owners.get(announcement.group);
  if (!owner) return false;
  handleAnnouncement(owner, announcement);
  return true;
}

/** Closes all sessions of a disconnected channel, for every owner. */
export function dropChannel(registry: OwnerRegistry, channel: AnswerChannel): void {
  for (const owner of registry.owners.values()) closeChannel(owner, channel);
}

/**
 * Hands over all groups; each is released once its requests have ended or `graceMs` milliseconds
 * have passed.
 */
export async function handOverAll(registry: OwnerRegistry, graceMs: number): Promise<void> {
  await Promise.all(
    [...registry.owners.values()].map(async (owner) => {
      await drainGroupOwner(owner, graceMs);
      const { group, epoch, sessions } = owner;
      const running = [...sessions.values()].filter(({ request }) => request?.stage === 'running');
      retireOwner(registry, owner);
      registry.onHandedOver(
        owner,
        running.map(({ id }) => id),
      );
      const incarnation = registry.control.incarnation();
      const release = { resource: `group/${group}`, epoch, incarnation };
      await registry.control.call('resource/release', release);
    }),
  );
}

/** Closes all owners immediately, after the lease was permanently lost. */
export function closeAllOwners(registry: OwnerRegistry): void {
  for (const owner of registry.owners.values()) retireOwner(registry, owner);
}

/** Describes the groups owned by this entry for the operator status. */
export function describeOwners(registry: OwnerRegistry) {
  return [...registry.owners.values()].map((owner) => ({
    group: owner.group,
    epoch: owner.epoch,
    phase: owner.failover.phase.kind,
    sessions: owner.sessions.size,
    servers: [...owner.view.servers.values()].map(({ server, announcement, heardAtMs }) => ({
      server,
      role: announcement.role,
      term: announcement.term,
      position: `${announcement.position.term}/${announcement.position.offset}`,
      zone: announcement.zone,
      isLeaving: announcement.isLeaving,
      heardMsAgo: Math.round(performance.now() - heardAtMs),
      running: owner.pools.get(server)?.runningCount ?? 0,
    })),
  }));
}
