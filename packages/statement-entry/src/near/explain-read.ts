/** Explains what a reader would do with a read now, with the functions that decide and on a copy of their state. */
import {
  casesOfTaking,
  expectedDelays,
  type GroupName,
  isHome,
  takeShareOf,
} from '@bramleykeel/core';
import type { ServerState } from '../owner/owner-state.js';
import { SILENT_COUNTERS, snapshotServer } from '../owner/snapshot-owner.js';
import { describeStanding, describeTarget } from '../target/explain-target-state.js';
import { judgeServers } from '../target/judge-servers.js';
import type {
  ExplainedTarget,
  ReaderExplanation,
  ReaderTargetReason,
  StatementQuestion,
} from '../types/explanation.js';
import {
  isEvacuated,
  listAvailable,
  loadCandidateOf,
  replicaExclusion,
  requiredPositionOf,
  usableOfferOf,
} from './choose-replica.js';
import type { ReadGroup, ReplicaReads } from './read-group.js';

/** Servers that take a part of their reads count as taking this one; their parts are weighed. */
const TAKES_ALL = () => 0;
const SILENT = { counters: SILENT_COUNTERS, log: () => undefined };

/**
 * Explains a read that the reader of its group would get. Nothing is sent, requested or changed.
 *
 * @example
 * explainRead(reads, group, question).reason; // null if the reader runs it
 */
export function explainRead(
  reads: ReplicaReads,
  group: GroupName,
  question: StatementQuestion,
): ReaderExplanation {
  const original = reads.groups.get(group);
  const nothing = { required: null, offerAgoMs: null, servers: [] };
  if (reads.isStopping) return { ...nothing, reason: 'the reader is stopping' };
  if (!reads.options.formerReader(group))
    return { ...nothing, reason: 'the entry does not hold the role of the reader' };
  if (!original) return { ...nothing, reason: 'the reader has had no read of the group yet' };
  const readGroup = snapshotReadGroup(original);
  const nowMs = performance.now();
  const offer = usableOfferOf(readGroup, question);
  const required = requiredPositionOf(readGroup, question);
  const servers = explainReplicas(reads, readGroup, question, required !== undefined, nowMs);
  const facts = {
    required: required ?? null,
    offerAgoMs: offer ? Math.round(nowMs - offer.requestedAtMs) : null,
  };
  if (!required) return { ...facts, reason: 'no offer of the owner is recent enough', servers };
  const isRun = servers.some(({ share }) => share > 0);
  return { ...facts, reason: isRun ? null : 'no replica of the region may run it now', servers };
}

function snapshotReadGroup(readGroup: ReadGroup): ReadGroup {
  const copies = new Map(
    [...readGroup.servers.values()].map((server) => [server, snapshotServer(server)]),
  );
  const copyOf = (server: ServerState) => copies.get(server) ?? server;
  return {
    ...readGroup,
    servers: new Map([...readGroup.servers].map(([key, server]) => [key, copyOf(server)])),
    brokenAtMs: new Map([...readGroup.brokenAtMs].map(([server, atMs]) => [copyOf(server), atMs])),
  };
}

function explainReplicas(
  reads: ReplicaReads,
  readGroup: ReadGroup,
  question: StatementQuestion,
  hasOffer: boolean,
  nowMs: number,
): readonly ExplainedTarget<ReaderTargetReason>[] {
  const { regionOf, readDistribution } = reads.options;
  const servers = [...readGroup.servers.values()];
  const isEven = readDistribution === 'even';
  if (isEven) judgeServers(servers, { ...SILENT, group: readGroup.group, path: 'reader' });
  const available = hasOffer ? listAvailable(reads, readGroup, question, TAKES_ALL) : [];
  const shares = isEven
    ? evenShares(available, question, nowMs)
    : new Map(available.slice(0, 1).map((server) => [server, 1]));
  const delays = isEven ? delaysOf(available, question, nowMs) : [];
  const unchosen = isEven ? 'longer-delay' : 'another-is-preferred';
  const reasonOfRest = hasOffer ? unchosen : 'no-recent-offer';
  return servers.map((server) => {
    const share = shares.get(server) ?? 0;
    const exclusion = replicaExclusion(reads, readGroup, question, server, TAKES_ALL);
    const delay = delays.find(({ candidate }) => candidate.server === server);
    const { slots } = server.announcement;
    const context = {
      isEvacuated: isEvacuated(reads, server),
      isHome: isHome(question.homes, regionOf(server.announcement.zone)),
      cold: null,
    };
    return {
      ...describeTarget(server, question.customer, regionOf, nowMs),
      isPrimary: false,
      share,
      reason: share > 0 ? null : (exclusion ?? reasonOfRest),
      standing: describeStanding(server, context, isEven, nowMs),
      freeSlots: Math.max(0, slots - server.runningCount),
      expected: delay ? { waitMs: delay.waitMs, delayMs: delay.delayMs } : null,
    };
  });
}

function delaysOf(servers: readonly ServerState[], { customer }: StatementQuestion, nowMs: number) {
  return expectedDelays(
    servers.map((server) => loadCandidateOf(server, customer)),
    nowMs,
  );
}

function evenShares(
  available: readonly ServerState[],
  question: StatementQuestion,
  nowMs: number,
): ReadonlyMap<ServerState, number> {
  const shareOf = ({ health, runningCount }: ServerState) => takeShareOf(health, runningCount);
  const totals = new Map<ServerState, number>();
  for (const { taking, weight } of casesOfTaking(available, shareOf)) {
    for (const { candidate, share } of delaysOf([...taking], question, nowMs)) {
      const { server } = candidate;
      totals.set(server, (totals.get(server) ?? 0) + weight * share);
    }
  }
  return totals;
}
