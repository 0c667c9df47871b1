/**
 * Simulates processes that choose between servers while their information about the load is out of date. Time is
 * simulated and random numbers are seeded, so that results don't depend on the machine.
 */
import { seededRandom } from '../control-log/raft-harness.test-support.js';
import { chooseLeastDelay } from './even-load.js';
import {
  createServerLoad,
  recordOthers,
  recordSent,
  recordServed,
  type ServerLoad,
} from './server-load.js';

/**
 * - `first-available`: the first server with fewer than two of the chooser's own statements per slot.
 * - `two-choices`: of two random servers, the one with less work at the last update.
 * - `idle-grants`: at each update the free slots of each server are granted to random choosers; a chooser uses its
 *   grants, then random servers.
 * - `slot-shares`: the owner divides the slots of each server between the choosers, in proportion to their
 *   arrivals; each sends to the server with the least of its own work per slot.
 * - `least-delay`: least expected delay with compensation for requests in flight, as in `even-load.ts`.
 */
export type Policy =
  'first-available' | 'two-choices' | 'idle-grants' | 'slot-shares' | 'least-delay';

export interface Scenario {
  readonly policy: Policy;
  readonly chooserCount: number;
  /** Interval between updates of what a chooser knows of the others, in milliseconds. */
  readonly updateMs: number;
  /** Mean service time of each server; service times are exponentially distributed. */
  readonly serviceMs: readonly number[];
  /** Fraction of the servers' capacity. */
  readonly utilization: number;
  readonly seed: number;
}

export interface SimulationResult {
  /**
   * Arrivals at the busiest server in relation to its part of the arrivals by speed (for equal servers: to the
   * mean), averaged over windows.
   */
  readonly busiestRatio: number;
  readonly p99WaitMs: number;
}

interface SentStatement {
  readonly sentMs: number;
  readonly finishMs: number;
  readonly occupied: number;
}

interface Chooser {
  readonly pending: SentStatement[][];
  readonly loads: readonly ServerLoad[];
  /** Grants or shares of each server's slots, depending on the policy. */
  allotted: number[];
  arrivalCount: number;
}

interface Simulation {
  readonly scenario: Scenario;
  readonly random: () => number;
  readonly choosers: readonly Chooser[];
  /** Statements of all choosers on each server at the last update. */
  updatedCounts: number[];
}

const SLOTS = 4;
const DURATION_MS = 25_000;
const WARM_UP_MS = 5_000;
const WINDOW_MS = 5_000;
const MAX_PER_SLOT = 2;

/** Runs a scenario for 20 s of simulated time after a warm-up of 5 s. */
export function simulateChoice(scenario: Scenario): SimulationResult {
  const simulation = createSimulation(scenario);
  const { serviceMs, utilization, updateMs, chooserCount } = scenario;
  const { random } = simulation;
  const speeds = serviceMs.map((meanMs) => SLOTS / meanMs);
  const arrivalsPerMs = sum(speeds) * utilization;
  const freeAtMs = serviceMs.map(() => Array.from({ length: SLOTS }, () => 0));
  const windows = new Map<number, number[]>();
  const waitsMs: number[] = [];
  let nextUpdateMs = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += exponential(random, 1 / arrivalsPerMs)) {
    for (; nextUpdateMs <= nowMs; nextUpdateMs += updateMs) update(simulation, nextUpdateMs);
    const chooser = at(simulation.choosers, Math.floor(random() * chooserCount));
    settle(chooser, nowMs);
    chooser.arrivalCount += 1;
    const index = choose(simulation, chooser, nowMs);
    const waitMs = send(chooser, index, at(freeAtMs, index), nowMs, {
      durationMs: exponential(random, at(serviceMs, index)),
    });
    if (nowMs < WARM_UP_MS) continue;
    waitsMs.push(waitMs);
    const window = Math.floor(nowMs / WINDOW_MS);
    const counts = windows.get(window) ?? serviceMs.map(() => 0);
    counts[index] = at(counts, index) + 1;
    windows.set(window, counts);
  }
  waitsMs.sort((left, right) => left - right);
  const ratios = [...windows.values()].map((counts) => busiestRatio(counts, speeds));
  return {
    busiestRatio: sum(ratios) / ratios.length,
    p99WaitMs: at(waitsMs, Math.floor(waitsMs.length * 0.99)),
  };
}

function createSimulation(scenario: Scenario): Simulation {
  const choosers = Array.from({ length: scenario.chooserCount }, () => ({
    pending: scenario.serviceMs.map(() => []),
    loads: scenario.serviceMs.map(createServerLoad),
    allotted: scenario.serviceMs.map(() => 0),
    arrivalCount: 0,
  }));
  const updatedCounts = scenario.serviceMs.map(() => 0);
  return { scenario, random: seededRandom(scenario.seed), choosers, updatedCounts };
}

