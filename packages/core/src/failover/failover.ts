/**
 * State machine for changing the primary of a group, run by the group's owner. When the primary fails
 * or leaves, the owner proposes a new term through control, fences a quorum of servers, and promotes
 * the server with the longest log among them. Performs no I/O: it returns the commands to send.
 */
import { match } from 'ts-pattern';
import type { GroupRecord } from '../control-state/types.js';
import { writeQuorumSize } from '../confirm/write-quorum.js';
import type { ServerName } from '../types/ids.js';
import { comparePositions, coversMark } from '../types/position.js';
import type { Announcement, FencePromise } from '../types/target.js';
import type {
  FailoverContext,
  FailoverEffect,
  FailoverEvent,
  FailoverPhase,
  FailoverState,
  ProbeResult,
} from './types.js';

/** Consecutive refused connections after which the primary is considered dead. */
const REFUSED_CONNECTION_THRESHOLD = 2;
/**
 * How long the owner of a group without a primary waits for one to announce itself, in milliseconds;
 * after that it chooses one itself.
 */
const ADOPTION_TIMEOUT_MS = 3_000;
/**
 * How long a fence waits, in milliseconds, for the promise of a server outside the evacuated zones while the best
 * server that has promised is inside one; two resends of the fence command.
 */
const OUTSIDE_PROMISE_WAIT_MS = 600;

/**
 * Creates the state from the record in control. A change that an earlier owner left unfinished is
 * restarted with a new term on the next tick.
 */
export function createFailoverState(record: GroupRecord, nowMs: number): FailoverState {
  const phase: FailoverPhase =
    record.primary === undefined && record.proposedTerm === 0
      ? { kind: 'adopting', sinceMs: nowMs }
      : { kind: 'steady' };
  return { phase, failingSinceMs: undefined, refusedCount: 0, followSentMs: new Map() };
}

/** Returns whether writes may be routed to the recorded primary. */
export function acceptsWrites(state: FailoverState, record: GroupRecord): boolean {
  return state.phase.kind === 'steady' && record.proposedTerm === record.term;
}

/**
 * Advances the change of primary by one event and returns the commands to send.
 *
 * @example
 * const effects = stepFailover(state, { kind: 'probed', result: 'refused' }, context);
 */
export function stepFailover(
  state: FailoverState,
  event: FailoverEvent,
  context: FailoverContext,
): FailoverEffect[] {
  return match(event)
    .returnType<FailoverEffect[]>()
    .with({ kind: 'tick' }, () => handleTick(state, context))
    .with({ kind: 'probed' }, ({ result }) => handleProbe(state, result, context))
    .with({ kind: 'proposed' }, ({ term, isAccepted }) =>
      handleProposed(state, term, isAccepted, context),
    )
    .with({ kind: 'promised' }, ({ promise }) => handlePromise(state, promise, context))
    .with({ kind: 'committed' }, ({ term, isAccepted }) =>
      handleCommitted(state, term, isAccepted, context),
    )
    .exhaustive();
}

function handleTick(state: FailoverState, context: FailoverContext): FailoverEffect[] {
  const { phase } = state;
  return match(phase)
    .returnType<FailoverEffect[]>()
    .with({ kind: 'adopting' }, ({ sinceMs }) => adoptPrimary(state, sinceMs, context))
    .with({ kind: 'steady' }, () => watchSteady(state, context))
    .with({ kind: 'draining' }, (draining) => watchDrain(state, draining, context))
    .with({ kind: 'proposing' }, ({ sentAtMs, term }) =>
      isResendDue(sentAtMs, context) ? proposeTerm(state, term, context) : [],
    )
    .with({ kind: 'fencing' }, (fencing) => {
      const effects = commitIfFenced(state, fencing, context);
      if (effects.length > 0 || !isResendDue(fencing.sentAtMs, context)) return effects;
      state.phase = { ...fencing, sentAtMs: context.nowMs };
      return fenceAll(fencing.term, fencing.promises, context);
    })
    .with({ kind: 'committing' }, (committing) => {
      if (!isResendDue(committing.sentAtMs, context)) return [];
      state.phase = { ...committing, sentAtMs: context.nowMs };
      return [{ kind: 'commit', term: committing.term, server: committing.server }];
    })
    .with({ kind: 'promoting' }, (promoting) => watchPromotion(state, promoting, context))
    .exhaustive();
}

