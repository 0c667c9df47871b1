/** Requests the promotion of a server from the platform, under a token that control has committed for it. */
import { setTimeout as delay } from 'node:timers/promises';
import { type ServerName } from '@bramleykeel/core';
import { sendControlOrder, type ServerStatus } from '../target/server-control.js';
import { isActiveOwner, type StatementOwner } from './owner-state.js';
import { nextPlacesSequence, placeOf } from './server-places.js';

/** Pause before an unanswered call is repeated, in milliseconds. */
const PROMOTE_RETRY_MS = 80;
const PROMOTED_POLL_MS = 50;
/** Time in which a promoted server has to report the primary role, in milliseconds. */
const PROMOTED_ROLE_TIMEOUT_MS = 2_500;
/** Calls to the platform under one token, including repeats of unanswered ones. */
const PROMOTE_ATTEMPTS = 4;

/**
 * Requests the promotion under a token that control has committed. A token is valid for one server only,
 * so an order that is carried out late cannot undo a newer one.
 *
 * @returns whether the platform accepted the order
 */
export async function orderPromotion(owner: StatementOwner, server: ServerName): Promise<boolean> {
  const { environment, group, epoch: ownerEpoch } = owner;
  const token = environment.groupRecord().proposedTerm + 1;
  const chosen = owner.servers.get(server);
  if (!chosen) return false;
  // The next owner has to wait for it from the moment at which it may lead.
  const successor = { place: placeOf(chosen), sequence: nextPlacesSequence() };
  const proposed = await environment.propose({
    kind: 'primary/propose',
    ...{ group, ownerEpoch, term: token, successor },
  });
  if (proposed.kind !== 'done' || !isActiveOwner(owner)) {
    environment.log(`control did not commit token ${token} for ${group}: ${proposed.kind}`);
    return false;
  }
  for (let attempt = 0; attempt < PROMOTE_ATTEMPTS && isActiveOwner(owner); attempt += 1) {
    const holder = environment.entryId;
    const outcome = await environment.promoteServer({ group, server, holder, token });
    environment.log(`promotion of ${server} under token ${token}: ${outcome}`);
    if (outcome === 'accepted') {
      void commitPrimary(owner, token, server);
      return true;
    }
    if (outcome === 'refused') return false;
    await delay(PROMOTE_RETRY_MS);
  }
  return false;
}

async function commitPrimary(
  owner: StatementOwner,
  term: number,
  server: ServerName,
): Promise<void> {
  const { group, epoch: ownerEpoch } = owner;
  const command = { kind: 'primary/commit', group, ownerEpoch, term, server } as const;
  const result = await owner.environment.propose(command);
  if (result.kind === 'done') return;
  owner.environment.log(`control did not record ${server} as primary of ${group}: ${result.kind}`);
}

export async function awaitPrimaryRole(
  owner: StatementOwner,
  name: ServerName,
): Promise<ServerStatus | undefined> {
  const untilMs = performance.now() + PROMOTED_ROLE_TIMEOUT_MS;
  while (isActiveOwner(owner) && performance.now() < untilMs) {
    const server = owner.servers.get(name);
    if (!server) return undefined;
    const answer = await sendControlOrder(owner, server, { kind: 'status' });
    if (answer?.status.role === 'primary') return answer;
    await delay(PROMOTED_POLL_MS);
  }
  return undefined;
}
