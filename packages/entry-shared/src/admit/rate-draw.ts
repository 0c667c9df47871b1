/** Draws of rate tokens between entries: sent to a customer's home, and answered by it. */
import {
  assignmentOf,
  type CustomerName,
  type RateLimit,
  type Resource,
  type TokenRequest,
  type TokenGrant,
} from '@bramleykeel/core';
import type { ControlClient } from '../control/control-client.js';
import type { LinkPeer } from '@bramleykeel/link';
import { answerDraw, type RateHomes } from './rate-home.js';

export interface RateDraws {
  readonly homes: RateHomes;
  readonly control: ControlClient;
  /** The open link to another entry, or `undefined` while there is none. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /** The customer's limit by the settings in force here; `undefined` when it is not known. */
  readonly limitOf: (customer: CustomerName) => RateLimit | undefined;
  readonly requestResource: (resource: Resource, zone: string | undefined) => void;
}

const DRAW_TIMEOUT_MS = 300;

/** Answers a draw, if this entry is the customer's home. */
export function answerDrawHere(
  draws: RateDraws,
  draw: TokenRequest,
): Promise<TokenGrant | undefined> {
  const setting = draws.limitOf(draw.customer);
  const heldEpoch = draws.control.heldEpoch(`customer/${draw.customer}`);
  return answerDraw(draws.homes, draw, setting, heldEpoch);
}

/** Draws tokens from the customer's home; `undefined` when it cannot be reached now. */
export async function drawFromHome(
  draws: RateDraws,
  draw: Omit<TokenRequest, 'epoch'>,
): Promise<TokenGrant | undefined> {
  const resource: Resource = `customer/${draw.customer}`;
  const assignment = assignmentOf(draws.control, resource);
  if (!assignment) {
    draws.requestResource(resource, undefined);
    return undefined;
  }
  const request: TokenRequest = { ...draw, epoch: assignment.epoch };
  if (assignment.incarnation === draws.control.incarnation()) return answerDrawHere(draws, request);
  const peer = draws.linkTo(assignment.linkAddress);
  if (!peer) return undefined;
  const answer = await peer.request('rate/draw', encodeDraw(request), DRAW_TIMEOUT_MS);
  return decodeGrant(answer.orDefault(null) as GrantCode | null);
}

/** Draws are the most frequent messages between entries, so they are sent as short lists. */
export type DrawCode = readonly [customer: string, epoch: number, wanted: number, returned: number];

export type GrantCode = readonly [granted: number, lifetimeMs: number, retryAfterMs: number];

/** Answers a draw that came over a link; `null` when this entry is not the home. */
export async function answerDrawCode(
  draws: RateDraws,
  [customer, epoch, wanted, returned]: DrawCode,
): Promise<GrantCode | null> {
  const draw = { customer: customer as CustomerName, epoch, wanted, returned };
  const grant = await answerDrawHere(draws, draw);
  if (!grant) return null;
  return [grant.granted, Math.floor(grant.lifetimeMs), Math.ceil(grant.retryAfterMs)];
}

function encodeDraw({ customer, epoch, wanted, returned }: TokenRequest): DrawCode {
  return [customer, epoch, wanted, returned];
}

function decodeGrant(code: GrantCode | null): TokenGrant | undefined {
  if (!code) return undefined;
  const [granted, lifetimeMs, retryAfterMs] = code;
  return { granted, lifetimeMs, retryAfterMs };
}