function isResendDue(sentAtMs: number, context: FailoverContext): boolean {
  return context.nowMs - sentAtMs >= context.timing.resendMs;
}

function adoptPrimary(
  state: FailoverState,
  sinceMs: number,
  context: FailoverContext,
): FailoverEffect[] {
  const { nowMs } = context;
  const [announcedPrimary] = announcementsOf(context)
    .filter((announcement) => announcement.role === 'primary')
    .sort((left, right) => right.term - left.term);
  if (announcedPrimary) {
    const { term, server } = announcedPrimary;
    state.phase = { kind: 'committing', term, server, sentAtMs: nowMs };
    return [{ kind: 'commit', term, server }];
  }
  const isWithinTimeout = nowMs - sinceMs < ADOPTION_TIMEOUT_MS;
  if (isWithinTimeout || context.view.servers.size < 2) return [];
  return proposeTerm(state, 1, context);
}

function watchSteady(state: FailoverState, context: FailoverContext): FailoverEffect[] {
  const { record, view, nowMs } = context;
  if (record.proposedTerm > record.term)
    return proposeTerm(state, record.proposedTerm + 1, context);
  if (record.primary === undefined) {
    state.phase = { kind: 'adopting', sinceMs: nowMs };
    return [];
  }
  const primary = view.servers.get(record.primary)?.announcement;
  const hasLostRole = primary?.role === 'replica' && primary.term >= record.term;
  if (hasLostRole) return proposeTerm(state, record.term + 1, context);
  if (primary && mustBeReplaced(primary, context) && findReplacements(context).length > 0) {
    state.phase = { kind: 'draining', sinceMs: nowMs, hasCancelled: false };
    return [];
  }
  if (isPrimaryLost(state, context)) return proposeTerm(state, record.term + 1, context);
  return sendFollowCommands(state, record.primary, context);
}

function isPrimaryLost(state: FailoverState, context: FailoverContext): boolean {
  const { failingSinceMs } = state;
  if (failingSinceMs === undefined) return false;
  if (state.refusedCount >= REFUSED_CONNECTION_THRESHOLD) return true;
  return context.nowMs - failingSinceMs >= context.timing.suspectAfterMs;
}

/** Sends `follow` to servers that follow an older term or wrongly announce themselves as primary. */
function sendFollowCommands(
  state: FailoverState,
  primary: ServerName,
  context: FailoverContext,
): FailoverEffect[] {
  const { record, nowMs } = context;
  const effects: FailoverEffect[] = [];
  for (const { server, term, role } of announcementsOf(context)) {
    if (server === primary) continue;
    if (term >= record.term && role === 'replica') continue;
    const sentAtMs = state.followSentMs.get(server) ?? Number.NEGATIVE_INFINITY;
    if (!isResendDue(sentAtMs, context)) continue;
    state.followSentMs.set(server, nowMs);
    effects.push({ kind: 'follow', server, term: record.term, primary });
  }
  return effects;
}

function watchDrain(
  state: FailoverState,
  draining: Extract<FailoverPhase, { kind: 'draining' }>,
  context: FailoverContext,
): FailoverEffect[] {
  const { record, view, nowMs, timing } = context;
  const elapsedMs = nowMs - draining.sinceMs;
  const primary = record.primary && view.servers.get(record.primary)?.announcement;
  if (!isDrainDue(primary, context) && !isPrimaryLost(state, context)) {
    state.phase = { kind: 'steady' };
    return [];
  }
  const isCaughtUp =
    primary !== undefined &&
    context.runningWrites === 0 &&
    findReplacements(context).some(({ position }) => coversMark(position, primary.position));
  if (!isCaughtUp && elapsedMs < timing.drainTimeoutMs) return [];
  const awaitsStatements = primary && mayFinishStatements(state, primary, context);
  if (isCaughtUp || !awaitsStatements || elapsedMs >= timing.evacuationDrainMs)
    return proposeTerm(state, record.term + 1, context);
  if (draining.hasCancelled || elapsedMs < timing.evacuationDrainMs - timing.cancelLeadMs)
    return [];
  state.phase = { ...draining, hasCancelled: true };
  return [{ kind: 'cancel', server: primary.server, term: record.term }];
}

