/** Owners of the groups assigned to this entry, reconciled with control's assignments. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type ApplyResult,
  type Assignment,
  assignmentOf,
  type ControlCommand,
  type CustomerName,
  type GroupName,
  groupRecordOf,
  homeRulesOf,
  homesOfGroups,
  listAssignments,
  type LogPosition,
  type PlacementBounds,
  type ReadDistribution,
  type Resource,
  type ServerAnnouncement,
  type ServerName,
  type StatementSettings,
  toGroupName,
} from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';
import type { Counters, Log } from '@bramleykeel/link';
import type { OpenTarget, PromoteServer, ReadTargetStatus } from '../types/target-port.js';
import { readerResource } from '../near/locate-reader.js';
import { newestAcknowledgedOf } from './membership.js';
import { dropEntryChannel, type EntryChannel } from './owner-app.js';
import {
  closeStatementOwner,
  drainStatementOwner,
  startStatementOwner,
  applyServerAnnouncement,
  handleServerLeave,
} from './owner-lifecycle.js';
import type { Job, OwnerEnvironment, StatementOwner } from './owner-state.js';

export interface RegistryOptions {
  readonly entryId: string;
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly placementBounds: PlacementBounds;
  readonly readDistribution: ReadDistribution;
  /** Whether statements that cannot start in time are refused at once. */
  readonly overloadControl?: boolean;
  readonly log: Log;
  readonly counters: Counters;
  readonly control: ControlClient;
  readonly settings: () => StatementSettings | undefined;
  readonly openTarget: OpenTarget;
  readonly readTargetStatus: ReadTargetStatus;
  readonly promoteServer: PromoteServer;
  /** Has a reader close its connections to a server of its group; returns whether all are closed. */
  readonly releaseFromReader: (
    reader: Assignment,
    group: GroupName,
    server: ServerName,
  ) => Promise<boolean>;
  /**
   * Called when an epoch has ended and all statements that did not reach a server are answered.
   *
   * @param running the statements of the epoch that still run
   */
  readonly onOwnerEnded: (owner: StatementOwner, running: readonly Job[]) => void;
}

interface EarlyAnnouncement {
  readonly announcement: ServerAnnouncement;
  readonly receivedAtMs: number;
}

interface ClosedAcknowledgement {
  readonly epoch: number;
  readonly position: LogPosition;
}

export interface StatementOwnerRegistry {
  readonly options: RegistryOptions;
  readonly owners: Map<GroupName, StatementOwner>;
  /** Owners that were closed after a lost lease, while statements of theirs run; another may start under their epoch. */
  readonly closedOwners: Set<StatementOwner>;
  /**
   * The newest announcement of each server, for owners that start shortly afterwards: control may send it before
   * this entry has received the assignment.
   */
  readonly earlyAnnouncements: Map<ServerName, EarlyAnnouncement>;
  /** What owners had acknowledged that were closed after a lost lease, for the next one under their epoch. */
  readonly acknowledgedByClosed: Map<GroupName, ClosedAcknowledgement>;
  /** The newest ended epoch of each group; no owner starts under it or an older one again. */
  readonly endedEpochs: Map<GroupName, number>;
}

const GROUP_RESOURCE = /^group\/(.+)$/s;
const PROPOSE_RETRY_MS = 50;
const RELEASE_RETRY_MS = 200;
const DEFAULT_IDLE_TRANSACTION_MS = 10_000;
const MAX_EARLY_ANNOUNCEMENTS = 1_000;
/** Time after which a server may have left without this entry being told, in milliseconds. */
const EARLY_ANNOUNCEMENT_RETENTION_MS = 5_000;

export function createStatementOwnerRegistry(options: RegistryOptions): StatementOwnerRegistry {
  return {
    options,
    owners: new Map(),
    closedOwners: new Set(),
    earlyAnnouncements: new Map(),
    acknowledgedByClosed: new Map(),
    endedEpochs: new Map(),
  };
}

/** Starts owners for groups that were assigned to this entry and closes those that were not. */
export function reconcileStatementOwners(registry: StatementOwnerRegistry): void {
  const { control } = registry.options;
  const assigned = new Map<GroupName, number>();
  for (const { resource, incarnation, epoch } of listAssignments(control)) {
    const name = GROUP_RESOURCE.exec(resource)?.[1];
    if (name === undefined || incarnation !== control.incarnation()) continue;
    assigned.set(toGroupName(name), epoch);
  }
  for (const [group, owner] of registry.owners) {
    if (assigned.get(group) !== owner.epoch) endOwner(registry, owner);
  }
  for (const [group, epoch] of assigned) {
    // A group that was handed over stays assigned to this entry until control has answered.
    const hasEnded = epoch <= (registry.endedEpochs.get(group) ?? 0);
    if (!registry.owners.has(group) && !hasEnded) startOwner(registry, group, epoch);
  }
}

