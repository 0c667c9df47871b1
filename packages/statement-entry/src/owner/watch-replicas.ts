/** Resumes replicas that a fence has paused, and handles stalled commits. */
import {
  comparePositions,
  coversMark,
  hasUncoveredCommits,
  needsPrimaryPosition,
  newestAcknowledged,
  recordPrimaryPosition,
  recordReplicaPosition,
} from '@bramleykeel/core';
import {
  answeredStatuses,
  resumePausedReplicas,
  sendControlOrderToAll,
  sendControlOrder,
  type ServerStatus,
} from '../target/server-control.js';
import { isActiveOwner, type ServerState, type StatementOwner } from './owner-state.js';
import { changePrimary } from './change-primary.js';

const REPLICA_CHECK_INTERVAL_MS = 2_000;
/** Interval while replicas may lack commits that only a former one had received, in milliseconds. */
const COVERAGE_CHECK_INTERVAL_MS = 250;

/**
 * Commits stall either because replicas are paused, which then have to be resumed, or because the primary
 * reaches no replica; then a replica that this owner reaches has to be promoted.
 */
export async function handleStalledCommits(
  owner: StatementOwner,
  primary: ServerState,
): Promise<void> {
  const statuses = await sendControlOrderToAll(owner, () => ({ kind: 'status' }));
  if (!isActiveOwner(owner) || owner.leadership.kind !== 'led') return;
  const primaryStatus = statuses.find(({ server }) => server === primary);
  const replicas = statuses.filter(({ server }) => server !== primary);
  if (resumePausedReplicas(owner, replicas) || replicas.length === 0) return;
  const isBehind = ({ status }: ServerStatus) =>
    !primaryStatus || comparePositions(status.position, primaryStatus.status.position) < 0;
  if (replicas.every(isBehind)) {
    await changePrimary(owner, 'commits of the primary reach no replica', false, true);
  }
}

/**
 * Resumes replicas that an earlier owner, or a pause that was carried out late, has left paused, and follows whether the
 * replicas have all commits that former ones may have acknowledged.
 */
export async function checkReplicas(owner: StatementOwner): Promise<void> {
  const { leadership, coverage } = owner;
  if (leadership.kind !== 'led') return;
  const nowMs = performance.now();
  const intervalMs = hasUncoveredCommits(coverage)
    ? COVERAGE_CHECK_INTERVAL_MS
    : REPLICA_CHECK_INTERVAL_MS;
  if (nowMs - owner.replicasCheckedMs < intervalMs) return;
  owner.replicasCheckedMs = nowMs;
  const primary = owner.servers.get(leadership.server);
  if (primary && needsPrimaryPosition(coverage)) {
    const { acknowledgedPositions } = owner;
    const acknowledged = acknowledgedPositions && newestAcknowledged(acknowledgedPositions);
    const answer = await sendControlOrder(owner, primary, { kind: 'status' });
    if (owner.leadership !== leadership) return;
    // A status that lacks what was acknowledged before it was asked for may be one that the server repeats.
    const isCurrent =
      answer?.status.role === 'primary' &&
      (!acknowledged || coversMark(answer.status.position, acknowledged));
    if (isCurrent)
      recordPrimaryPosition(coverage, answer.status.position, nowMs, performance.now());
  }
  const requestedAtMs = performance.now();
  const replicas = [...owner.servers.values()].filter(
    (server) => server !== primary && server.failingSinceMs === undefined,
  );
  const pending = replicas.map((server) => sendControlOrder(owner, server, { kind: 'status' }));
  const statuses = await answeredStatuses(pending);
  if (!isActiveOwner(owner) || owner.leadership !== leadership) return;
  resumePausedReplicas(owner, statuses);
  for (const { server, status } of statuses) {
    const isPresent = owner.servers.get(server.announcement.server) === server;
    if (isPresent && status.role === 'replica')
      recordReplicaPosition(coverage, status.position, requestedAtMs);
  }
}
