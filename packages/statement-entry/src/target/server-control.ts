/** Sends the owner's own orders to the servers of its group, over a separate connection to each server. */
import { setTimeout as delay } from 'node:timers/promises';
import { latestPosition, toCustomerName } from '@bramleykeel/core';
import { match } from 'ts-pattern';
import type { ServerState, StatementOwner } from '../owner/owner-state.js';
import type {
  TargetAnswer,
  TargetConnection,
  TargetOrder,
  TargetStatus,
} from '../types/target-port.js';
import { closeIdleConnections, recordAnswer, recordFailure } from './connection-pool.js';

/** The status reported by a server. */
export interface ServerStatus {
  readonly server: ServerState;
  readonly status: TargetStatus;
}

/** Orders that the owner sends on its own behalf; all are idempotent. */
export type ControlOrder = Extract<
  TargetOrder,
  { readonly kind: 'status' | 'pause' | 'resume' | 'demote' }
>;

/** Customer name under which the owner's own connections are opened. */
const OWNER_CUSTOMER_NAME = toCustomerName('-');
/** Timeout of an order, and of opening a connection for it, in milliseconds. */
const ORDER_TIMEOUT_MS = 350;
/** Timeout for a server that is failing, so that a change of primary does not wait for it. In milliseconds. */
const FAILING_SERVER_TIMEOUT_MS = 150;
/** Pause before an order is repeated to a server that has no free slot, in milliseconds. */
const BUSY_RETRY_MS = 12;
/** Time after which an order to a busy server is abandoned, in milliseconds. */
const BUSY_TIMEOUT_MS = 400;

interface ControlConnection {
  connection: TargetConnection | undefined;
  /** Settles once all earlier orders are answered; a connection handles one order at a time. */
  lastOrder: Promise<unknown>;
}

const controlConnections = new WeakMap<ServerState, ControlConnection>();

/** Sends an order to a server and returns the status in its answer; `undefined` if there is none. */
export async function sendControlOrder(
  owner: StatementOwner,
  server: ServerState,
  order: ControlOrder,
): Promise<ServerStatus | undefined> {
  const retryUntilMs = performance.now() + BUSY_TIMEOUT_MS;
  for (;;) {
    const answer = await runInOrder(owner, server, order);
    const isBusy = answer?.kind === 'refused' && answer.code === 'busy';
    if (isBusy && performance.now() < retryUntilMs && !owner.isClosed) {
      await delay(BUSY_RETRY_MS);
      continue;
    }
    const done = answer?.kind === 'done' ? answer : undefined;
    const status = done && owner.environment.readTargetStatus(done.rows);
    if (!status) {
      owner.environment.counters.count(`control.${answer?.kind ?? 'unreachable'}`);
      return undefined;
    }
    // The status contains the position that a replica has received; the answer contains the position that it
    // has applied, which is what its reads see.
    // The connection that carried the order is neither another's nor counted in the pool.
    server.otherConnections = Math.max(0, status.connections - server.connectionCount - 1);
    if (done.position) server.position = latestPosition(server.position, done.position);
    return { server, status };
  }
}

/** Sends an order to each server of the group concurrently, and returns the statuses of those that answer. */
export async function sendControlOrderToAll(
  owner: StatementOwner,
  orderFor: (server: ServerState) => ControlOrder,
): Promise<ServerStatus[]> {
  const servers = [...owner.servers.values()];
  const pending = servers.map((server) => sendControlOrder(owner, server, orderFor(server)));
  return answeredStatuses(pending);
}

/** Resumes replication on replicas that a fence has paused; returns whether there were any. */
export function resumePausedReplicas(
  owner: StatementOwner,
  statuses: readonly ServerStatus[],
): boolean {
  const paused = statuses.filter(({ status }) => status.role === 'replica' && status.heldTerm > 0);
  for (const { server } of paused) {
    owner.environment.log(
      `${server.announcement.server} of ${owner.group} is paused; resuming replication`,
    );
    void sendControlOrder(owner, server, { kind: 'resume' });
  }
  return paused.length > 0;
}

/** Waits for all orders and returns the statuses in their answers. */
export async function answeredStatuses(
  pending: Iterable<Promise<ServerStatus | undefined>>,
): Promise<ServerStatus[]> {
  return (await Promise.all(pending)).filter((status) => status !== undefined);
}

/** Whether the server answers at all, including that it is busy. */
export async function probeServer(owner: StatementOwner, server: ServerState): Promise<boolean> {
  if (server.isProbing) return server.failingSinceMs === undefined;
  server.isProbing = true;
  try {
    const answer = await runInOrder(owner, server, { kind: 'status' });
    return answer !== undefined;
  } finally {
    server.isProbing = false;
  }
}