/** Closes an owner whose epoch has ended; no late message can start an owner under that epoch again. */
function endOwner(registry: StatementOwnerRegistry, owner: StatementOwner): void {
  const { group, epoch } = owner;
  closeStatementOwner(owner);
  registry.owners.delete(group);
  // Control tells the next owner, and not this entry, which servers leave from now on.
  for (const [server, { announcement }] of registry.earlyAnnouncements) {
    if (announcement.group === group) registry.earlyAnnouncements.delete(server);
  }
  registry.endedEpochs.set(group, Math.max(epoch, registry.endedEpochs.get(group) ?? 0));
  registry.options.onOwnerEnded(owner, runningUnder(registry, owner));
}

/** The statements that run under the epoch of an owner, for it or for one that a lost lease has closed. */
function runningUnder(
  { closedOwners }: StatementOwnerRegistry,
  { group, epoch, running }: StatementOwner,
): readonly Job[] {
  const closed = [...closedOwners].filter(
    (former) => former.group === group && former.epoch === epoch,
  );
  return [...running, ...closed.flatMap((former) => [...former.running])];
}

function startOwner(registry: StatementOwnerRegistry, group: GroupName, epoch: number): void {
  const { control, settings, releaseFromReader, ...rest } = registry.options;
  const readerIn = (region: string) => assignmentOf(control, readerResource(group, region));
  const environment: OwnerEnvironment = {
    ...rest,
    log: (message, fields) => {
      rest.log(message, { group, epoch, ...fields });
    },
    holdsLease: () => control.heldEpoch(`group/${group}`) === epoch,
    formerOwner: () => control.formerHolder(`group/${group}`),
    readerIn,
    releaseFromReader: async (region, server) => {
      const reader = readerIn(region);
      return !reader || releaseFromReader(reader, group, server);
    },
    groupRecord: () => groupRecordOf(control, group),
    groupSettings: () => settings()?.groups.get(group),
    homeRegions: () => homeRegionsOf(settings(), group),
    homeRules: () => homeRulesOf(settings()),
    customers: () => customersByRate(settings()),
    idleTransactionMs: () => settings()?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
    propose: (command) => propose(control, command),
  };
  const owner = startStatementOwner(group, epoch, environment);
  const closed = registry.acknowledgedByClosed.get(group);
  if (closed?.epoch === epoch) owner.acknowledgedBefore = closed.position;
  registry.owners.set(group, owner);
  const receivedSinceMs = performance.now() - EARLY_ANNOUNCEMENT_RETENTION_MS;
  for (const { announcement, receivedAtMs } of registry.earlyAnnouncements.values()) {
    if (announcement.group === group && receivedAtMs >= receivedSinceMs)
      applyServerAnnouncement(owner, announcement);
  }
}

function customersByRate(settings: StatementSettings | undefined): readonly CustomerName[] {
  return [...(settings?.customers.values() ?? [])]
    .sort((left, right) => right.ratePerSecond - left.ratePerSecond)
    .map(({ name }) => name);
}

const groupHomes = new WeakMap<StatementSettings, ReadonlyMap<GroupName, readonly string[]>>();

/** The homes of a group by the settings, which are read for each decision and therefore worked out once. */
function homeRegionsOf(
  settings: StatementSettings | undefined,
  group: GroupName,
): readonly string[] | undefined {
  if (!settings) return undefined;
  const known = groupHomes.get(settings);
  if (known) return known.get(group);
  const homes = homesOfGroups(settings.routes.values());
  groupHomes.set(settings, homes);
  return homes.get(group);
}

/** An unanswered proposal counts as superseded; the owner then continues from the current record. */
async function propose(control: ControlClient, command: ControlCommand): Promise<ApplyResult> {
  const answer = await control.call('control/propose', command);
  if (answer.isLeft()) await delay(PROPOSE_RETRY_MS);
  const unanswered: ApplyResult = { kind: 'superseded', reason: 'control did not answer' };
  return (answer.orDefault(undefined) as ApplyResult | undefined) ?? unanswered;
}

/** The owner of a group under an epoch, if this entry is that owner now. */
export function findStatementOwner(
  registry: StatementOwnerRegistry,
  group: GroupName,
  epoch: number,
): StatementOwner | undefined {
  const owner = registry.owners.get(group);
  return owner?.epoch === epoch && !owner.isClosed ? owner : undefined;
}

