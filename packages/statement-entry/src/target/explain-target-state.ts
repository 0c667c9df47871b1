/** Describes a server for explanations, as owners and readers know it. */
import { type CustomerName, takeShareOf } from '@bramleykeel/core';
import type { ServerState } from '../owner/owner-state.js';
import type { ExplainedStanding, ExplainedTarget } from '../types/explanation.js';

/** What owner and reader know differently about a server. */
type Differing = 'isPrimary' | 'share' | 'reason' | 'expected' | 'freeSlots' | 'standing';

export interface StandingContext {
  readonly isEvacuated: boolean;
  readonly isHome: boolean;
  readonly cold: ExplainedStanding['cold'];
}

/** @param isEven whether the health of servers decides about reads */
export function describeStanding(
  server: ServerState,
  context: StandingContext,
  isEven: boolean,
  nowMs: number,
): ExplainedStanding {
  const { health, announcement, failingSinceMs, busyUntilMs, laggingUntilMs } = server;
  const { stage, stageSinceMs } = health;
  return {
    ...context,
    isLeaving: announcement.isLeaving,
    health: {
      stage,
      share: isEven ? takeShareOf(health, server.runningCount) : 1,
      sinceAgoMs: Number.isFinite(stageSinceMs) ? Math.round(nowMs - stageSinceMs) : null,
    },
    failingForMs: failingSinceMs === undefined ? null : Math.round(nowMs - failingSinceMs),
    busyLeftMs: Math.max(0, Math.round(busyUntilMs - nowMs)),
    laggingLeftMs: Math.max(0, Math.round(laggingUntilMs - nowMs)),
  };
}

export function describeTarget(
  server: ServerState,
  customer: CustomerName,
  regionOf: (zone: string) => string,
  nowMs: number,
): Omit<ExplainedTarget<string>, Differing> {
  const { announcement, load, idle, position, runningCount } = server;
  const { zone, role, slots } = announcement;
  const { others } = load;
  const ageOf = (atMs: number) => Math.round(nowMs - atMs);
  return {
    server: announcement.server,
    zone,
    region: regionOf(zone),
    announcedRole: role,
    slots,
    runningCount,
    others: others ? { running: others.running, ageMs: ageOf(others.atMs) } : null,
    service: [...load.service].map(([access, { meanMs, spreadMs, sampleCount, atMs }]) => {
      return { access, meanMs, spreadMs, sampleCount, ageMs: ageOf(atMs) };
    }),
    failures: [...load.failures].map(([kind, { count, atMs }]) => {
      return { kind, count, ageMs: ageOf(atMs) };
    }),
    isConnected: idle.some(({ connection }) => connection.customer === customer),
    position,
    heardAgoMs: ageOf(server.lastAnnouncementMs),
    answeredAgoMs: ageOf(server.lastAnswerMs),
  };
}
