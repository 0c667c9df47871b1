/** Executes failover: probes the primary, sends commands to servers and proposals to control. */
import {
  type ApplyResult,
  type FailoverContext,
  type FailoverEffect,
  type FailoverEvent,
  type FailoverTiming,
  stepFailover,
  type TargetCommand,
} from '@bramleykeel/core';
import { match } from 'ts-pattern';
import { probeServer, sendCommand } from '../target/target-commands.js';
import { evaluateAcknowledgements } from './acknowledge.js';
import type { GroupOwner } from './owner-state.js';
import { cancelForChange, statementsOn } from './cancel-request.js';
import { extendForFailover } from './scheduler.js';

const COMMAND_RESEND_INTERVAL_MS = 300;
const PROMOTE_TIMEOUT_MS = 2_000;
const DRAIN_TIMEOUT_MS = 3_000;
/** Leaves 0.5 s of the 5 s within which an evacuation has to be in force for the order and the change itself. */
const EVACUATION_DRAIN_MS = 4_500;
/** Time for the answers of cancelled statements, without which their outcome is unknown. */
const CANCEL_LEAD_MS = 500;
const COMMAND_TIMEOUT_MS = 1_000;
/** Probe interval while the primary is suspected, that is, after a failed probe. */
const SUSPECT_PROBE_INTERVAL_MS = 50;

/** Feeds an event to the failover state machine and executes the resulting effects. */
export function advanceFailover(owner: GroupOwner, event: FailoverEvent): void {
  if (owner.isClosed || !owner.environment.holdsLease()) return;
  const before = owner.failover.phase.kind;
  for (const effect of stepFailover(owner.failover, event, createContext(owner))) {
    void executeEffect(owner, effect);
  }
  const after = owner.failover.phase.kind;
  if (before === after) return;
  owner.environment.log(`failover of ${owner.group}: phase changed from ${before} to ${after}`);
  if (before === 'steady') {
    owner.environment.counters.count('failover.started');
    extendForFailover(owner);
  }
  evaluateAcknowledgements(owner);
  owner.scheduler.schedule(owner);
}

function createContext(owner: GroupOwner): FailoverContext {
  const timing: FailoverTiming = {
    suspectAfterMs: owner.environment.settings.targets.suspectAfterMs,
    resendMs: COMMAND_RESEND_INTERVAL_MS,
    promoteTimeoutMs: PROMOTE_TIMEOUT_MS,
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    evacuationDrainMs: EVACUATION_DRAIN_MS,
    cancelLeadMs: CANCEL_LEAD_MS,
    staleAnnouncementMs: owner.environment.settings.targets.staleAnnouncementMs,
  };
  const record = owner.environment.groupRecord();
  const primaryPool = record.primary && owner.pools.get(record.primary);
  // A primary change would supersede writes that await quorum confirmation, so draining waits for
  // them too.
  const inUseCount = primaryPool ? primaryPool.inUse.size : 0;
  const runningWrites = inUseCount + owner.pendingAcknowledgements.size;
  const isDraining = owner.failover.phase.kind === 'draining';
  const runningStatements =
    isDraining && record.primary !== undefined
      ? statementsOn(owner, record.primary).length + owner.pendingAcknowledgements.size
      : 0;
  const evacuatedZones = owner.environment.evacuatedZones();
  const nowMs = performance.now();
  const running = { runningWrites, runningStatements };
  return { record, view: owner.view, timing, ...running, evacuatedZones, nowMs };
}

async function executeEffect(owner: GroupOwner, effect: FailoverEffect): Promise<void> {
  const { group, epoch: ownerEpoch } = owner;
  await match(effect)
    .with({ kind: 'propose' }, async ({ term }) => {
      const command = { kind: 'primary/propose', group, ownerEpoch, term } as const;
      const isAccepted = isDone(await owner.environment.propose(command));
      advanceFailover(owner, { kind: 'proposed', term, isAccepted });
    })
    .with({ kind: 'commit' }, async ({ term, server }) => {
      const command = { kind: 'primary/commit', group, ownerEpoch, term, server } as const;
      const isAccepted = isDone(await owner.environment.propose(command));
      if (isAccepted) owner.environment.log(`${server} is the primary of ${group}, term ${term}`);
      advanceFailover(owner, { kind: 'committed', term, isAccepted });
    })
    .with({ kind: 'fence' }, async ({ server, term }) => {
      const promise = await sendToServer(owner, server, { kind: 'fence', term });
      if (promise) advanceFailover(owner, { kind: 'promised', promise });
    })
    .with({ kind: 'cancel' }, ({ server }) => {
      for (const request of statementsOn(owner, server)) cancelForChange(owner, request);
    })
    .with({ kind: 'promote' }, async ({ server, term }) => {
      await sendToServer(owner, server, { kind: 'promote', term });
    })
    .with({ kind: 'follow' }, async ({ server, term, primary }) => {
      const primaryCommandUrl = owner.view.servers.get(primary)?.announcement.commandUrl;
      if (primaryCommandUrl === undefined) return;
      await sendToServer(owner, server, { kind: 'follow', term, primaryCommandUrl });
    })
    .exhaustive();
}

function isDone(result: ApplyResult): boolean {
  return result.kind === 'done';
}

async function sendToServer(
  owner: GroupOwner,
  server: Parameters<typeof sendCommand>[0],
  targetCommand: TargetCommand,
) {
  const url = owner.view.servers.get(server)?.announcement.commandUrl;
  if (url === undefined) return undefined;
  return sendCommand(server, url, targetCommand, COMMAND_TIMEOUT_MS);
}

/** Probes the recorded primary if the probe interval has elapsed. */
export async function probePrimary(owner: GroupOwner): Promise<void> {
  const { primary } = owner.environment.groupRecord();
  const announcement = primary && owner.view.servers.get(primary)?.announcement;
  if (owner.failover.phase.kind !== 'steady' && owner.failover.phase.kind !== 'draining') return;
  const { probeEveryMs, suspectAfterMs } = owner.environment.settings.targets;
  const isSuspected = owner.failover.failingSinceMs !== undefined;
  const intervalMs = isSuspected ? SUSPECT_PROBE_INTERVAL_MS : probeEveryMs;
  const nowMs = performance.now();
  if (nowMs - owner.lastProbeMs < intervalMs) return;
  owner.lastProbeMs = nowMs;
  if (!announcement) {
    reportUnannouncedPrimary(owner, primary);
    return;
  }
  const result = await probeServer(announcement.address, suspectAfterMs / 2);
  advanceFailover(owner, { kind: 'probed', result });
}

/** Treats a recorded primary that never announced itself to this owner as silent. */
function reportUnannouncedPrimary(owner: GroupOwner, primary: string | undefined): void {
  if (primary === undefined) return;
  advanceFailover(owner, { kind: 'probed', result: 'silent' });
}
