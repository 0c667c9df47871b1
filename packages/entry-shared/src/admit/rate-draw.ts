/** Requests for rate tokens (draws) that entries send to a customer's home, and the home's answers. */
import {
  assignmentOf,
  type CustomerName,
  type RateLimit,
  type Resource,
  type ReturnedTokens,
  type TokenRequest,
  type TokenGrant,
} from '@bramleykeel/core';
import type { ControlClient } from '../control/control-client-types.js';
import type { LinkPeer } from '@bramleykeel/link';
import { answerDraw, type RateHomes } from './rate-home.js';

export interface RateDrawContext {
  readonly homes: RateHomes;
  readonly control: ControlClient;
  /** Returns the open link to another entry, or `undefined` while there is none. */
  readonly linkTo: (linkAddress: string) => LinkPeer | undefined;
  /** Returns the customer's limit in the settings known here; `undefined` for an unknown customer. */
  readonly limitOf: (customer: CustomerName) => RateLimit | undefined;
  readonly requestResource: (resource: Resource, zone: string | undefined) => void;
}

const DRAW_TIMEOUT_MS = 300;

/** Answers a draw; resolves to `undefined` if this entry is not the customer's home. */
export function answerDrawLocally(
  context: RateDrawContext,
  draw: TokenRequest,
): Promise<TokenGrant | undefined> {
  const setting = context.limitOf(draw.customer);
  const resource: Resource = `customer/${draw.customer}`;
  const epoch = context.control.heldEpoch(resource);
  if (epoch === undefined) return Promise.resolve(undefined);
  const formerHomeEndedForMs = context.control.formerHolderEndedForMs(resource);
  return answerDraw(context.homes, draw, setting, { epoch, formerHomeEndedForMs });
}

/** Draws tokens from the customer's home; resolves to `undefined` if the home cannot be reached. */
export async function drawFromHome(
  context: RateDrawContext,
  draw: Omit<TokenRequest, 'epoch'>,
): Promise<TokenGrant | undefined> {
  const resource: Resource = `customer/${draw.customer}`;
  const assignment = assignmentOf(context.control, resource);
  if (!assignment) {
    context.requestResource(resource, undefined);
    return undefined;
  }
  const { epoch } = assignment;
  const returned = draw.returned.filter((each) => each.epoch === epoch);
  const request: TokenRequest = { ...draw, epoch, returned };
  if (assignment.incarnation === context.control.incarnation())
    return answerDrawLocally(context, request);
  const peer = context.linkTo(assignment.linkAddress);
  if (!peer) return undefined;
  const answer = await peer.request('rate/draw', encodeDraw(request), DRAW_TIMEOUT_MS);
  return decodeGrant(epoch, answer.orDefault(null) as EncodedGrant | null);
}

/** Wire form of a draw. Draws are the most frequent messages between entries, so they are sent as short arrays. */
export type EncodedDraw = readonly [
  customer: string,
  epoch: number,
  wanted: number,
  /**
   * Number and count of each returned draw, one after the other. Homes of earlier versions ignore it; entries of
   * earlier versions send a count without the draw, which cannot be credited exactly and is ignored.
   */
  returned: readonly number[] | number,
];

/** Wire form of a grant; homes of earlier versions leave out the number of the draw. */
export type EncodedGrant = readonly [
  granted: number,
  lifetimeMs: number,
  retryAfterMs: number,
  drawNumber?: number,
];

/** Answers a draw received over a link; resolves to `null` if this entry is not the customer's home. */
export async function answerEncodedDraw(
  context: RateDrawContext,
  [customer, epoch, wanted, returned]: EncodedDraw,
): Promise<EncodedGrant | null> {
  const draw = {
    customer: customer as CustomerName,
    epoch,
    wanted,
    returned: decodeReturned(epoch, returned),
  };
  const grant = await answerDrawLocally(context, draw);
  if (!grant) return null;
  const { granted, lifetimeMs, retryAfterMs, drawNumber } = grant;
  return [granted, Math.floor(lifetimeMs), Math.ceil(retryAfterMs), drawNumber];
}

function encodeDraw({ customer, epoch, wanted, returned }: TokenRequest): EncodedDraw {
  return [customer, epoch, wanted, returned.flatMap((each) => [each.drawNumber, each.count])];
}

function decodeReturned(epoch: number, encoded: EncodedDraw[3]): ReturnedTokens[] {
  if (typeof encoded === 'number') return [];
  const returned: ReturnedTokens[] = [];
  for (let index = 0; index + 1 < encoded.length; index += 2) {
    returned.push({ epoch, drawNumber: encoded[index] ?? 0, count: encoded[index + 1] ?? 0 });
  }
  return returned;
}

function decodeGrant(epoch: number, encoded: EncodedGrant | null): TokenGrant | undefined {
  if (!encoded) return undefined;
  const [granted, lifetimeMs, retryAfterMs, drawNumber = 0] = encoded;
  return { granted, epoch, drawNumber, lifetimeMs, retryAfterMs };
}
