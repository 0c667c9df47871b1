/** Bodies of HTTP requests as JSON, with a bound on their length. */
import type { IncomingMessage } from 'node:http';

/**
 * Reads a request's body; `undefined` when it is too long, cut short, or not JSON.
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
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
