/**
 * Plays arrivals against a simulated group whose owner admits and orders statements as the product does. Time is
 * simulated in steps of 1 ms and random numbers are seeded, so that results don't depend on the machine.
 */
import { seededRandom } from '../control-log/raft-harness.test-support.js';
import {
  createFairQueue,
  createShareClock,
  enqueue,
  type FairQueue,
  recordFinished,
  removeExpired,
  removeWaiting,
} from '../queue/fair-queue.js';
import {
  createServerLoad,
  recordSent,
  recordServed,
  type ServerLoad,
} from '../route/server-load.js';
import { toCustomerName } from '../types/ids.js';
import {
  isToBeJudgedAgain,
  judgeStart,
  latestUsefulStartMs,
  type StartVerdict,
} from './admission.js';
import { createArrivalRates, moreUrgentPerMs, recordArrival } from './arrival-rates.js';
import { forecastStart } from './start-forecast.js';
import { createStartOrder, LESSER_SHARE, takeNext } from './start-order.js';
import { visitAhead } from './waiting-ahead.js';

export interface LoadPattern {
  readonly seed: number;
  /** Arrivals of a kind in relation to its usual rate. */
  readonly factorOf?: (priority: number, nowMs: number) => number;
  /** Arrivals of the first customer in relation to its usual rate. */
  readonly firstCustomerFactor?: (nowMs: number) => number;
  readonly slotsAt?: (nowMs: number) => number;
  readonly areReplicasLagging?: (nowMs: number) => boolean;
}

export interface KindResult {
  requests: number;
  served: number;
  /** Served within the objective. */
  servedInTime: number;
  refusals: number;
  /** Refusals that came later than on arrival. */
  lateRefusals: number;
  /** Refused statements that would have started in time in a place that nothing else used. */
  wrongRefusals: number;
  attempts: number;
  /** The longest time without a start while such statements were waiting or refused, in milliseconds. */
  longestPauseMs: number;
  /** The longest time that a refused statement was held, in milliseconds. */
  longestHeldMs: number;
}

export interface GroupResult {
  readonly kinds: readonly KindResult[];
  readonly attemptsPerRequest: number;
  /** Share of requests served of the customers other than the first one. */
  readonly othersServedShare: number;
}

interface Kind {
  readonly perSecond: number;
  readonly serviceMs: number;
  readonly objectiveMs: number;
  readonly startWithinMs: number;
  readonly access: 'read' | 'write';
}

interface Statement {
  readonly priority: number;
  readonly customer: number;
  readonly arrivedAtMs: number;
  readonly startByMs: number;
  readonly objectiveMs: number;
  readonly attempt: number;
}

interface Server {
  readonly load: ServerLoad;
  readonly isPrimary: boolean;
  slots: number;
  freePlaces: number;
  readonly service: ServerLoad['service'];
  /** End times of refused statements that are imagined to run here. */
  ghosts: number[];
  running: {
    readonly statement: Statement;
    readonly startMs: number;
    readonly endMs: number;
    readonly occupied: number;
  }[];
}

/** The loads of the design page, at 58% of three servers of four slots. */
const KINDS: readonly Kind[] = [
  { perSecond: 200, serviceMs: 6, objectiveMs: 400, startWithinMs: 360, access: 'write' },
  { perSecond: 120, serviceMs: 30, objectiveMs: 800, startWithinMs: 540, access: 'read' },
  { perSecond: 120, serviceMs: 18, objectiveMs: 1_500, startWithinMs: 900, access: 'read' },
];
const CUSTOMERS = 12;
const DURATION_MS = 12_000;
const WARM_UP_MS = 1_000;
const SWEEP_EVERY_MS = 25;
const MAX_ATTEMPTS = 3;

