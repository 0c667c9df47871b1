/** Request handlers of a control member for link requests, by method name. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type CarriedRecords,
  type ControlCommand,
  type Incarnation,
  type LeaseRenewal,
  type MemberId,
  membershipOf,
  type RaftMessage,
  termAt,
} from '@bramleykeel/core';
import { type LinkPeer, type Log, probeAddress } from '@bramleykeel/link';
import { z } from 'zod';
import type { CallAnswer } from './admin/call-answer.js';
import { answerOperatorCall } from './admin/operator-calls.js';
import {
  endEntry,
  type LeaderService,
  releaseResource,
  type ResourceRelease,
  requestResource,
  type ResourceRequest,
  queueRenewal,
  queueRepeatedRenewal,
} from './leader/leader-service.js';
import { type RecordsSource, recordsUpdateFor } from './leader/packed-records.js';
import { putDocument, readDocument } from './document-calls.js';
import {
  changeEvacuation,
  type EvacuationChange,
  readEvacuationIndex,
  readEvacuations,
} from './evacuation-calls.js';
import type { LogDriver } from './log-driver.js';
import { addressesOf, handleJoin, type JoinRequest } from './member-join.js';

export interface ControlApp {
  readonly driver: LogDriver;
  readonly log: Log;
  readonly bootstrapTokenSha256Hex: string;
  /** Whether members that are not in the membership may join, at first as learners. */
  readonly allowsNewMembers: boolean;
  /** The records as this member has applied them, for the first copies of entries. */
  readonly recordsSource: RecordsSource;
  /**
   * The leader service while this member leads and has committed an entry of its own term;
   * `undefined` otherwise.
   */
  readonly leader: () => LeaderService | undefined;
}

/** `peer` is `undefined` for requests made by this process itself. */
type Handler = (app: ControlApp, peer: LinkPeer | undefined, params: unknown) => unknown;

const PROBE_TIMEOUT_MS = 500;
/** How long a renewal waits for the election of a leader, in milliseconds; well below its time-out. */
const LEADER_WAIT_MS = 200;
const LEADER_POLL_MS = 8;
/** How long an entry's first copy waits until this member has what the leader has committed, in milliseconds. */
const RECORDS_WAIT_MS = 400;
const NOTHING_KNOWN = { knownIndex: 0, documentIndex: undefined };

const nameSchema = z.string().min(1).max(100);
/** The name of a group and of a region, or of a customer, after the kind of the resource. */
const resourceNameSchema = z
  .string()
  .regex(/^(group|customer|reader)\/./)
  .max(300);