/** Whether a drained primary runs statements, and neither leaves nor fails before they end. */
function mayFinishStatements(
  state: FailoverState,
  primary: Announcement,
  context: FailoverContext,
): boolean {
  return !primary.isLeaving && context.runningStatements > 0 && !isPrimaryLost(state, context);
}

/** Whether a planned change of primary goes on; it is given up if the reason for it has gone. */
function isDrainDue(primary: Announcement | undefined, context: FailoverContext): boolean {
  if (!primary || !mustBeReplaced(primary, context)) return false;
  return primary.isLeaving || findReplacements(context).length > 0;
}

function mustBeReplaced(primary: Announcement, context: FailoverContext): boolean {
  return primary.isLeaving || context.evacuatedZones.has(primary.zone);
}

/**
 * Servers to which a planned change may move the primary: outside the evacuated zones, or anywhere if the primary is
 * leaving and there is no server outside.
 */
function findReplacements(context: FailoverContext): Announcement[] {
  const { record, view, evacuatedZones } = context;
  const candidates = announcementsOf(context).filter(
    ({ server, isLeaving, term }) =>
      server !== record.primary && !isLeaving && term === record.term,
  );
  if (evacuatedZones.size === 0) return candidates;
  const outside = candidates.filter(({ server }) => isReachableOutside(server, context));
  const primary = record.primary && view.servers.get(record.primary)?.announcement;
  return outside.length === 0 && primary?.isLeaving === true ? candidates : outside;
}

function isReachableOutside(
  server: ServerName,
  { view, evacuatedZones, timing, nowMs }: FailoverContext,
): boolean {
  const known = view.servers.get(server);
  if (!known || evacuatedZones.has(known.announcement.zone)) return false;
  return nowMs - known.heardAtMs <= timing.staleAnnouncementMs;
}

function proposeTerm(
  state: FailoverState,
  term: number,
  context: FailoverContext,
): FailoverEffect[] {
  const next = Math.max(term, context.record.proposedTerm + 1);
  state.phase = { kind: 'proposing', term: next, sentAtMs: context.nowMs };
  return [{ kind: 'propose', term: next }];
}

function handleProbe(
  state: FailoverState,
  result: ProbeResult,
  context: FailoverContext,
): FailoverEffect[] {
  if (result === 'answered') {
    state.failingSinceMs = undefined;
    state.refusedCount = 0;
    return [];
  }
  state.failingSinceMs ??= context.nowMs;
  state.refusedCount = result === 'refused' ? state.refusedCount + 1 : 0;
  return handleTick(state, context);
}

function handleProposed(
  state: FailoverState,
  term: number,
  isAccepted: boolean,
  context: FailoverContext,
): FailoverEffect[] {
  if (state.phase.kind !== 'proposing' || state.phase.term !== term) return [];
  if (!isAccepted) {
    state.phase = { kind: 'steady' };
    return [];
  }
  const { nowMs } = context;
  state.phase = { kind: 'fencing', term, promises: new Map(), sinceMs: nowMs, sentAtMs: nowMs };
  return fenceAll(term, new Map(), context);
}

function fenceAll(
  term: number,
  promises: ReadonlyMap<ServerName, FencePromise>,
  context: FailoverContext,
): FailoverEffect[] {
  return context.record.servers
    .filter((server) => context.view.servers.has(server) && !promises.has(server))
    .map((server) => ({ kind: 'fence', server, term }));
}

