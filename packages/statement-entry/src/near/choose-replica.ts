/** Chooses the replica at which a reader runs a read. */
import {
  chooseLeastDelay,
  type CustomerName,
  isHome,
  latestPosition,
  type LogPosition,
  NEW_CONNECTION_MS,
  takesRead,
} from '@bramleykeel/core';
import type { StatementDraft } from '../locate/owner-client.js';
import type { ServerState } from '../owner/owner-state.js';
import { judgeServers } from '../target/judge-servers.js';
import type { ReaderTargetReason } from '../types/explanation.js';
import type { ReadGroup, ReplicaReads } from './read-group.js';

/** Part of a read's allowed age that is reserved for its transit to the replica, in milliseconds. */
const READ_AGE_MARGIN_MS = 200;
/** Time without direct reads after a replica's connection failed; the owner runs the reads meanwhile. */
const FAILED_PAUSE_MS = 1_500;
/** Reads sent to a replica at a time, as a multiple of its slots; the others are run by the owner. */
const READS_PER_SLOT = 2;

/** The oldest offered position that is recent enough for a read. */
export function usableOfferOf(
  { positions }: ReadGroup,
  { maxReadAgeMs }: Pick<StatementDraft, 'maxReadAgeMs'>,
): ReadGroup['positions'][number] | undefined {
  const oldestAllowedMs = performance.now() - (maxReadAgeMs - READ_AGE_MARGIN_MS);
  return positions.find(({ requestedAtMs }) => requestedAtMs >= oldestAllowedMs);
}

/**
 * The log position that the read must see at least; `undefined` if all offers are too old. Uses the
 * oldest position that is recent enough, because replicas receive the newest commits with a delay.
 */
export function requiredPositionOf(
  readGroup: ReadGroup,
  draft: Pick<StatementDraft, 'consistency' | 'maxReadAgeMs' | 'mark'>,
): LogPosition | undefined {
  const offered = usableOfferOf(readGroup, draft);
  if (!offered) return undefined;
  if (draft.consistency !== 'own-writes' || !draft.mark) return offered.position;
  return latestPosition(offered.position, draft.mark);
}

/** The replica that runs a read; `undefined` if none of the region may run it now. */
export function findAvailableServer(
  reads: ReplicaReads,
  readGroup: ReadGroup,
  draft: Pick<StatementDraft, 'customer' | 'homes'>,
): ServerState | undefined {
  const { counters, log, readDistribution } = reads.options;
  const { group, servers } = readGroup;
  const isEven = readDistribution === 'even';
  if (isEven) judgeServers(servers.values(), { group, path: 'reader', counters, log });
  const available = listAvailable(reads, readGroup, draft, Math.random);
  if (!isEven) return available[0];
  const candidates = available.map((server) => loadCandidateOf(server, draft.customer));
  return chooseLeastDelay(candidates, performance.now(), Math.random())?.server;
}

/**
 * The replicas that may run a read now, in the order in which they are offered.
 *
 * @param random decides which servers take a part of their reads only; random numbers in [0, 1)
 */
export function listAvailable(
  reads: ReplicaReads,
  readGroup: ReadGroup,
  draft: Pick<StatementDraft, 'homes'>,
  random: () => number,
): readonly ServerState[] {
  return [...readGroup.servers.values()].filter(
    (server) => replicaExclusion(reads, readGroup, draft, server, random) === undefined,
  );
}

/** Why a replica may not run a read now; `undefined` if it may. */
export function replicaExclusion(
  reads: ReplicaReads,
  { group, brokenAtMs }: ReadGroup,
  { homes }: Pick<StatementDraft, 'homes'>,
  server: ServerState,
  random: () => number,
): ReaderTargetReason | undefined {
  const { mayBeCold, regionOf, readDistribution } = reads.options;
  const { health, runningCount, announcement, failingSinceMs } = server;
  const nowMs = performance.now();
  if (server.isRetired) return 'retired';
  if (isEvacuated(reads, server)) return 'evacuated';
  if (!isHome(homes, regionOf(announcement.zone))) return 'not-a-home';
  // It may have restarted, and its owner does not offer it while it is cold.
  if (mayBeCold(group) && brokenAtMs.has(server)) return 'may-be-cold';
  if (readDistribution === 'even' && !takesRead(health, runningCount, random())) return 'set-aside';
  if (runningCount >= announcement.slots * READS_PER_SLOT) return 'no-free-slot';
  if (nowMs < server.busyUntilMs) return 'busy';
  if (nowMs < server.laggingUntilMs) return 'lagging';
  const isPaused = failingSinceMs !== undefined && nowMs - failingSinceMs <= FAILED_PAUSE_MS;
  return isPaused ? 'unreachable' : undefined;
}

/** What the choice by least expected delay takes of a replica. */
export function loadCandidateOf(server: ServerState, customer: CustomerName) {
  return {
    server,
    slots: server.announcement.slots,
    running: server.runningCount,
    others: server.load.others,
    serviceMs: server.load.service.get('read')?.meanMs,
    extraMs: hasIdleConnection(server, customer) ? 0 : NEW_CONNECTION_MS,
  };
}

function hasIdleConnection({ idle }: ServerState, customer: CustomerName): boolean {
  return idle.some(({ connection }) => connection.customer === customer);
}

/** Whether nothing starts on a replica, because its zone is evacuated. */
export function isEvacuated({ options }: ReplicaReads, { announcement }: ServerState): boolean {
  return options.evacuatedZones().has(announcement.zone);
}
