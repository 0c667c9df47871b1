/** Explains the choice of a server for a statement, with the functions that make it. */
import { type ExpectedDelay, expectedDelays } from '../route/even-load.js';
import type { ServerName } from '../types/ids.js';
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
