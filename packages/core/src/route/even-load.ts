/** Distributes reads over the servers that may run them, by the least expected delay. */
import { MAX_OTHERS_AGE_MS, type OtherStatements } from './server-load.js';

/** A server that may run a read, with what the choosing process knows of its load. */
export interface LoadCandidate {
  /** Statements that the server runs at the same time, including those in transit to a distant one. */
  readonly slots: number;
  /** Statements of the choosing process on the server. */
  readonly running: number;
  readonly others: OtherStatements | undefined;
  /** Measured service time; `undefined` before the first answer. */
  readonly serviceMs: number | undefined;
  /** Delay that the choice of this server causes besides its load, such as for a new connection. */
  readonly extraMs: number;
}

export interface ExpectedDelay<Candidate extends LoadCandidate> {
  readonly candidate: Candidate;
  /** Estimated number of statements of other processes on the server. */
  readonly othersRunning: number;
  /** Work of the server per slot, including the read, if it ran all its statements in turn. */
  readonly workMs: number;
  /** Expected time until a statement sent now is started. */
  readonly waitMs: number;
  /** Expected time until it is answered. */
  readonly delayMs: number;
  /** Probability of being chosen. */
  readonly share: number;
}

/** Time to open a connection to a server, which occupies one of its slots meanwhile. In milliseconds. */
export const NEW_CONNECTION_MS = 12;
/** Service time of all candidates before any answer, in milliseconds; only its equality matters. */
const UNMEASURED_SERVICE_MS = 15;
/** Lower bound of a measured service time, which can be zero when the round trip is subtracted. In milliseconds. */
const MIN_SERVICE_MS = 0.5;
/** Servers whose statements would start within this time of each other are near ties, in milliseconds. */
const NEAR_TIE_MS = 5;
/** Weight of a server without a free slot, in slots, so that near ties with waiting are distributed as well. */
const FULL_SERVER_WEIGHT = 0.5;

/**
 * Estimates the delay of a read at each candidate. Candidates that would start it at nearly the same time share
 * the reads in proportion to the statements that their free slots run in a unit of time; choosers with the same
 * stale information therefore don't all send to the same server. What a candidate costs besides its load is
 * set against the work that it saves; otherwise a server without connections would stay without them while the
 * others still have free slots.
 *
 * @example
 * expectedDelays([{ slots: 4, running: 1, others: undefined, serviceMs: 18, extraMs: 0 }], nowMs);
 */
export function expectedDelays<Candidate extends LoadCandidate>(
  candidates: readonly Candidate[],
  nowMs: number,
): readonly ExpectedDelay<Candidate>[] {
  const typicalMs = meanServiceMs(candidates);
  const works = candidates.map((candidate) => workOf(candidate, typicalMs, nowMs));
  const leastWorkMs = Math.min(
    ...works.filter((_, index) => candidates[index]?.extraMs === 0).map(({ workMs }) => workMs),
  );
  const estimates = works.map(({ candidate, serviceMs, othersRunning, workMs }) => {
    const free = candidate.slots - candidate.running - othersRunning;
    const slotMs = serviceMs / Math.max(1, candidate.slots);
    const savedMs = Number.isFinite(leastWorkMs) ? Math.max(0, leastWorkMs - workMs) : 0;
    const waitMs = Math.max(0, 1 - free) * slotMs + Math.max(0, candidate.extraMs - savedMs);
    const weight = Math.max(FULL_SERVER_WEIGHT, free) / serviceMs;
    return { candidate, othersRunning, workMs, waitMs, delayMs: waitMs + serviceMs, weight };
  });
  const leastMs = Math.min(...estimates.map(({ waitMs }) => waitMs));
  const isNearTie = ({ waitMs }: { readonly waitMs: number }) => waitMs <= leastMs + NEAR_TIE_MS;
  const totalWeight = estimates.filter(isNearTie).reduce((total, { weight }) => total + weight, 0);
  return estimates.map(({ weight, ...estimate }) => {
    return { ...estimate, share: isNearTie(estimate) ? weight / totalWeight : 0 };
  });
}

/**
 * Chooses a candidate at random, with the probabilities of `expectedDelays`.
 *
 * @param randomUnit a random number in [0, 1)
 * @returns `undefined` if there are no candidates
 * @example
 * chooseLeastDelay(candidates, performance.now(), Math.random());
 */
export function chooseLeastDelay<Candidate extends LoadCandidate>(
  candidates: readonly Candidate[],
  nowMs: number,
  randomUnit: number,
): Candidate | undefined {
  let remaining = randomUnit;
  let last: Candidate | undefined;
  for (const { candidate, share } of expectedDelays(candidates, nowMs)) {
    if (share <= 0) continue;
    last = candidate;
    remaining -= share;
    if (remaining < 0) return candidate;
  }
  return last;
}

function workOf<Candidate extends LoadCandidate>(
  candidate: Candidate,
  typicalMs: number,
  nowMs: number,
) {
  const serviceMs = Math.max(MIN_SERVICE_MS, candidate.serviceMs ?? typicalMs);
  const othersRunning = estimateOthers(candidate.others, serviceMs, nowMs);
  const occupied = candidate.running + othersRunning + 1;
  const workMs = (occupied * serviceMs) / Math.max(1, candidate.slots);
  return { candidate, serviceMs, othersRunning, workMs };
}

/**
 * Estimates how many statements of others run now. Those that ran at the last message have ended after a few
 * service times; from then on their mean number is more likely.
 */
function estimateOthers(
  others: OtherStatements | undefined,
  serviceMs: number,
  nowMs: number,
): number {
  if (!others) return 0;
  const ageMs = nowMs - others.atMs;
  if (ageMs > MAX_OTHERS_AGE_MS) return 0;
  const remaining = Math.exp(-ageMs / Math.max(1, serviceMs));
  return others.meanRunning + (others.running - others.meanRunning) * remaining;
}

function meanServiceMs(candidates: readonly LoadCandidate[]): number {
  const measured = candidates
    .map(({ serviceMs }) => serviceMs)
    .filter((serviceMs) => serviceMs !== undefined);
  if (measured.length === 0) return UNMEASURED_SERVICE_MS;
  return measured.reduce((total, serviceMs) => total + serviceMs, 0) / measured.length;
}
