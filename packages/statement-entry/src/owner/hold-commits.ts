/**
 * Holds back the acknowledgement of a commit while no server on control's record is known to have it. After the loss of
 * all processes the next owner would not wait for a replica without a record, although only that one and the primary may
 * have the commit.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  coversMark,
  type HeldCommit,
  type LogPosition,
  type ServerName,
  uncoveredPlaces,
  unrecordedServers,
} from '@bramleykeel/core';
import { sendControlOrder } from '../target/server-control.js';
import type { ServerState, StatementOwner } from './owner-state.js';

/**
 * Interval at which replicas on record are asked for what they have received while commits are held, in milliseconds. It
 * ends the wait if control takes longer than usual, as during an election.
 */
const REPLICA_POLL_MS = 50;

/** The servers that may have received a commit that was answered now, and that control may not have on record. */
export function unrecordedServersOf(owner: StatementOwner): ServerName[] {
  const { recordedServers, servers, coverage } = owner;
  const present = unrecordedServers(recordedServers, servers.keys());
  if (coverage.gaps.length === 0) return present;
  const departed = uncoveredPlaces(coverage).map(({ server }) => server);
  return [...new Set([...present, ...unrecordedServers(recordedServers, departed)])];
}

/**
 * Holds a commit that a server has answered.
 *
 * @param untilMs by the monotonic clock
 * @returns whether its acknowledgement may be passed on before `untilMs`; `undefined` if it need not be held
 */
export function holdCommit(
  owner: StatementOwner,
  position: LogPosition | null,
  untilMs: number,
): Promise<boolean> | undefined {
  const awaited = unrecordedServersOf(owner);
  if (awaited.length === 0) return undefined;
  const { heldCommits, environment } = owner;
  const startedAtMs = performance.now();
  if (heldCommits.size === 0) {
    const fields = { group: owner.group, servers: awaited.join(' ') };
    environment.log('commits are held until control has servers on record', fields);
  }
  environment.counters.count('commit.held');
  return new Promise((resolve) => {
    const end = (isKnown: boolean) => {
      heldCommits.delete(held);
      clearTimeout(timer);
      environment.counters.timing('commit.held', Math.round(performance.now() - startedAtMs));
      resolve(isKnown);
    };
    const held: HeldCommit = { position, awaited: new Set(awaited), end };
    const timer = setTimeout(
      () => {
        end(false);
      },
      Math.max(0, untilMs - startedAtMs),
    );
    heldCommits.add(held);
    pollRecordedReplicas(owner);
  });
}

/** Ends the wait of commits whose servers control has put on record. */
export function releaseRecordedCommits(owner: StatementOwner): void {
  const unrecorded = unrecordedServersOf(owner);
  for (const held of [...owner.heldCommits]) {
    const isGone = [...held.awaited].some(
      (name) => !unrecorded.includes(name) && !owner.recordedServers.confirmed.has(name),
    );
    // Another server, which joined later, may be the one that has the commits of a server that has left.
    const awaited = isGone ? unrecorded : [...held.awaited];
    held.awaited = new Set(awaited.filter((name) => unrecorded.includes(name)));
    if (held.awaited.size === 0) held.end(true);
  }
}

/** Ends the wait of all commits of an owner that may not acknowledge any more. */
export function dropHeldCommits({ heldCommits }: StatementOwner): void {
  for (const held of [...heldCommits]) held.end(false);
}

const polledReplicas = new WeakSet<ServerState>();

function pollRecordedReplicas(owner: StatementOwner): void {
  const { confirmed } = owner.recordedServers;
  for (const server of owner.servers.values()) {
    if (!confirmed.has(server.announcement.server) || polledReplicas.has(server)) continue;
    polledReplicas.add(server);
    void pollReplica(owner, server).finally(() => polledReplicas.delete(server));
  }
}

async function pollReplica(owner: StatementOwner, server: ServerState): Promise<void> {
  const { heldCommits, recordedServers } = owner;
  await delay(REPLICA_POLL_MS);
  while (heldCommits.size > 0 && !owner.isClosed && !server.isRetired) {
    const answer = await sendControlOrder(owner, server, { kind: 'status' });
    const isOnRecord = recordedServers.confirmed.has(server.announcement.server);
    if (answer?.status.role === 'replica' && isOnRecord)
      releaseReceivedCommits(owner, answer.status.position);
    await delay(REPLICA_POLL_MS);
  }
}

function releaseReceivedCommits({ heldCommits }: StatementOwner, received: LogPosition): void {
  for (const held of [...heldCommits])
    if (held.position && coversMark(received, held.position)) held.end(true);
}