/** Takes the answers that have arrived. */
function settle(chooser: Chooser, nowMs: number): void {
  for (const [index, sent] of chooser.pending.entries()) {
    const load = at(chooser.loads, index);
    const answered = sent.filter(({ finishMs }) => finishMs <= nowMs);
    if (answered.length === 0) continue;
    for (const { sentMs, finishMs, occupied } of answered)
      recordServed(
        load,
        'read',
        { elapsedMs: finishMs - sentMs, occupied, slots: SLOTS },
        finishMs,
      );
    chooser.pending[index] = sent.filter(({ finishMs }) => finishMs > nowMs);
  }
}

/** A server starts statements in the order of their arrival, as soon as a slot is free. */
function send(
  chooser: Chooser,
  index: number,
  freeAtMs: number[],
  nowMs: number,
  { durationMs }: { readonly durationMs: number },
): number {
  const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
  const startMs = Math.max(nowMs, at(freeAtMs, slot));
  freeAtMs[slot] = startMs + durationMs;
  const load = at(chooser.loads, index);
  const occupied = at(chooser.pending, index).length + 1 + (load.others?.meanRunning ?? 0);
  at(chooser.pending, index).push({ sentMs: nowMs, finishMs: startMs + durationMs, occupied });
  recordSent(load, 'read', nowMs);
  return startMs - nowMs;
}

function update(simulation: Simulation, nowMs: number): void {
  const { choosers, scenario } = simulation;
  for (const chooser of choosers) settle(chooser, nowMs);
  const countAt = ({ pending }: Chooser, index: number) => at(pending, index).length;
  simulation.updatedCounts = scenario.serviceMs.map((_, index) =>
    sum(choosers.map((chooser) => countAt(chooser, index))),
  );
  for (const chooser of choosers) {
    for (const [index, load] of chooser.loads.entries()) {
      const others = at(simulation.updatedCounts, index) - countAt(chooser, index);
      recordOthers(load, others, nowMs);
    }
  }
  if (scenario.policy === 'idle-grants') grantIdleSlots(simulation);
  if (scenario.policy === 'slot-shares') shareSlots(simulation);
}

function grantIdleSlots({ choosers, random, updatedCounts }: Simulation): void {
  for (const chooser of choosers) chooser.allotted = updatedCounts.map(() => 0);
  for (const [index, count] of updatedCounts.entries()) {
    for (let free = SLOTS - count; free > 0; free -= 1) {
      const { allotted } = at(choosers, Math.floor(random() * choosers.length));
      allotted[index] = at(allotted, index) + 1;
    }
  }
}

function shareSlots({ choosers, updatedCounts }: Simulation): void {
  const total = sum(choosers.map(({ arrivalCount }) => arrivalCount + 1));
  for (const chooser of choosers) {
    const part = (chooser.arrivalCount + 1) / total;
    chooser.allotted = updatedCounts.map(() => SLOTS * part);
    chooser.arrivalCount = 0;
  }
}

function choose(simulation: Simulation, chooser: Chooser, nowMs: number): number {
  const { scenario, random, updatedCounts } = simulation;
  const { loads, pending, allotted } = chooser;
  const indexes = [...loads.keys()];
  const serviceMsOf = (index: number) => at(loads, index).service.get('read')?.meanMs;
  const runningOf = (index: number) => at(pending, index).length;
  switch (scenario.policy) {
    case 'first-available':
      return indexes.find((index) => runningOf(index) < SLOTS * MAX_PER_SLOT) ?? 0;
    case 'two-choices': {
      const first = Math.floor(random() * indexes.length);
      const second = (first + 1 + Math.floor(random() * (indexes.length - 1))) % indexes.length;
      const workOf = (index: number) => (at(updatedCounts, index) + 1) * (serviceMsOf(index) ?? 1);
      return workOf(second) < workOf(first) ? second : first;
    }
    case 'idle-grants': {
      const granted = indexes.flatMap((index) =>
        Array.from({ length: at(allotted, index) }, () => index),
      );
      if (granted.length === 0) return Math.floor(random() * indexes.length);
      const index = at(granted, Math.floor(random() * granted.length));
      allotted[index] = at(allotted, index) - 1;
      return index;
    }
    case 'slot-shares': {
      const workOf = (index: number) =>
        ((runningOf(index) + 1) * (serviceMsOf(index) ?? 1)) / at(allotted, index);
      const least = Math.min(...indexes.map(workOf));
      const best = indexes.filter((index) => workOf(index) <= least);
      return at(best, Math.floor(random() * best.length));
    }
    case 'least-delay': {
      const candidates = indexes.map((index) => ({
        index,
        slots: SLOTS,
        running: runningOf(index),
        others: at(loads, index).others,
        serviceMs: serviceMsOf(index),
        extraMs: 0,
      }));
      return chooseLeastDelay(candidates, nowMs, random())?.index ?? 0;
    }
  }
}

function busiestRatio(counts: readonly number[], speeds: readonly number[]): number {
  const total = sum(counts);
  const expected = speeds.map((speed) => (total * speed) / sum(speeds));
  return Math.max(...counts.map((count, index) => count / at(expected, index)));
}

function exponential(random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function at<Value>(values: readonly Value[], index: number): Value {
  const value = values[index];
  if (value === undefined) throw new Error(`no element ${index}`);
  return value;
}
