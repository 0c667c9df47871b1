/** Explains the choice of a server for a statement, with the functions that make it. */
import { match } from 'ts-pattern';
import { type ExpectedDelay, expectedDelays } from '../route/even-load.js';
import type { ServerName } from '../types/ids.js';
import { chooseNearestTarget, type ReadDistribution } from './choose-nearest.js';
import {
  candidateTargets,
  loadCandidateOf,
  type TargetExclusion,
  targetExclusion,
  type TargetRequirements,
  type TargetView,
} from './choose-target.js';

export interface TargetExplanation {
  readonly server: ServerName;
  /** Probability of being chosen now. */
  readonly share: number;
  /** `undefined` for servers with a share. */
  readonly reason: TargetExclusion | 'another-is-preferred' | 'longer-delay' | undefined;
  readonly view: TargetView;
  /** Expected delay; `undefined` for servers that are not candidates. */
  readonly delay: Omit<ExpectedDelay<ReturnType<typeof loadCandidateOf>>, 'candidate'> | undefined;
}

/** What an explanation needs to know besides the servers. */
export interface ChoiceQuestion {
  readonly readDistribution: ReadDistribution;
  readonly requirements: TargetRequirements;
  readonly nowMs: number;
  /** Probability with which each server takes a read, as far as its health is concerned; 1 if absent. */
  readonly takeShares: ReadonlyMap<ServerName, number>;
}

/** Each server whose part of its reads is chosen at random doubles the number of cases; further ones count as taking all. */
const MAX_RANDOM_SERVERS = 6;

/**
 * Gives each server's probability of being chosen now, and the reason against those without one. Less than 1 in total is
 * the probability that the statement starts at once.
 *
 * @param servers as for the choice itself; their `takesRead` is replaced
 * @example
 * explainChoice(views, { readDistribution: 'even', requirements, nowMs, takeShares: new Map() });
 */
export function explainChoice(
  servers: readonly TargetView[],
  question: ChoiceQuestion,
): readonly TargetExplanation[] {
  return match(question.readDistribution)
    .with('nearest', () => explainNearest(servers, question))
    .with('even', () => explainEven(servers, question))
    .exhaustive();
}

function explainNearest(
  servers: readonly TargetView[],
  { requirements, nowMs }: ChoiceQuestion,
): readonly TargetExplanation[] {
  const chosen = chooseNearestTarget(servers, requirements, nowMs);
  return servers.map((view) => {
    const isChosen = view.server === chosen;
    const reason = isChosen ? undefined : reasonAgainst(view, requirements, nowMs, undefined);
    return { server: view.server, share: Number(isChosen), reason, view, delay: undefined };
  });
}

/** Weighs the explanations of all cases that differ in which servers take the read. */
function explainEven(
  servers: readonly TargetView[],
  { requirements, nowMs, takeShares }: ChoiceQuestion,
): readonly TargetExplanation[] {
  const shareOf = ({ server }: TargetView) => takeShares.get(server) ?? 1;
  const totals = new Map<ServerName, number>();
  for (const { taking, weight } of casesOfTaking(servers, shareOf)) {
    const views = servers.map((view) => ({ ...view, takesRead: taking.has(view) }));
    for (const { server, share } of explainTarget(views, requirements, nowMs))
      totals.set(server, (totals.get(server) ?? 0) + weight * share);
  }
  const views = servers.map((view) => ({ ...view, takesRead: shareOf(view) > 0 }));
  return explainTarget(views, requirements, nowMs).map((explained) => {
    const share = totals.get(explained.server) ?? 0;
    return { ...explained, share, reason: share > 0 ? undefined : explained.reason };
  });
}

/**
 * The cases that differ in which servers take a read, and the probability of each.
 *
 * @param shareOf probability with which a server takes a read
 * @example
 * for (const { taking, weight } of casesOfTaking(servers, ({ health }) => health.share)) count(taking, weight);
 */
export function casesOfTaking<Server>(
  servers: readonly Server[],
  shareOf: (server: Server) => number,
): readonly { readonly taking: ReadonlySet<Server>; readonly weight: number }[] {
  const random = servers
    .filter((server) => shareOf(server) > 0 && shareOf(server) < 1)
    .slice(0, MAX_RANDOM_SERVERS);
  return Array.from({ length: 2 ** random.length }, (_, refusing) => {
    const isRefusing = (server: Server) => {
      const index = random.indexOf(server);
      return index >= 0 && (refusing & (1 << index)) !== 0;
    };
    const taking = servers.filter((server) => shareOf(server) > 0 && !isRefusing(server));
    const weight = random.reduce(
      (product, server) => product * (isRefusing(server) ? 1 - shareOf(server) : shareOf(server)),
      1,
    );
    return { taking: new Set(taking), weight };
  });
}

/**
 * Gives each server's probability of being chosen by `chooseTarget`, and the reason against those without one.
 *
 * @example
 * explainTarget(views, requirements, performance.now());
 */
export function explainTarget(
  servers: readonly TargetView[],
  requirements: TargetRequirements,
  nowMs: number,
): readonly TargetExplanation[] {
  const candidates = candidateTargets(servers, requirements, nowMs);
  const delays = expectedDelays(candidates.map(loadCandidateOf), nowMs);
  return servers.map((view) => {
    const delay = delays.find(({ candidate }) => candidate.server === view.server);
    const share = delay?.share ?? 0;
    const reason = share > 0 ? undefined : reasonAgainst(view, requirements, nowMs, delay);
    return { server: view.server, share, reason, view, delay };
  });
}

function reasonAgainst(
  view: TargetView,
  requirements: TargetRequirements,
  nowMs: number,
  delay: object | undefined,
): TargetExplanation['reason'] {
  if (delay) return 'longer-delay';
  return targetExclusion(view, requirements, nowMs) ?? 'another-is-preferred';
}