function handlePromise(
  state: FailoverState,
  promise: FencePromise,
  context: FailoverContext,
): FailoverEffect[] {
  const { phase } = state;
  if (phase.kind !== 'fencing') return [];
  if (promise.promisedTerm > phase.term)
    return proposeTerm(state, promise.promisedTerm + 1, context);
  if (promise.promisedTerm !== phase.term) return [];
  if (!context.record.servers.includes(promise.server)) return [];
  // The quorums that acknowledged its lost commits would meet this one in nobody who has them.
  const lostLogEnd = context.view.servers.get(promise.server)?.lostLogEnd;
  if (lostLogEnd && !coversMark(promise.position, lostLogEnd)) return [];
  const promises = new Map(phase.promises).set(promise.server, promise);
  const fencing = { ...phase, promises };
  state.phase = fencing;
  return commitIfFenced(state, fencing, context);
}

/** Chooses the next primary once a quorum has promised. */
function commitIfFenced(
  state: FailoverState,
  fencing: Extract<FailoverPhase, { kind: 'fencing' }>,
  context: FailoverContext,
): FailoverEffect[] {
  const { term, promises } = fencing;
  if (promises.size < writeQuorumSize(context.record.servers.length)) return [];
  const chosen = choosePrimary([...promises.values()], context);
  if (!chosen || awaitsPromiseOutside(fencing, chosen, context)) return [];
  state.phase = { kind: 'committing', term, server: chosen, sentAtMs: context.nowMs };
  return [{ kind: 'commit', term, server: chosen }];
}

/** Whether a server outside the evacuated zones may still promise in time, while the best one so far is inside. */
function awaitsPromiseOutside(
  { promises, sinceMs }: Extract<FailoverPhase, { kind: 'fencing' }>,
  chosen: ServerName,
  context: FailoverContext,
): boolean {
  const { record, view, evacuatedZones, nowMs } = context;
  const zone = view.servers.get(chosen)?.announcement.zone;
  if (zone === undefined || !evacuatedZones.has(zone)) return false;
  if (nowMs - sinceMs >= OUTSIDE_PROMISE_WAIT_MS) return false;
  return record.servers.some(
    (server) => !promises.has(server) && isReachableOutside(server, context),
  );
}

/**
 * Prefers the longest log, then servers that are not leaving and outside the evacuated zones, then the
 * lowest name, which makes the choice deterministic.
 */
function choosePrimary(
  promises: readonly FencePromise[],
  context: FailoverContext,
): ServerName | undefined {
  const leavingRank = (server: ServerName) => {
    const announcement = context.view.servers.get(server)?.announcement;
    return announcement && mustBeReplaced(announcement, context) ? 1 : 0;
  };
  const ranked = [...promises].sort(
    (left, right) =>
      comparePositions(right.position, left.position) ||
      leavingRank(left.server) - leavingRank(right.server) ||
      (left.server < right.server ? -1 : 1),
  );
  return ranked[0]?.server;
}

function handleCommitted(
  state: FailoverState,
  term: number,
  isAccepted: boolean,
  context: FailoverContext,
): FailoverEffect[] {
  const { phase } = state;
  if (phase.kind !== 'committing' || phase.term !== term) return [];
  if (!isAccepted) {
    state.phase = { kind: 'steady' };
    return [];
  }
  const { nowMs } = context;
  const { server } = phase;
  state.phase = { kind: 'promoting', term, server, sinceMs: nowMs, sentAtMs: nowMs };
  return [{ kind: 'promote', server, term }];
}

function watchPromotion(
  state: FailoverState,
  promoting: Extract<FailoverPhase, { kind: 'promoting' }>,
  context: FailoverContext,
): FailoverEffect[] {
  const { term, server, sinceMs, sentAtMs } = promoting;
  const { nowMs, timing } = context;
  const announcement = context.view.servers.get(server)?.announcement;
  if (announcement?.role === 'primary' && announcement.term === term) {
    state.phase = { kind: 'steady' };
    state.failingSinceMs = undefined;
    state.refusedCount = 0;
    return sendFollowCommands(state, server, context);
  }
  if (nowMs - sinceMs >= timing.promoteTimeoutMs) return proposeTerm(state, term + 1, context);
  if (nowMs - sentAtMs < timing.resendMs) return [];
  state.phase = { ...promoting, sentAtMs: nowMs };
  return [{ kind: 'promote', server, term }];
}

function announcementsOf(context: FailoverContext): Announcement[] {
  return [...context.view.servers.values()].map((server) => server.announcement);
}
