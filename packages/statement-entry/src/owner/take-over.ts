/** Finds the primary when an owner starts, and starts serving from the position that it reports. */
import { setTimeout as delay } from 'node:timers/promises';
import type { ServerName } from '@bramleykeel/core';
import { answeredStatuses, sendControlOrder, type ServerStatus } from '../target/server-control.js';
import { isLost } from './is-lost.js';
import { isActiveOwner, type StatementOwner } from './owner-state.js';
import { orderPromotion } from './order-promotion.js';
import { changePrimary } from './change-primary.js';
import { newestPrimary, setPrimary } from './set-primary.js';

/** Time after the start of an owner before a group without a primary gets a new one, in milliseconds. */
const MISSING_PRIMARY_WAIT_MS = 3_000;

/** Time in which the platform carries out a promotion that it has accepted, in milliseconds. */
const PROMOTION_EFFECT_MS = 1_000;

const ownersTakingOver = new WeakSet<StatementOwner>();

/** Starts serving from the position that the primary reports, which covers all acknowledged writes. */
export async function takeOver(owner: StatementOwner): Promise<void> {
  if (ownersTakingOver.has(owner) || owner.servers.size === 0) return;
  ownersTakingOver.add(owner);
  try {
    const pending = new Map(
      [...owner.servers].map(([name, server]) => {
        return [name, sendControlOrder(owner, server, { kind: 'status' })] as const;
      }),
    );
    const recorded = await recordedPrimary(owner, pending);
    const primary = recorded ?? newestPrimary(await answeredStatuses(pending.values()));
    if (!isActiveOwner(owner) || owner.leadership.kind !== 'unknown') return;
    if (primary) await adoptPrimary(owner, primary);
    else if (isPrimaryMissing(owner))
      await changePrimary(owner, 'no server reports the primary role', false);
  } finally {
    ownersTakingOver.delete(owner);
  }
}

/**
 * The status of the primary in control's record, without waiting for the other servers. If it has the role, no
 * other server can have it: every promotion is recorded before it is ordered, and none is unresolved.
 */
async function recordedPrimary(
  owner: StatementOwner,
  pending: ReadonlyMap<ServerName, Promise<ServerStatus | undefined>>,
): Promise<ServerStatus | undefined> {
  const { primary, term, proposedTerm } = owner.environment.groupRecord();
  if (primary === undefined || proposedTerm !== term) return undefined;
  const status = await pending.get(primary);
  return status?.status.role === 'primary' ? status : undefined;
}

function isPrimaryMissing(owner: StatementOwner): boolean {
  if (owner.servers.size < 2) return false;
  const waitedMs = performance.now() - owner.startedAtMs;
  // Without a record of the group's servers, some may not have announced themselves yet.
  const isMembershipKnown = owner.environment.groupRecord().places !== undefined;
  if (!isMembershipKnown && waitedMs < MISSING_PRIMARY_WAIT_MS) return false;
  const announced = [...owner.servers.values()].find(
    ({ announcement }) => announcement.role === 'primary',
  );
  if (announced?.failingSinceMs !== undefined) return isLost(announced);
  return waitedMs >= MISSING_PRIMARY_WAIT_MS;
}

/**
 * A promotion ordered by an earlier owner may be carried out late. Confirming the current primary under a
 * higher token invalidates all such orders.
 */
async function adoptPrimary(owner: StatementOwner, primary: ServerStatus): Promise<void> {
  const { environment } = owner;
  const record = environment.groupRecord();
  const name = primary.server.announcement.server;
  const isUnresolved = record.proposedTerm > record.term;
  if (isUnresolved || (record.primary !== undefined && record.primary !== name)) {
    const isConfirmed = await orderPromotion(owner, name);
    if (!isConfirmed) return;
    // An earlier owner's order may have been accepted and not be in effect yet.
    await delay(PROMOTION_EFFECT_MS);
    if (!isActiveOwner(owner)) return;
    const confirmed = await sendControlOrder(owner, primary.server, { kind: 'status' });
    if (confirmed?.status.role !== 'primary' || !isActiveOwner(owner)) return;
    setPrimary(owner, confirmed, 'confirmed by a promotion order');
    return;
  }
  setPrimary(owner, primary, 'reported by the server');
  if (record.primary !== undefined) return;
  const { group, epoch: ownerEpoch } = owner;
  await environment.propose({ kind: 'primary/commit', group, ownerEpoch, term: 1, server: name });
}