/** Closes the connection for the owner's orders to this server. */
export function closeControlConnection(server: ServerState): void {
  const control = controlConnections.get(server);
  controlConnections.delete(server);
  control?.connection?.close();
}

function controlConnectionOf(server: ServerState): ControlConnection {
  const existing = controlConnections.get(server);
  if (existing) return existing;
  const created = {
    connection: undefined,
    lastOrder: Promise.resolve(),
  };
  controlConnections.set(server, created);
  return created;
}

/** An error costs the order that it occurred in, and neither the later ones nor those of other servers. */
function runInOrder(
  owner: StatementOwner,
  server: ServerState,
  order: ControlOrder,
): Promise<TargetAnswer | undefined> {
  const control = controlConnectionOf(server);
  const next = control.lastOrder
    .then(() => sendOverControlConnection(owner, server, order))
    .catch((error: unknown) => {
      const { log, counters } = owner.environment;
      counters.count('control.unexpected-error');
      log('order to a server failed', {
        server: server.announcement.server,
        order: order.kind,
        error: String(error),
      });
      return undefined;
    });
  control.lastOrder = next;
  return next;
}

/** Sends an order, over a new connection if the existing one does not answer. */
async function sendOverControlConnection(
  owner: StatementOwner,
  server: ServerState,
  order: ControlOrder,
): Promise<TargetAnswer | undefined> {
  const startedAtMs = performance.now();
  const timeoutMs =
    server.failingSinceMs === undefined ? ORDER_TIMEOUT_MS : FAILING_SERVER_TIMEOUT_MS;
  const control = controlConnectionOf(server);
  let hasTimedOut = false;
  if (control.connection?.isOpen() === true) {
    const answer = await control.connection.send(order, timeoutMs);
    if (isAnswered(answer)) {
      recordControlAnswer(server, startedAtMs);
      return answer;
    }
    hasTimedOut = answer.kind === 'overdue';
  }
  const connection = await openControlConnection(owner, server, control, timeoutMs, startedAtMs);
  if (!connection || 'kind' in connection) return connection;
  // The server accepts new connections, so the old one was dead. Idle ones not used since are presumed dead too.
  if (hasTimedOut) closeIdleConnections(server, ({ lastUsedMs }) => lastUsedMs < startedAtMs);
  const sentAtMs = performance.now();
  const answer = await connection.send(order, timeoutMs);
  if (isAnswered(answer)) {
    recordControlAnswer(server, sentAtMs);
    return answer;
  }
  recordFailure(server, answer.kind === 'overdue' ? 'silent' : 'closed', startedAtMs);
  return undefined;
}

function isAnswered({ kind }: TargetAnswer): boolean {
  return kind !== 'lost' && kind !== 'overdue' && kind !== 'foreign';
}

function recordControlAnswer(server: ServerState, sentAtMs: number): void {
  recordAnswer(server);
  const elapsedMs = performance.now() - sentAtMs;
  server.roundTripMs = Math.min(server.roundTripMs ?? elapsedMs, elapsedMs);
}

/** Returns a connection, or the answer of a server that refused it; `undefined` if there is neither. */
async function openControlConnection(
  owner: StatementOwner,
  server: ServerState,
  control: ControlConnection,
  timeoutMs: number,
  startedAtMs: number,
): Promise<TargetConnection | TargetAnswer | undefined> {
  const { address, server: name } = server.announcement;
  const { openTarget, counters } = owner.environment;
  const { group } = owner;
  control.connection?.close();
  control.connection = undefined;
  const opened = await openTarget({
    address,
    group,
    server: name,
    customer: OWNER_CUSTOMER_NAME,
    timeoutMs,
  });
  return match(opened)
    .returnType<TargetConnection | TargetAnswer | undefined>()
    .with({ kind: 'open' }, ({ connection }) => {
      if (owner.isClosed || server.isRetired) {
        connection.close();
        return undefined;
      }
      control.connection = connection;
      return connection;
    })
    .with({ kind: 'refused', code: 'misrouted' }, () => {
      recordFailure(server, 'unreachable', startedAtMs);
      return undefined;
    })
    .with({ kind: 'refused' }, ({ code }) => {
      // A server at its connection limit is alive, although it cannot be sent orders.
      counters.count(`control.open-${code}`);
      recordAnswer(server);
      return { kind: 'refused', code, state: 'idle' };
    })
    .with({ kind: 'failed' }, ({ why }) => {
      counters.count(`control.open-${why}`);
      recordFailure(server, why, startedAtMs);
      return undefined;
    })
    .exhaustive();
}