/** Handles a server announcement; returns whether this entry currently owns the server's group. */
export function deliverServerAnnouncement(
  registry: StatementOwnerRegistry,
  announcement: ServerAnnouncement,
): boolean {
  const { earlyAnnouncements, owners } = registry;
  if (earlyAnnouncements.size >= MAX_EARLY_ANNOUNCEMENTS) earlyAnnouncements.clear();
  const receivedAtMs = performance.now();
  earlyAnnouncements.set(announcement.server, { announcement, receivedAtMs });
  const owner = owners.get(announcement.group);
  if (!owner?.environment.holdsLease()) return false;
  applyServerAnnouncement(owner, announcement);
  return true;
}

export function deliverServerLeave(registry: StatementOwnerRegistry, server: ServerName): void {
  registry.earlyAnnouncements.delete(server);
  for (const owner of registry.owners.values()) handleServerLeave(owner, server);
}

/** Ends the work of a closed channel to another entry. */
export function dropChannel(registry: StatementOwnerRegistry, channel: EntryChannel): void {
  for (const owner of registry.owners.values()) dropEntryChannel(owner, channel);
}

/** Hands all groups over to other entries, each after its statements have ended or `graceMs` has passed. */
export async function handOverStatementOwners(
  registry: StatementOwnerRegistry,
  graceMs: number,
): Promise<void> {
  await Promise.all(
    [...registry.owners.values()].map(async (owner) => {
      await drainStatementOwner(owner, graceMs);
      endOwner(registry, owner);
      await release(registry, owner, {});
    }),
  );
}

/**
 * Hands the group with the most work over to a wide instance, because it has outgrown this one. A group that is known to
 * be heavy is here for want of a wide instance, and stays.
 */
export async function handOverBusiestGroup(
  registry: StatementOwnerRegistry,
  graceMs: number,
): Promise<void> {
  const { control } = registry.options;
  const isHeavy = (group: GroupName) => assignmentOf(control, `group/${group}`)?.isHeavy === true;
  const [busiest] = [...registry.owners.values()]
    .filter(({ group, isStopping }) => !isStopping && !isHeavy(group))
    .sort((left, right) => right.acceptedCount - left.acceptedCount);
  if (!busiest) return;
  const { acceptedCount } = busiest;
  busiest.environment.log('the group has outgrown this instance', { acceptedCount });
  await handOverGroup(registry, busiest, graceMs, { isHeavy: true });
}

/** Hands one group over while this entry goes on, after its statements have ended or `graceMs` has passed. */
export async function handOverGroup(
  registry: StatementOwnerRegistry,
  owner: StatementOwner,
  graceMs: number,
  reason: { readonly isHeavy?: boolean },
): Promise<void> {
  const { control } = registry.options;
  const { group, epoch } = owner;
  const incarnation = control.incarnation();
  await drainStatementOwner(owner, graceMs);
  endOwner(registry, owner);
  // Nobody else owns the group before control has the release, so it is repeated.
  const isAssignedHere = () =>
    assignmentOf(control, `group/${group}`)?.epoch === epoch &&
    control.incarnation() === incarnation;
  while (isAssignedHere() && !(await release(registry, owner, reason)))
    await delay(RELEASE_RETRY_MS, undefined, { ref: false });
}

/** Tells control that an ended owner's group needs another one; returns whether it has one now. */
async function release(
  { options: { control } }: StatementOwnerRegistry,
  { group, epoch }: StatementOwner,
  reason: { readonly isHeavy?: boolean },
): Promise<boolean> {
  const resource: Resource = `group/${group}`;
  const params = { resource, epoch, incarnation: control.incarnation(), ...reason };
  const answer = await control.call('resource/release', params);
  return answer.orDefault(false) === true;
}

/** Closes all owners after a lost lease; their epochs do not end, because control may renew the lease. */
export function closeAllStatementOwners(registry: StatementOwnerRegistry): void {
  const { owners, closedOwners, acknowledgedByClosed } = registry;
  for (const former of closedOwners) if (former.running.size === 0) closedOwners.delete(former);
  for (const owner of owners.values()) {
    closeStatementOwner(owner);
    const position = newestAcknowledgedOf(owner);
    if (position) acknowledgedByClosed.set(owner.group, { epoch: owner.epoch, position });
    if (owner.running.size > 0) closedOwners.add(owner);
  }
  owners.clear();
}
