/** Asks control to assign resources to entries, not more often than leases are renewed. */
import { assignmentOf, type Resource, type StatementSettings } from '@bramleykeel/core';
import type { ControlClient } from '@bramleykeel/entry-shared';

export interface ResourceRequests {
  /** @param zone the zone in which the holder should be; `undefined` for any */
  readonly request: (resource: Resource, zone: string | undefined) => void;
  /**
   * Requests a rate home for a random customer without one. Homes are thus assigned before first use, a few at a
   * time, by whichever entry requests them first.
   */
  readonly requestRateHome: (settings: StatementSettings | undefined) => void;
}

/** Probability that an entry requests a rate home in a renewal interval, so that not all entries do at once. */
const HOME_REQUEST_PROBABILITY = 0.25;

export function createResourceRequests(
  control: () => ControlClient,
  minIntervalMs: number,
): ResourceRequests {
  const requestedAtMs = new Map<Resource, number>();
  return { request, requestRateHome };

  function requestRateHome(settings: StatementSettings | undefined): void {
    if (!settings || Math.random() > HOME_REQUEST_PROBABILITY) return;
    const resources = [...settings.customers.keys()].map((name): Resource => `customer/${name}`);
    const unassigned = resources.filter((resource) => !assignmentOf(control(), resource));
    const next = unassigned[Math.floor(Math.random() * unassigned.length)];
    if (next !== undefined) request(next, undefined);
  }

  function request(resource: Resource, zone: string | undefined): void {
    const nowMs = performance.now();
    if (nowMs - (requestedAtMs.get(resource) ?? Number.NEGATIVE_INFINITY) < minIntervalMs) return;
    requestedAtMs.set(resource, nowMs);
    const params = zone === undefined ? { resource } : { resource, zone };
    void control().call('resource/request', params);
  }
}
