/** A group of servers in memory, and an owner of it, for tests of an owner's decisions. */
import {
  type ControlCommand,
  type GroupName,
  type GroupRecord,
  type LogPosition,
  type ServerName,
  type ServerPlace,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import {
  createServerState,
  createStatementOwner,
  type OwnerEnvironment,
  type StatementOwner,
} from '../owner/owner-state.js';
import type {
  OpenTargetOutcome,
  PromoteOutcome,
  PromoteRequest,
  TargetAnswer,
  TargetConnection,
  TargetOrder,
} from '../types/target-port.js';

/** How a server behaves towards connections. */
export type FakeReach =
  | 'up'
  /** Its address refuses connections, and open ones are gone. */
  | 'refusing'
  /** Nothing is answered, by open or new connections. */
  | 'dark'
  /** Connections that were opened before are silent, new ones work. */
  | 'old-silent'
  /** It turns new connections away for want of room. */
  | 'full';

export interface FakeServer {
  readonly name: ServerName;
  role: 'primary' | 'replica';
  term: number;
  /** What it has received, as it says when it is asked. */
  position: LogPosition;
  /** What its reads can see, as each answer says, where that is less. */
  applied?: LogPosition;
  heldTerm: number;
  reach: FakeReach;
  /** Answers to its next orders instead of the usual ones. */
  readonly answers: TargetAnswer[];
  readonly orders: TargetOrder[];
  readonly connections: Set<TargetConnection>;
}

export interface FakeGroup {
  readonly owner: StatementOwner;
  readonly servers: FakeServer[];
  readonly commands: ControlCommand[];
  readonly promotions: PromoteRequest[];
  readonly promoteOutcomes: PromoteOutcome[];
  readonly record: {
    term: number;
    proposedTerm: number;
    primary: ServerName | undefined;
    places?: readonly ServerPlace[];
  };
  holdsLease: boolean;
}

const group: GroupName = toGroupName('ledger');

/** Creates an owner that knows `count` servers; the first one is the primary, in term 3. */
export function createFakeGroup(count: number, epoch = 1): FakeGroup {
  const servers = Array.from({ length: count }, (_, index) => createFakeServer(index));
  const fake: FakeGroup = {
    servers,
    commands: [],
    promotions: [],
    promoteOutcomes: [],
    record: { term: 0, proposedTerm: 0, primary: undefined },
    holdsLease: true,
    owner: createStatementOwner(
      group,
      epoch,
      createEnvironment(() => fake),
    ),
  };
  const nowMs = performance.now();
  for (const [index, { name, role }] of servers.entries()) {
    const announcement = {
      group,
      server: name,
      address: `10.0.0.${index}:1`,
      zone: `zone-${index}`,
      slots: 2,
      role,
      isLeaving: false,
      bornMs: 1,
      sequence: 1,
    };
    fake.owner.servers.set(name, createServerState(announcement, nowMs));
  }
  return fake;
}

function createFakeServer(index: number): FakeServer {
  return {
    name: `i-${index}` as ServerName,
    role: index === 0 ? 'primary' : 'replica',
    term: 3,
    position: { term: 3, offset: 40 },
    heldTerm: 0,
    reach: 'up',
    answers: [],
    orders: [],
    connections: new Set(),
  };
}

function createEnvironment(fake: () => FakeGroup): OwnerEnvironment {
  return {
    entryId: 'entry-1',
    zone: 'zone-0',
    regionOf: (zone) => zone,
    log: () => undefined,
    counters: {
      count: () => undefined,
      gauge: () => undefined,
      timing: () => undefined,
      totals: () => ({}),
      close: () => undefined,
    },
    holdsLease: () => fake().holdsLease,
    groupRecord: (): GroupRecord => ({
      group,
      servers: fake().servers.map(({ name }) => name),
      ...fake().record,
    }),
    groupSettings: () => ({ group, maxConnections: 13, isSynchronous: true }),
    customers: () => [toCustomerName('one'), toCustomerName('other')],
    idleTransactionMs: () => 3_000,
    propose: (command) => {
      fake().commands.push(command);
      if (command.kind === 'group/places') fake().record.places = command.places;
      if (command.kind === 'primary/propose') fake().record.proposedTerm = command.term;
      if (command.kind === 'primary/commit') {
        Object.assign(fake().record, { term: command.term, primary: command.server });
      }
      return Promise.resolve({ kind: 'done' } as Awaited<ReturnType<OwnerEnvironment['propose']>>);
    },
    openTarget: ({ server: name, customer, timeoutMs }) => {
      const server = fake().servers.find((each) => each.name === name);
      if (!server) throw new Error(`no server ${name}`);
      return openFake(server, customer, timeoutMs);
    },
    readTargetStatus: (rows) => JSON.parse(rows[0] ?? 'null') as undefined,
    promoteServer: (request) => {
      fake().promotions.push(request);
      const outcome = fake().promoteOutcomes.shift() ?? 'accepted';
      if (outcome === 'accepted') promote(fake().servers, request.server);
      return Promise.resolve(outcome);
    },
  };
}

function promote(servers: readonly FakeServer[], name: ServerName): void {
  const term = Math.max(...servers.map((server) => server.term)) + 1;
  for (const server of servers) {
    if (server.name !== name) server.role = 'replica';
    else Object.assign(server, { role: 'primary', term, heldTerm: 0 });
  }
}

async function openFake(
  server: FakeServer,
  customer: TargetConnection['customer'],
  timeoutMs: number,
): Promise<OpenTargetOutcome> {
  if (server.reach === 'refusing') return { kind: 'failed', why: 'unreachable' };
  if (server.reach === 'full') return { kind: 'refused', code: 'too-many-connections' };
  if (server.reach === 'dark') {
    await pause(timeoutMs);
    return { kind: 'failed', why: 'silent' };
  }
  const wasOld = server.reach === 'up';
  let isOpen = true;
  const connection: TargetConnection = {
    customer,
    isOpen: () => isOpen && server.reach !== 'refusing',
    close: () => {
      isOpen = false;
      server.connections.delete(connection);
    },
    send: async (order, limitMs) => {
      const isSilent = server.reach === 'dark' || (server.reach === 'old-silent' && wasOld);
      if (isSilent) {
        await pause(limitMs);
        connection.close();
        return { kind: 'overdue' };
      }
      return connection.isOpen() ? answerFake(server, order) : { kind: 'lost' };
    },
  };
  server.connections.add(connection);
  return { kind: 'open', connection, position: server.applied ?? server.position };
}

function answerFake(server: FakeServer, order: TargetOrder): TargetAnswer {
  server.orders.push(order);
  const answer = server.answers.shift();
  if (answer) return answer;
  if (order.kind === 'pause') server.heldTerm = order.term;
  if (order.kind === 'resume') server.heldTerm = 0;
  if (order.kind === 'demote') server.role = 'replica';
  const { role, term, position, heldTerm } = server;
  const rows = [JSON.stringify({ role, term, position, heldTerm })];
  const seen = server.applied ?? position;
  return { kind: 'done', rows, signature: '-', state: 'idle', position: seen };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
