/** Sets servers aside that answer reads of this process badly, and reports the decisions. */
import { type GroupName, type HealthDecision, updateStages } from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import type { ServerState } from '../owner/owner-state.js';

export interface JudgeContext {
  readonly group: GroupName;
  /** Which part of the entry decides; each has evidence of its own. */
  readonly path: 'owner' | 'reader';
  readonly counters: Counters;
  readonly log: Log;
}

const MESSAGES = {
  'set-aside': 'server set aside',
  probing: 'probing a server that was set aside',
  'in-service': 'server returned after being set aside',
} as const;

/**
 * Evaluates the health of a group's servers. Cheap enough to be called with each choice.
 *
 * @example
 * judgeServers(owner.servers.values(), { group, path: 'owner', counters, log });
 */
export function judgeServers(servers: Iterable<ServerState>, context: JudgeContext): void {
  const judged = [...servers].map(({ announcement, health, load }) => {
    const serviceMs = load.service.get('read')?.meanMs;
    return { server: announcement.server, health, serviceMs };
  });
  for (const decision of updateStages(judged, performance.now())) report(decision, context);
}

function report(
  { server, to, inputs, peersRatio, holdMs }: HealthDecision,
  { group, path, counters, log }: JudgeContext,
): void {
  counters.count(`target.${to === 'in-service' ? 'returned' : to}`);
  if (to === 'returning') return;
  log(MESSAGES[to], {
    group,
    server,
    path,
    served: inputs.served,
    failures: JSON.stringify(inputs.failures),
    unanswered: inputs.hung,
    oldestUnansweredMs: Math.round(inputs.oldestPendingMs),
    failureRatio: Number(inputs.failureRatio.toFixed(2)),
    peersRatio: Number(peersRatio.toFixed(2)),
    evidenceAgeMs: Math.round(inputs.ageMs),
    holdMs,
  });
}