/** Runs a pattern for 12 s of simulated time. */
export function simulateGroup(pattern: LoadPattern): GroupResult {
  const random = seededRandom(pattern.seed);
  const order = createStartOrder();
  const rates = createArrivalRates();
  const clock = createShareClock();
  const queues = new Map(
    KINDS.map((_, priority) => [
      priority,
      createFairQueue<Statement>(Number.POSITIVE_INFINITY, clock),
    ]),
  );
  const servers = [0, 1, 2].map((index) => createServer(index === 0));
  const kinds = KINDS.map(createResult);
  const retries: { readonly atMs: number; readonly statement: Statement }[] = [];
  let refused: Statement[] = [];
  const lastStartMs = KINDS.map(() => 0);
  const others = { requests: 0, served: 0 };
  let nowMs = 0;

  for (; nowMs < DURATION_MS; nowMs += 1) {
    for (const server of servers) finish(server);
    for (const priority of KINDS.keys()) arrive(priority);
    const due = retries.filter(({ atMs }) => atMs === nowMs);
    for (const { statement } of due) submit(statement);
    if (nowMs % SWEEP_EVERY_MS === 0) sweep();
    start();
    findWrongRefusals();
  }
  const sum = (field: 'attempts' | 'requests') =>
    kinds.reduce((total, kind) => total + kind[field], 0);
  return {
    kinds,
    attemptsPerRequest: sum('attempts') / sum('requests'),
    othersServedShare: others.served / others.requests,
  };

  function finish(server: Server): void {
    server.slots = pattern.slotsAt?.(nowMs) ?? 4;
    for (const { statement, startMs, endMs, occupied } of server.running) {
      if (endMs > nowMs) continue;
      const { priority, customer, arrivedAtMs, objectiveMs } = statement;
      const elapsedMs = endMs - startMs;
      recordServed(server.load, accessOf(statement), { elapsedMs, occupied, slots: 4 }, nowMs);
      recordFinished(queueOf(priority), nameOf(customer), elapsedMs, nowMs);
      const kind = resultOf(priority);
      kind.served += 1;
      if (nowMs - arrivedAtMs <= objectiveMs) kind.servedInTime += 1;
      if (customer !== 0) others.served += 1;
    }
    server.running = server.running.filter(({ endMs }) => endMs > nowMs);
    server.freePlaces = server.slots - server.running.length;
  }

  function arrive(priority: number): void {
    const { perSecond, objectiveMs, startWithinMs } = kindOf(priority);
    const factor = pattern.factorOf?.(priority, nowMs) ?? 1;
    for (let customer = 0; customer < CUSTOMERS; customer += 1) {
      const own = customer === 0 ? (pattern.firstCustomerFactor?.(nowMs) ?? 1) : 1;
      if (random() >= (perSecond * factor * own) / CUSTOMERS / 1_000) continue;
      resultOf(priority).requests += 1;
      if (customer !== 0) others.requests += 1;
      const startByMs = nowMs + startWithinMs;
      submit({ priority, customer, arrivedAtMs: nowMs, startByMs, objectiveMs, attempt: 1 });
    }
  }

  function submit(statement: Statement): void {
    resultOf(statement.priority).attempts += 1;
    const verdict = judge(statement, undefined);
    if (verdict.kind === 'refuse') {
      refuse(statement, verdict.retryAfterMs);
      return;
    }
    const { customer, startByMs } = statement;
    recordArrival(rates, statement.priority, accessOf(statement), nowMs);
    const queued = { item: statement, customer: nameOf(customer), deadlineMs: startByMs };
    enqueue(queueOf(statement.priority), queued, nowMs);
  }

  function refuse(statement: Statement, retryAfterMs: number): void {
    const { priority, arrivedAtMs, attempt } = statement;
    const kind = resultOf(priority);
    kind.refusals += 1;
    if (nowMs > arrivedAtMs) kind.lateRefusals += 1;
    kind.longestHeldMs = Math.max(kind.longestHeldMs, nowMs - arrivedAtMs);
    refused.push(statement);
    if (attempt >= MAX_ATTEMPTS) return;
    const atMs = nowMs + retryAfterMs;
    const startByMs = atMs + kindOf(priority).startWithinMs;
    const next = { ...statement, arrivedAtMs: atMs, startByMs, attempt: attempt + 1 };
    retries.push({ atMs, statement: next });
  }

  function judge(statement: Statement, ownCount: number | undefined): StartVerdict {
    const counts = { write: 0, read: 0 };
    const count = (ahead: Statement) => {
      counts[accessOf(ahead)] += 1;
    };
    for (const [priority, queue] of queues) {
      if (priority < statement.priority) visitAll(queue, count);
      if (priority === statement.priority)
        visitAhead(queue, nameOf(statement.customer), count, ownCount);
    }
    let countAhead = 0;
    visitAll(queueOf(statement.priority), (other) => {
      if (other.startByMs < statement.startByMs) countAhead += 1;
    });
    const hasLesser = [...queues].some(
      ([priority, queue]) => priority > statement.priority && isWaiting(queue),
    );
    const perMs = (access: 'read' | 'write') =>
      moreUrgentPerMs(rates, statement.priority, access, nowMs);
    const forecast = forecastStart({
      servers: eligible(statement),
      access: accessOf(statement),
      ahead: [
        {
          servers: servers.slice(0, 1),
          access: 'write',
          count: counts.write,
          arrivingPerMs: perMs('write'),
        },
        { servers: readers(), access: 'read', count: counts.read, arrivingPerMs: perMs('read') },
      ],
      lesserShare: hasLesser ? LESSER_SHARE : 0,
      ...(statement.priority > 0 && { guaranteed: { share: LESSER_SHARE, countAhead } }),
    });
    return judgeStart(statement, forecast, nowMs, random());
  }

  function sweep(): void {
    for (const queue of queues.values()) {
      const late = new Map<Statement, number>();
      for (const { items } of queue.customers.values()) {
        for (const [position, { item }] of items.entries()) {
          if (!isToBeJudgedAgain(item, nowMs)) break;
          const verdict = judge(item, position);
          if (verdict.kind === 'refuse') late.set(item, verdict.retryAfterMs);
        }
      }
      removeWaiting(queue, (item) => late.has(item));
      for (const [item, retryAfterMs] of late) refuse(item, retryAfterMs);
      for (const { item } of removeExpired(queue, nowMs)) refuse(item, 200);
    }
  }

  function start(): void {
    for (;;) {
      let server: Server | undefined;
      const next = takeNext(order, queues, nowMs, (statement, isDue) => {
        server = choose(statement, isDue);
        return server !== undefined;
      });
      if (!next || !server) return;
      run(server, next.item);
    }
  }

  function run(server: Server, statement: Statement): void {
    const { priority } = statement;
    const endMs = nowMs + kindOf(priority).serviceMs * (0.5 + random());
    const occupied = server.running.length + 1;
    server.running.push({ statement, startMs: nowMs, endMs, occupied });
    server.freePlaces -= 1;
    recordSent(server.load, accessOf(statement), nowMs);
    const pauseMs = nowMs - (lastStartMs[priority] ?? 0);
    resultOf(priority).longestPauseMs = Math.max(resultOf(priority).longestPauseMs, pauseMs);
    lastStartMs[priority] = nowMs;
  }

  /**
   * A refusal was wrong if a place that nothing else uses becomes free in time. The refused statement occupies that
   * place for the time that it would have run.
   */
  function findWrongRefusals(): void {
    refused = refused.filter((statement) => latestOf(statement) >= nowMs);
    for (const server of servers) server.ghosts = server.ghosts.filter((endMs) => endMs > nowMs);
    for (const statement of [...refused]) {
      const server = eligible(statement).find(
        ({ freePlaces, ghosts }) => freePlaces - ghosts.length > 0,
      );
      if (!server) continue;
      server.ghosts.push(nowMs + kindOf(statement.priority).serviceMs);
      resultOf(statement.priority).wrongRefusals += 1;
      refused.splice(refused.indexOf(statement), 1);
    }
  }

  function latestOf(statement: Statement): number {
    return latestUsefulStartMs(statement, kindOf(statement.priority).serviceMs);
  }

  function choose(statement: Statement, isDue: boolean): Server | undefined {
    const may = eligible(statement);
    const usable = isDue && may.length > 1 ? may.filter(({ isPrimary }) => !isPrimary) : may;
    const free = usable.filter(({ freePlaces }) => freePlaces > 0);
    const replicas = free.filter(({ isPrimary }) => !isPrimary);
    const candidates = replicas.length > 0 ? replicas : free;
    return candidates.reduce<Server | undefined>(
      (best, server) => (best && best.freePlaces >= server.freePlaces ? best : server),
      undefined,
    );
  }

  function eligible(statement: Statement): Server[] {
    return accessOf(statement) === 'write' ? servers.slice(0, 1) : readers();
  }

  function readers(): Server[] {
    return pattern.areReplicasLagging?.(nowMs) === true ? servers.slice(0, 1) : servers;
  }

  function queueOf(priority: number): FairQueue<Statement> {
    return queues.get(priority) ?? createFairQueue(0);
  }

  function resultOf(priority: number): KindResult {
    return kinds[priority] ?? createResult();
  }
}

