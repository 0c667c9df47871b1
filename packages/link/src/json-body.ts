/** Reads JSON bodies of HTTP requests up to a maximum length. */
import type { IncomingMessage } from 'node:http';
import { parseBoundedJson } from '@bramleykeel/core';
import { type BodyBudget, readBoundedBody } from './body-budget.js';

/**
 * Reads a request's body within the budget of its server; resolves to `undefined` if it is longer than `maxBytes`,
 * truncated, nested too deeply, or not JSON.
 *
 * @example
 * const body = await readJsonBody(bodies, request, 16_384);
 */
export async function readJsonBody(
  bodies: BodyBudget,
  request: IncomingMessage,
  maxBytes: number,
): Promise<unknown> {
  try {
    const text = await readBoundedBody(bodies, request, maxBytes);
    return text === undefined ? undefined : parseBoundedJson(text).toMaybe().extract();
  } catch {
    return undefined;
  }
}
