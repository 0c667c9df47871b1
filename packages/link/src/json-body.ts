/** Reads JSON bodies of HTTP requests up to a maximum length. */
import type { IncomingMessage } from 'node:http';
import { parseBoundedJson } from '@bramleykeel/core';

/**
 * Reads a request's body; resolves to `undefined` if it is longer than `maxBytes`, truncated, nested too
 * deeply, or not JSON.
 *
 * @example
 * const body = await readJsonBody(request, 16_384);
 */
export async function readJsonBody(request: IncomingMessage, maxBytes: number): Promise<unknown> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  try {
    for await (const chunk of request) {
      totalBytes += (chunk as Buffer).length;
      if (totalBytes > maxBytes) return undefined;
      chunks.push(chunk as Buffer);
    }
    return parseBoundedJson(Buffer.concat(chunks).toString('utf8')).toMaybe().extract();
  } catch {
    return undefined;
  }
}
