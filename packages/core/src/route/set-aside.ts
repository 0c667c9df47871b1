/**
 * Outlier detection: a server that fails, hangs or becomes slow loses reads, and gets them back in steps. Each
 * choosing process decides from its own evidence, because a fault may show on one path only.
 */
import type { ServerName } from '../types/ids.js';
import {
  type HealthInputs,
  healthInputsOf,
  type HealthStage,
  type ServerHealth,
} from './server-health.js';

/** A server of a group, as one process knows it. */
export interface JudgedServer {
  readonly server: ServerName;
  readonly health: ServerHealth;
  /** Smoothed service time now; `undefined` before the first answer. */
  readonly serviceMs: number | undefined;
}

/** A decision, with its inputs. */
export interface HealthDecision {
  readonly server: ServerName;
  readonly from: HealthStage;
  readonly to: HealthStage;
  readonly inputs: HealthInputs;
  /** Failure ratio that is usual among the other servers, in the same time. */
  readonly peersRatio: number;
  /** How long the server stays set aside, if it was. */
  readonly holdMs: number;
}

interface Judgement extends JudgedServer {
  readonly inputs: HealthInputs;
  readonly peersRatio: number;
  /** Failure ratio above that of the others. */
  readonly excess: number;
}

/** Fraction of its reads that a server gets as probes. */
const PROBE_SHARE = 0.05;
const EVALUATION_INTERVAL_MS = 50;
/** A service time is slow above this multiple of the server's usual time and of its peers' present time. */
const SLOW_FACTOR = 5;
/** Service times below this are never slow, in milliseconds: pauses of processes reach some tens of them. */
const MIN_SLOW_MS = 50;
/** A server is set aside if its failure ratio exceeds that of its peers by this much. */
const SET_ASIDE_EXCESS = 0.5;
/** Smaller excesses are taken for chance. */
const IGNORED_EXCESS = 0.1;
/** Answers and failures that a decision needs at least. */
const MIN_EVIDENCE = 4;
/** The same if the server has served nothing in the window. */
const MIN_EVIDENCE_UNSERVED = 3;
/** Unanswered statements that a decision needs at least, and the age at which one is enough, in milliseconds. */
const MIN_HUNG = 2;
const LONG_HUNG_MS = 1_000;
const FIRST_HOLD_MS = 500;
const MAX_HOLD_MS = 8_000;
const PROBES_FOR_RETURN = 3;
const RETURN_STEPS: readonly number[] = [0.25, 0.5];
const RETURN_STEP_MS = 1_000;

/**
 * Evaluates the servers of a group, at most every 50 ms, and updates their stages and shares. Never more than half
 * of the servers are out of service at a time.
 *
 * @returns the decisions that changed a stage
 * @example
 * for (const decision of updateStages(servers, performance.now())) log('server set aside', decision);
 */
export function updateStages(
  servers: readonly JudgedServer[],
  nowMs: number,
): readonly HealthDecision[] {
  if (servers.every(({ health }) => nowMs - health.evaluatedMs < EVALUATION_INTERVAL_MS)) return [];
  for (const judged of servers) {
    judged.health.evaluatedMs = nowMs;
    judged.health.slowLimitMs = slowLimitOf(judged, servers);
  }
  const judgements = judgeAll(servers, nowMs);
  const worstFirst = [...judgements].sort((left, right) => right.excess - left.excess);
  const maxOut = Math.floor(servers.length / 2);
  const decisions: HealthDecision[] = [];
  for (const judgement of worstFirst) {
    const others = servers.filter(({ health }) => health !== judgement.health);
    const maySetAside = others.filter(isOut).length < maxOut;
    const from = judgement.health.stage;
    const to = nextStage(judgement, maySetAside, nowMs);
    if (to !== from) decisions.push(enterStage(judgement, to, nowMs));
    judgement.health.share = shareOf(judgement, nowMs);
  }
  return decisions;
}