const renewalSchema = z.object({
  entryId: nameSchema,
  incarnation: nameSchema,
  linkAddress: nameSchema,
  zone: nameSchema,
  linkMbps: z.number().positive().optional(),
  isBesideControl: z.boolean().optional(),
  incarnationAgeMs: z.number().nonnegative().optional(),
  isStopping: z.boolean(),
  knownIndex: z.int().nonnegative(),
  documentIndex: z.int().nonnegative().optional(),
  settingsRevision: z.int().nonnegative(),
  acceptsPacked: z.boolean().optional(),
  omitsRecords: z.boolean().optional(),
});
const repeatedRenewalSchema = z.tuple([
  z.int().nonnegative(),
  z.int().nonnegative().nullable(),
  z.int().nonnegative(),
]);
const resourceSchema = z.object({
  resource: resourceNameSchema,
  zone: nameSchema.optional(),
  isHeavy: z.boolean().optional(),
});
const releaseSchema = z.object({
  resource: resourceNameSchema,
  epoch: z.int(),
  incarnation: nameSchema,
  isHeavy: z.boolean().optional(),
});
const endedSchema = z.object({ incarnation: nameSchema });
const suspectSchema = z.object({ incarnation: nameSchema, linkAddress: nameSchema });
const joinSchema = z.object({
  id: nameSchema,
  diskId: nameSchema,
  address: nameSchema.optional(),
  adminAddress: z.string().max(100).optional(),
  isEligible: z.boolean().default(true),
});
const documentSchema = z.object({
  version: z.int().nonnegative(),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

const evacuationIndexSchema = z.object({ zone: nameSchema });
const evacuationChangeSchema = z.object({
  zone: nameSchema,
  isOrdered: z.boolean(),
  expectedIndex: z.int().nonnegative(),
});

/** Commands that owners may propose; settings are changed through operator calls only. */
const OWNER_COMMANDS = new Set([
  'group/observe',
  'group/places',
  'primary/propose',
  'primary/commit',
]);

const HANDLERS: Readonly<Record<string, Handler>> = {
  'lease/renew': async (app, peer, params) => {
    const renewal = renewalSchema.parse(params) as LeaseRenewal;
    const leader = await awaitLeader(app);
    if (!leader) return notLeader(app);
    if (!peer) throw new Error('lease/renew must be sent over a link');
    return queueRenewal(leader, peer, renewal);
  },
  'lease/repeat': async (app, peer, params) => {
    const renewal = repeatedRenewalSchema.parse(params);
    const leader = await awaitLeader(app);
    if (!leader) return notLeader(app);
    if (!peer) throw new Error('lease/repeat must be sent over a link');
    return queueRepeatedRenewal(leader, peer, renewal);
  },
  'records/read': async (app): Promise<CarriedRecords | null> => {
    await awaitRecords(app);
    if (!hasRecordsOfTerm(app)) return null;
    return recordsUpdateFor(app.recordsSource, NOTHING_KNOWN).packed;
  },
  'resource/request': (app, _peer, params) => {
    const request = resourceSchema.parse(params) as ResourceRequest;
    const leader = app.leader();
    return leader ? requestResource(leader, request) : false;
  },
  'resource/release': (app, _peer, params) => {
    const release = releaseSchema.parse(params) as ResourceRelease;
    const leader = app.leader();
    return leader ? releaseResource(leader, release) : false;
  },
  'entry/ended': (app, _peer, params) => {
    const { incarnation } = endedSchema.parse(params);
    const leader = app.leader();
    if (leader)
      endEntry(leader, incarnation as Incarnation, 'it has handed over all its resources');
    return leader !== undefined;
  },
  'entry/suspect': (app, _peer, params) => {
    const { incarnation, linkAddress } = suspectSchema.parse(params);
    return probeSuspect(app, incarnation as Incarnation, linkAddress);
  },
  'control/propose': (app, _peer, params) => {
    const command = params as ControlCommand;
    if (!OWNER_COMMANDS.has(command.kind)) throw new Error(`${command.kind} is not for owners`);
    if (!app.leader()) return { kind: 'superseded', reason: 'this member does not lead' };
    return app.driver.propose(command).then((result) => {
      return result ?? { kind: 'superseded', reason: 'the control leader changed' };
    });
  },
  'member/join': (app, _peer, params) => {
    const request = joinSchema.parse(params) as JoinRequest;
    return handleJoin(app.driver, request, app.allowsNewMembers, app.log);
  },
  'document/put': (app, _peer, params) => {
    const leader = app.leader();
    return leader ? putDocument(leader, documentSchema.parse(params)) : { kind: 'unavailable' };
  },
  'document/read': (app) => {
    const leader = app.leader();
    return leader ? readDocument(leader) : { kind: 'unavailable' };
  },
  'evacuation/index': (app, _peer, params) => {
    const { zone } = evacuationIndexSchema.parse(params);
    const leader = app.leader();
    return leader ? readEvacuationIndex(leader, zone) : { kind: 'unavailable' };
  },
  'evacuation/change': (app, _peer, params) => {
    const change: EvacuationChange = evacuationChangeSchema.parse(params);
    const leader = app.leader();
    return leader ? changeEvacuation(leader, change) : { kind: 'unavailable' };
  },
  'evacuation/list': (app) => {
    const leader = app.leader();
    return leader ? readEvacuations(leader) : { kind: 'unavailable' };
  },
  'operator/call': (app, _peer, params) => answerCallAsLeader(app, params),
};

/**
 * Answers a request from a link.
 *
 * @throws when the method is unknown or the parameters are invalid
 */
export function handleRequest(
  app: ControlApp,
  peer: LinkPeer | undefined,
  method: string,
  params: unknown,
): unknown {
  const handler = HANDLERS[method];
  if (!handler) throw new Error(`unknown method ${method}`);
  return handler(app, peer, params);
}

/** Handles a notification from a link; all but messages of the log protocol are ignored. */
export function handleNotify(app: ControlApp, method: string, params: unknown): void {
  if (method !== 'log/message') return;
  const { from, message } = params as { from: MemberId; message: RaftMessage<ControlCommand> };
  app.driver.step({ kind: 'message', from, message });
}

/** Answers an operator's call if this member leads, and fails it as unavailable otherwise. */
export function answerCallAsLeader(app: ControlApp, call: unknown): Promise<CallAnswer> {
  const leader = app.leader();
  if (leader) return answerOperatorCall(leader, app.bootstrapTokenSha256Hex, call);
  const message = 'no control leader is known at the moment; try again';
  return Promise.resolve({ kind: 'error', code: 'unavailable', message });
}

/** A wait that all requests of a member share. */
type SharedWaits = WeakMap<ControlApp, Promise<void>>;

const leaderWaits: SharedWaits = new WeakMap();
const recordsWaits: SharedWaits = new WeakMap();

/**
 * The leader service of this member; `undefined` if another member leads or no leader is elected in time. Entries
 * without a lease serve nobody, so they are told about a new leader at once instead of with their next attempt.
 */
async function awaitLeader(app: ControlApp): Promise<LeaderService | undefined> {
  const isKnown = () => app.leader() !== undefined || isLedElsewhere(app);
  await waitTogether(leaderWaits, app, isKnown, LEADER_WAIT_MS);
  return app.leader();
}

/** Waits until this member has applied what was committed before the present leader's term. */
function awaitRecords(app: ControlApp): Promise<void> {
  return waitTogether(recordsWaits, app, () => hasRecordsOfTerm(app), RECORDS_WAIT_MS);
}

async function waitTogether(
  waits: SharedWaits,
  app: ControlApp,
  isOver: () => boolean,
  maxMs: number,
): Promise<void> {
  if (isOver()) return;
  const wait = waits.get(app) ?? pollUntil(isOver, maxMs).finally(() => waits.delete(app));
  waits.set(app, wait);
  await wait;
}

async function pollUntil(isOver: () => boolean, maxMs: number): Promise<void> {
  const untilMs = performance.now() + maxMs;
  while (!isOver() && performance.now() < untilMs) await delay(LEADER_POLL_MS);
}

/** Whether there is a leader, and an entry of its term is committed here. */
function hasRecordsOfTerm(app: ControlApp): boolean {
  const { raft } = app.driver;
  const isLed = app.leader() !== undefined || isLedElsewhere(app);
  return isLed && termAt(raft, raft.commitIndex) === raft.currentTerm;
}

function isLedElsewhere({ driver: { raft } }: ControlApp): boolean {
  return raft.role !== 'leader' && raft.leaderId !== undefined;
}

function notLeader(app: ControlApp) {
  const { raft } = app.driver;
  const membership = membershipOf(raft);
  const leaderAddress = raft.leaderId && membership[raft.leaderId]?.address;
  return {
    kind: 'not-leader',
    leaderId: raft.leaderId ?? null,
    leaderAddress: leaderAddress ?? null,
    memberAddresses: addressesOf(membership),
  };
}

/** Ends a suspected entry at once if its address refuses connections; returns whether it did. */
export async function probeSuspect(
  app: ControlApp,
  incarnation: Incarnation,
  linkAddress: string,
): Promise<boolean> {
  if (!app.leader()) return false;
  const result = await probeAddress(linkAddress, PROBE_TIMEOUT_MS);
  const leader = app.leader();
  if (result !== 'refused' || !leader) return false;
  endEntry(leader, incarnation, 'its address refuses connections');
  return true;
}
