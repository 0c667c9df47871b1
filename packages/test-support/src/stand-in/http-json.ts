/** Small JSON requests over HTTP with kept-alive connections. */
import { Agent, request } from 'node:http';

const agent = new Agent({ keepAlive: true, maxSockets: 16 });

/** Sends a request; `undefined` when it failed, timed out or was refused. */
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
    const outgoing = request(
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
      (incoming) => {
        const chunks: Buffer[] = [];
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', fail);
        incoming.on('end', () => {
          const isOk = (incoming.statusCode ?? 500) < 300;
          resolve(isOk ? parseJson(Buffer.concat(chunks).toString('utf8')) : undefined);
        });
      },
    );
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    outgoing.on('error', fail);
    outgoing.end(text);
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text === '' ? 'null' : text) as unknown;
  } catch {
    return undefined;
  }
}
