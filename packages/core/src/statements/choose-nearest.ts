/** Chooses the server of a group that runs a statement by nearness alone, without measured load. */
import type { ServerName } from '../types/ids.js';
import { targetExclusion, type TargetRequirements, type TargetView } from './choose-target.js';

/**
 * How reads are distributed over the servers that may run them.
 *
 * - `nearest`: the primary while it has a free slot to spare, then by connection, region and free slots.
 * - `even`: by measured load, and servers that answer badly are set aside.
 */
export type ReadDistribution = 'nearest' | 'even';

/**
 * Chooses a server with a free slot. Reads go to the primary while it has more than one free slot, so that the last
 * one stays available to writes, and otherwise to a replica that has, or probably has, the required position.
 * Replicas to which the customer has a connection are preferred, then those in the same region. A read takes the
 * primary's last slot if it has a connection there alone.
 *
 * @returns `undefined` if the statement has to wait
 * @example
 * chooseNearestTarget(views, requirements, performance.now());
 */
export function chooseNearestTarget(
  servers: readonly TargetView[],
  requirements: TargetRequirements,
  nowMs: number,
): ServerName | undefined {
  const primary = servers.find(
    ({ isPrimary, isUsable, freeSlots }) => isPrimary && isUsable && freeSlots > 0,
  );
  if (requirements.mustBePrimary) return primary?.server;
  if (primary && primary.freeSlots > 1) return primary.server;
  const isConnected = ({ connectedCustomers }: TargetView) =>
    connectedCustomers.has(requirements.customer);
  const [best] = servers
    .filter(
      (server) => !server.isPrimary && targetExclusion(server, requirements, nowMs) === undefined,
    )
    .sort(
      (left, right) =>
        Number(isConnected(right)) - Number(isConnected(left)) ||
        Number(right.isInSameRegion) - Number(left.isInSameRegion) ||
        right.freeSlots - left.freeSlots,
    );
  if (primary && best && isConnected(primary) && !isConnected(best)) return primary.server;
  return best?.server ?? primary?.server;
}