function isOut({ health: { stage } }: JudgedServer): boolean {
  return stage === 'set-aside' || stage === 'probing';
}

function judgeAll(servers: readonly JudgedServer[], nowMs: number): readonly Judgement[] {
  const judged = servers.map((server) => {
    return { ...server, inputs: healthInputsOf(server.health, nowMs) };
  });
  return judged.map((server) => {
    const peers = judged.filter((peer) => peer !== server && !isOut(peer));
    const peersRatio = median(peers.map(({ inputs }) => inputs.failureRatio)) ?? 0;
    return { ...server, peersRatio, excess: server.inputs.failureRatio - peersRatio };
  });
}

/** With all servers slow at once, as under overload, none is an outlier. */
function slowLimitOf(
  { server, health: { baselineMs } }: JudgedServer,
  servers: readonly JudgedServer[],
): number | undefined {
  if (baselineMs === undefined) return undefined;
  const peersMs = servers
    .filter((peer) => peer.server !== server)
    .map(({ serviceMs }) => serviceMs)
    .filter((serviceMs) => serviceMs !== undefined);
  return Math.max(MIN_SLOW_MS, SLOW_FACTOR * Math.max(baselineMs, median(peersMs) ?? 0));
}

function nextStage(
  { health, inputs, excess }: Judgement,
  maySetAside: boolean,
  nowMs: number,
): HealthStage {
  const inStageMs = nowMs - health.stageSinceMs;
  const hasFailed = health.failedInStage + inputs.hung > 0;
  const isOutlier = maySetAside && hasEnoughEvidence(inputs) && excess >= SET_ASIDE_EXCESS;
  switch (health.stage) {
    case 'in-service':
      return isOutlier ? 'set-aside' : 'in-service';
    case 'set-aside':
      return inStageMs >= health.holdMs ? 'probing' : 'set-aside';
    case 'probing':
      if (hasFailed) return 'set-aside';
      return health.servedInStage >= PROBES_FOR_RETURN ? 'returning' : 'probing';
    case 'returning':
      if (isOutlier) return 'set-aside';
      return inStageMs >= RETURN_STEPS.length * RETURN_STEP_MS ? 'in-service' : 'returning';
  }
}

function hasEnoughEvidence({ served, failed, hung, oldestPendingMs }: HealthInputs): boolean {
  const total = served + failed + hung;
  if (total >= MIN_EVIDENCE) return true;
  if (served > 0) return false;
  const isHanging = hung >= MIN_HUNG || (hung > 0 && oldestPendingMs >= LONG_HUNG_MS);
  return total >= MIN_EVIDENCE_UNSERVED || isHanging;
}

function enterStage(judgement: Judgement, to: HealthStage, nowMs: number): HealthDecision {
  const { server, health, inputs, peersRatio } = judgement;
  const from = health.stage;
  if (to === 'set-aside')
    health.holdMs = Math.min(MAX_HOLD_MS, Math.max(FIRST_HOLD_MS, health.holdMs * 2));
  if (to === 'in-service') health.holdMs = 0;
  health.stage = to;
  health.stageSinceMs = nowMs;
  health.servedInStage = 0;
  health.failedInStage = 0;
  health.buckets = [];
  return { server, from, to, inputs, peersRatio, holdMs: health.holdMs };
}

function shareOf({ health, inputs, excess }: Judgement, nowMs: number): number {
  switch (health.stage) {
    case 'set-aside':
      return 0;
    case 'probing':
      return PROBE_SHARE;
    case 'returning': {
      const step = Math.floor((nowMs - health.stageSinceMs) / RETURN_STEP_MS);
      return RETURN_STEPS[step] ?? 1;
    }
    case 'in-service': {
      const isReduced = hasEnoughEvidence(inputs) && excess > IGNORED_EXCESS;
      return isReduced ? Math.max(PROBE_SHARE, 1 - excess) : 1;
    }
  }
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
