/** JSON requests over HTTP with persistent connections. */
import { Agent, request } from 'node:http';

const agent = new Agent({ keepAlive: true, maxSockets: 16 });

/**
 * Sends a request; resolves to `undefined` on failure, time-out, an HTTP status of 300 or above, or
 * invalid JSON.
 */
export function requestJson(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  body: unknown,
  timeoutMs: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<unknown> {
  return new Promise((resolve) => {
    const fail = () => {
      resolve(undefined);
    };
    const text = body === undefined ? '' : JSON.stringify(body);
    const outgoingRequest = request(
      url,
      {
        method,
        agent,
        headers: {
          ...headers,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const isSuccess = (response.statusCode ?? 500) < 300;
          resolve(isSuccess ? parseJson(Buffer.concat(chunks).toString('utf8')) : undefined);
        });
      },
    );
    outgoingRequest.setTimeout(timeoutMs, () => outgoingRequest.destroy());
    outgoingRequest.on('error', fail);
    outgoingRequest.end(text);
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text === '' ? 'null' : text) as unknown;
  } catch {
    return undefined;
  }
}