export const AFTER_WARM_UP = (nowMs: number, untilMs: number) =>
  nowMs >= WARM_UP_MS && nowMs < untilMs;

function createServer(isPrimary: boolean): Server {
  const load = createServerLoad();
  return {
    load,
    service: load.service,
    isPrimary,
    slots: 4,
    freePlaces: 4,
    ghosts: [],
    running: [],
  };
}

function createResult(): KindResult {
  return {
    ...{ requests: 0, served: 0, servedInTime: 0, refusals: 0, lateRefusals: 0, wrongRefusals: 0 },
    ...{ attempts: 0, longestPauseMs: 0, longestHeldMs: 0 },
  };
}

function kindOf(priority: number): Kind {
  const kind = KINDS[priority];
  if (!kind) throw new Error(`no kind of priority ${priority}`);
  return kind;
}

function accessOf({ priority }: Statement): 'read' | 'write' {
  return kindOf(priority).access;
}

function nameOf(customer: number) {
  return toCustomerName(`customer-${customer}`);
}

function isWaiting({ customers }: FairQueue<Statement>): boolean {
  return [...customers.values()].some(({ items }) => items.length > 0);
}

function visitAll(queue: FairQueue<Statement>, visit: (statement: Statement) => void): void {
  for (const { items } of queue.customers.values()) for (const { item } of items) visit(item);
}
