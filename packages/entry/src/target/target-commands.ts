/** Sends commands and probes to targets, at the addresses that they announced. */
import { request } from 'node:http';
import {
  fenceAnswerSchema,
  type FencePromise,
  type ProbeResult,
  type ServerName,
  type TargetCommand,
} from '@bramleykeel/core';
import { probeAddress } from '@bramleykeel/link';
import { buildSslRequest } from '@bramleykeel/postgres-wire';

/**
 * Sends a command to a target, which answers with its promised term and the end of its log.
 *
 * @returns `undefined` if there was no valid answer within `timeoutMs`
 */
export async function sendCommand(
  server: ServerName,
  commandUrl: string,
  command: TargetCommand,
  timeoutMs: number,
): Promise<FencePromise | undefined> {
  const text = await postJson(`${commandUrl}/command`, command, timeoutMs);
  if (text === undefined) return undefined;
  const parsed = fenceAnswerSchema.safeParse(parseJson(text));
  if (!parsed.success) return undefined;
  return { server, ...parsed.data };
}

function postJson(url: string, body: unknown, timeoutMs: number): Promise<string | undefined> {
  return new Promise((resolve) => {
    const fail = () => {
      clearTimeout(timer);
      resolve(undefined);
    };
    const headers = { 'content-type': 'application/json', connection: 'close' };
    // The global agent keeps a connection for the next command if the server does not close it, whatever the header says.
    const outgoing = request(url, { method: 'POST', headers, agent: false }, (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', fail);
      incoming.on('end', () => {
        clearTimeout(timer);
        resolve(incoming.statusCode === 200 ? Buffer.concat(chunks).toString('utf8') : undefined);
      });
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs);
    outgoing.on('error', fail);
    outgoing.end(JSON.stringify(body));
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Probes a server with an SSL request, which any PostgreSQL server answers with one byte before
 * authentication. It takes no slot, and a hung process does not answer it.
 */
export function probeServer(address: string, timeoutMs: number): Promise<ProbeResult> {
  return probeAddress(address, timeoutMs, buildSslRequest());
}
