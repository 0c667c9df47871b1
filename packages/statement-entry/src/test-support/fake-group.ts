/** An in-memory group of servers and its owner, for tests of the owner. */
import {
  type Assignment,
  type ControlCommand,
  DEFAULT_PLACEMENT_BOUNDS,
  type FormerHolder,
  type GroupName,
  type GroupRecord,
  type HomeRules,
  type LogPosition,
  type ServerAnnouncement,
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
import { suspectPrimary } from '../owner/watch-primary.js';
import {
  type AnswerHistory,
  createAnswerHistory,
  isControlOrder,
  matchAnswer,
  recordMatch,
} from '../target/match-answer.js';
import type {
  OpenTargetOutcome,
  PromoteOutcome,
  PromoteRequest,
  TargetAnswer,
  TargetConnection,
  TargetOrder,
  TargetStatus,
} from '../types/target-port.js';

/** How a server responds to connections. */
export type FakeReachability =
  | 'up'
  /** New connections are refused and existing ones are closed. */
  | 'refusing'
  /** Neither existing nor new connections are answered. */
  | 'dark'
  /** Existing connections are not answered; new ones work. */
  | 'old-silent'
  /** New connections are refused because the limit is reached. */
  | 'full';

export interface FakeServer {
  readonly name: ServerName;
  role: 'primary' | 'replica';
  term: number;
  /** The log position received, as reported in the status. */
  position: LogPosition;
  /** The log position applied, as contained in each answer; `position` if absent. */
  applied?: LogPosition;
  heldTerm: number;
  /** Connections of other processes. */
  otherConnections: number;
  reachability: FakeReachability;
  /** How long callers' statements run, in milliseconds. */
  statementMs: number;
  /** Answers to the next orders, in place of the default ones. */
  readonly answers: TargetAnswer[];
  readonly orders: TargetOrder[];
  readonly connections: Set<TargetConnection>;
}

export interface FakeGroup {
  readonly owner: StatementOwner;
  readonly servers: FakeServer[];
  readonly commands: ControlCommand[];
  /** Control neither applies nor answers commands until this has settled; at once if absent. */
  commandGate?: Promise<unknown>;
  /** Whether control applies commands; otherwise it rejects them. */
  appliesCommands: boolean;
  readonly promotions: PromoteRequest[];
  readonly promoteOutcomes: PromoteOutcome[];
  readonly record: {
    term: number;
    proposedTerm: number;
    primary: ServerName | undefined;
    places?: readonly ServerPlace[];
    coveredTerm?: number | undefined;
  };
  holdsLease: boolean;
  formerOwner: FormerHolder;
  /** Zones on whose servers nothing starts; server `i-N` is in `zone-N`. */
  evacuatedZones: ReadonlySet<string>;
  coldRatePerSecond: number;
  /** Regions in which the primary should be; each zone is its own region. */
  homeRegions: readonly string[] | undefined;
  /** The homes of statements by the settings of the owner's entry. */
  homeRules: HomeRules | undefined;
  /** Readers by region. */
  readonly readers: Map<string, Assignment>;
  /** Whether readers close their connections when asked to. */
  readerReleases: boolean;
}

type FakeState = Omit<FakeGroup, 'owner'>;

const group: GroupName = toGroupName('ledger');

/** Creates an owner that knows `count` servers; the first one is the primary, in term 3. */
export function createFakeGroup(count: number, epoch = 1): FakeGroup {
  const servers = Array.from({ length: count }, (_, index) => createFakeServer(index));
  const state: FakeState = {
    servers,
    commands: [],
    appliesCommands: true,
    promotions: [],
    promoteOutcomes: [],
    record: { term: 0, proposedTerm: 0, primary: undefined },
    holdsLease: true,
    formerOwner: { epoch, heldForMs: 0, endedForMs: 0, hasReleased: false },
    evacuatedZones: new Set(),
    coldRatePerSecond: 0,
    homeRegions: undefined,
    homeRules: undefined,
    readers: new Map(),
    readerReleases: true,
  };
  const owner = createStatementOwner(
    group,
    epoch,
    createEnvironment(() => state),
  );
  owner.suspect = (server) => {
    suspectPrimary(owner, server);
  };
  const fake: FakeGroup = Object.assign(state, { owner });
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

/** Adds a replica to the group, and returns its first announcement; the owner does not know it yet. */
export function addFakeReplica(fake: FakeGroup): ServerAnnouncement {
  const index = fake.servers.length;
  const server = createFakeServer(index);
  fake.servers.push(server);
  return {
    ...{ group, server: server.name, address: `10.0.0.${index}:1`, zone: `zone-${index}` },
    ...{ slots: 2, role: 'replica', isLeaving: false, bornMs: 1, sequence: 1 },
  };
}

function createFakeServer(index: number): FakeServer {
  return {
    name: `i-${index}` as ServerName,
    role: index === 0 ? 'primary' : 'replica',
    term: 3,
    position: { term: 3, offset: 40 },
    heldTerm: 0,
    otherConnections: 0,
    reachability: 'up',
    statementMs: 0,
    answers: [],
    orders: [],
    connections: new Set(),
  };
}

function createEnvironment(fake: () => FakeState): OwnerEnvironment {
  return {
    entryId: 'entry-1',
    zone: 'zone-0',
    regionOf: (zone) => zone,
    evacuatedZones: () => fake().evacuatedZones,
    readDistribution: 'even',
    placementBounds: DEFAULT_PLACEMENT_BOUNDS,
    homeRegions: () => fake().homeRegions,
    homeRules: () => fake().homeRules,
    log: () => undefined,
    counters: {
      count: () => undefined,
      gauge: () => undefined,
      timing: () => undefined,
      totals: () => ({}),
      close: () => undefined,
    },
    holdsLease: () => fake().holdsLease,
    formerOwner: () => fake().formerOwner,
    readerIn: (region) => fake().readers.get(region),
    releaseFromReader: () => Promise.resolve(fake().readerReleases),
    groupRecord: (): GroupRecord => ({
      group,
      servers: fake().servers.map(({ name }) => name),
      ...fake().record,
    }),
    groupSettings: () => ({
      group,
      maxConnections: 13,
      isSynchronous: true,
      coldRatePerSecond: fake().coldRatePerSecond,
    }),
    customers: () => [toCustomerName('one'), toCustomerName('other')],
    idleTransactionMs: () => 3_000,
    propose: async (command) => {
      fake().commands.push(command);
      const { commandGate } = fake();
      if (commandGate) await commandGate;
      if (!fake().appliesCommands)
        return { kind: 'superseded', reason: 'this member does not lead' };
      if (command.kind === 'group/places') {
        const { places, coveredTerm } = command;
        Object.assign(fake().record, { places, coveredTerm });
      }
      if (command.kind === 'primary/propose') {
        const { term, successor } = command;
        const others = (fake().record.places ?? []).filter(
          ({ server }) => server !== successor?.place.server,
        );
        const places = successor && { places: [...others, successor.place] };
        Object.assign(fake().record, { proposedTerm: term, ...places });
      }
      if (command.kind === 'primary/commit') {
        Object.assign(fake().record, { term: command.term, primary: command.server });
      }
      return { kind: 'done' };
    },
    openTarget: ({ server: name, customer, timeoutMs }) => {
      const server = fake().servers.find((each) => each.name === name);
      if (!server) throw new Error(`no server ${name}`);
      return openFakeConnection(server, customer, timeoutMs);
    },
    readTargetStatus: readFakeStatus,
    promoteServer: (request) => {
      fake().promotions.push(request);
      const outcome = fake().promoteOutcomes.shift() ?? 'accepted';
      if (outcome === 'accepted') promoteFakeServer(fake().servers, request.server);
      return Promise.resolve(outcome);
    },
  };
}

function promoteFakeServer(servers: readonly FakeServer[], name: ServerName): void {
  const term = Math.max(...servers.map((server) => server.term)) + 1;
  for (const server of servers) {
    if (server.name !== name) server.role = 'replica';
    else Object.assign(server, { role: 'primary', term, heldTerm: 0 });
  }
}

async function openFakeConnection(
  server: FakeServer,
  customer: TargetConnection['customer'],
  timeoutMs: number,
): Promise<OpenTargetOutcome> {
  if (server.reachability === 'refusing') return { kind: 'failed', why: 'unreachable' };
  if (server.reachability === 'full') return { kind: 'refused', code: 'too-many-connections' };
  if (server.reachability === 'dark') {
    await sleep(timeoutMs);
    return { kind: 'failed', why: 'silent' };
  }
  const wasOpenedBeforeFault = server.reachability === 'up';
  let isOpen = true;
  const history = createAnswerHistory();
  const connection: TargetConnection = {
    customer,
    isOpen: () => isOpen && server.reachability !== 'refusing',
    close: () => {
      isOpen = false;
      server.connections.delete(connection);
    },
    send: async (order, limitMs) => {
      const isSilent =
        server.reachability === 'dark' ||
        (server.reachability === 'old-silent' && wasOpenedBeforeFault);
      if (isSilent) {
        await sleep(limitMs);
        connection.close();
        return { kind: 'overdue' };
      }
      if (!connection.isOpen()) return { kind: 'lost' };
      const answer = answerOrder(server, order);
      if (isControlOrder(order) && !takeStatus(history, order, answer)) {
        connection.close();
        return { kind: 'foreign' };
      }
      if ((order.kind === 'run' || order.kind === 'commit') && server.statementMs > 0)
        await sleep(server.statementMs);
      return connection.isOpen() ? answer : { kind: 'lost' };
    },
  };
  server.connections.add(connection);
  return { kind: 'open', connection, position: server.applied ?? server.position };
}

/** Whether a status is taken for that of the order, as by a connection. */
function takeStatus(history: AnswerHistory, order: TargetOrder, answer: TargetAnswer): boolean {
  if (answer.kind !== 'done') return true;
  const { rows, signature, state, position } = answer;
  const status = readFakeStatus(rows);
  const received = { rows, signature, isError: false, state, position, status };
  if (matchAnswer(history, order, received) !== 'fits') return false;
  recordMatch(history, order, received);
  return true;
}

function readFakeStatus(rows: readonly string[]): TargetStatus | undefined {
  return (JSON.parse(rows[0] ?? 'null') as TargetStatus | null) ?? undefined;
}

function answerOrder(server: FakeServer, order: TargetOrder): TargetAnswer {
  server.orders.push(order);
  const answer = server.answers.shift();
  if (answer) return answer;
  if (order.kind === 'pause') server.heldTerm = order.term;
  if (order.kind === 'resume') server.heldTerm = 0;
  if (order.kind === 'demote') server.role = 'replica';
  const { role, term, position, heldTerm } = server;
  const connections = server.connections.size + server.otherConnections;
  const rows = [JSON.stringify({ role, term, position, heldTerm, connections })];
  const visiblePosition = server.applied ?? position;
  return { kind: 'done', rows, signature: '-', state: 'idle', position: visiblePosition };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
