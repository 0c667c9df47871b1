/** Copies the part of an owner's state that decisions change, so that they can be made for an explanation. */
import { copyServerHealth } from '@bramleykeel/core';
import type { Counters } from '@bramleykeel/link';
import type { ServerState, StatementOwner } from './owner-state.js';

/** Counters of decisions that are made for an explanation only. */
export const SILENT_COUNTERS: Counters = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  totals: () => ({}),
  close: () => undefined,
};

/**
 * A copy for admission and choice. Neither changes the original, logs or counts; nothing may be started on it, since
 * queues and connections are shared.
 */
export function snapshotOwner(owner: StatementOwner): StatementOwner {
  return {
    ...owner,
    environment: { ...owner.environment, log: () => undefined, counters: SILENT_COUNTERS },
    servers: new Map([...owner.servers].map(([name, server]) => [name, snapshotServer(server)])),
    arrivalRates: structuredClone(owner.arrivalRates),
  };
}

/** As {@link snapshotOwner}, for one server. */
export function snapshotServer(server: ServerState): ServerState {
  return {
    ...server,
    coldStartsMs: [...server.coldStartsMs],
    health: copyServerHealth(server.health),
  };
}
