/** Orders of the owner's own to the servers of its group, on a connection of their own for each. */
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
import { dropIdle, noteAnswer, noteFailure } from './connection-pool.js';

/** What a server said about itself. */
export interface ServerStatus {
  readonly server: ServerState;
  readonly status: TargetStatus;
}

/** Orders that can be repeated without any further effect. */
export type ControlOrder = Extract<
  TargetOrder,
  { readonly kind: 'status' | 'pause' | 'resume' | 'demote' }
>;

/** The owner's own name at servers. */
const OWNER_NAME = toCustomerName('-');
/** An order or a new connection for it is given up after this time, in milliseconds. */
const ORDER_TIMEOUT_MS = 350;
/** A server that failed lately gets only this long, so that a change of primary does not wait for it. */
const FAILING_TIMEOUT_MS = 150;
/** An order to a server without a free slot is repeated after this time, in milliseconds. */
const BUSY_RETRY_MS = 12;
/** A server that stays busy for this long is told nothing, in milliseconds. */
const BUSY_FOR_MS = 400;

interface ControlConnection {
  connection: TargetConnection | undefined;
  /** Settles once the orders given so far are answered: a connection takes one at a time. */
  last: Promise<unknown>;
}

const controls = new WeakMap<ServerState, ControlConnection>();

/** Gives a server an order and reads what it says about itself; `undefined` without an answer. */
export async function orderStatus(
  owner: StatementOwner,
  server: ServerState,
  order: ControlOrder,
): Promise<ServerStatus | undefined> {
  const busyUntilMs = performance.now() + BUSY_FOR_MS;
  for (;;) {
    const answer = await inTurn(server, () => sendControl(owner, server, order));
    const isBusy = answer?.kind === 'refused' && answer.code === 'busy';
    if (isBusy && performance.now() < busyUntilMs && !owner.isClosed) {
      await delay(BUSY_RETRY_MS);
      continue;
    }
    const done = answer?.kind === 'done' ? answer : undefined;
    const status = done && owner.environment.readTargetStatus(done.rows);
    if (!status) {
      owner.environment.counters.count(`control.${answer?.kind ?? 'unreachable'}`);
      return undefined;
    }
    // The status names what a replica has received; its reads see what it has applied, as answers say.
    if (done.position) server.position = latestPosition(server.position, done.position);
    return { server, status };
  }
}

/** Gives every server of the group its order at the same time, and returns the answers that came. */
export async function orderAll(
  owner: StatementOwner,
  orderFor: (server: ServerState) => ControlOrder,
): Promise<ServerStatus[]> {
  const servers = [...owner.servers.values()];
  const asked = servers.map((server) => orderStatus(owner, server, orderFor(server)));
  return (await Promise.all(asked)).filter((status) => status !== undefined);
}

/** Whether the server answers at all, also as busy. */
export async function probeServer(owner: StatementOwner, server: ServerState): Promise<boolean> {
  if (server.isProbing) return server.failingSinceMs === undefined;
  server.isProbing = true;
  try {
    const answer = await inTurn(server, () => sendControl(owner, server, { kind: 'status' }));
    return answer !== undefined;
  } finally {
    server.isProbing = false;
  }
}

/** Closes the connection that the owner's orders to this server use. */
export function closeControlConnection(server: ServerState): void {
  const control = controls.get(server);
  controls.delete(server);
  control?.connection?.close();
}

function controlOf(server: ServerState): ControlConnection {
  const known = controls.get(server);
  if (known) return known;
  const created = { connection: undefined, last: Promise.resolve() };
  controls.set(server, created);
  return created;
}

function inTurn<T>(server: ServerState, run: () => Promise<T>): Promise<T> {
  const control = controlOf(server);
  const next = control.last.then(run);
  control.last = next;
  return next;
}

/** Sends an order; over a new connection when the kept one turns out to be dead. */
async function sendControl(
  owner: StatementOwner,
  server: ServerState,
  order: ControlOrder,
): Promise<TargetAnswer | undefined> {
  const startedAtMs = performance.now();
  const timeoutMs = server.failingSinceMs === undefined ? ORDER_TIMEOUT_MS : FAILING_TIMEOUT_MS;
  const control = controlOf(server);
  let wasSilent = false;
  if (control.connection?.isOpen() === true) {
    const answer = await control.connection.send(order, timeoutMs);
    if (isAnswered(answer)) {
      noteControlAnswer(server, startedAtMs);
      return answer;
    }
    wasSilent = answer.kind === 'overdue';
  }
  const connection = await openControl(owner, server, control, timeoutMs, startedAtMs);
  if (!connection || 'kind' in connection) return connection;
  // A new connection works although the kept one was silent: idle ones of its age are dead as well.
  if (wasSilent) dropIdle(server, ({ lastUsedMs }) => lastUsedMs < startedAtMs);
  const sentAtMs = performance.now();
  const answer = await connection.send(order, timeoutMs);
  if (isAnswered(answer)) {
    noteControlAnswer(server, sentAtMs);
    return answer;
  }
  noteFailure(server, answer.kind === 'overdue' ? 'silent' : 'closed', startedAtMs);
  return undefined;
}

function isAnswered({ kind }: TargetAnswer): boolean {
  return kind !== 'lost' && kind !== 'overdue';
}

function noteControlAnswer(server: ServerState, sentAtMs: number): void {
  noteAnswer(server);
  const takenMs = performance.now() - sentAtMs;
  server.roundTripMs = Math.min(server.roundTripMs ?? takenMs, takenMs);
}

/** A connection, or the answer of a server that turned it away; `undefined` without any. */
async function openControl(
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
    customer: OWNER_NAME,
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
      noteFailure(server, 'unreachable', startedAtMs);
      return undefined;
    })
    .with({ kind: 'refused' }, ({ code }) => {
      // A server that has no room for a connection is alive, although it cannot be given orders.
      counters.count(`control.open-${code}`);
      noteAnswer(server);
      return { kind: 'refused', code, state: 'idle' };
    })
    .with({ kind: 'failed' }, ({ why }) => {
      counters.count(`control.open-${why}`);
      noteFailure(server, why, startedAtMs);
      return undefined;
    })
    .exhaustive();
}
