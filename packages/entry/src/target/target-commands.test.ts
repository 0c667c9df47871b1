import { request } from 'node:http';
import { createServer, type Socket } from 'node:net';
import { toServerName } from '@bramleykeel/core';
import { afterEach, describe, expect, it } from 'vitest';
import { sendCommand } from './target-commands.js';

const SERVER = toServerName('s1');

let close: () => void = () => undefined;

afterEach(() => {
  close();
});

interface HttpServer {
  readonly url: string;
  /** Number of connections that were accepted. */
  readonly connections: () => number;
}

/** Starts an HTTP server that leaves its connections open and whose responses are written by `respond`. */
async function startHttpServer(
  respond: (term: number, socket: Socket) => void,
): Promise<HttpServer> {
  const sockets = new Set<Socket>();
  let accepted = 0;
  const server = createServer((socket) => {
    accepted += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('utf8');
      const body = /\r\n\r\n(\{.*\})$/s.exec(received)?.[1];
      if (body === undefined) return;
      received = '';
      respond((JSON.parse(body) as { term: number }).term, socket);
    });
  });
  close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  return { url: `http://127.0.0.1:${port}`, connections: () => accepted };
}

function responseTo(term: number, connection: 'close' | 'keep-alive'): string {
  const body = JSON.stringify({ promisedTerm: term, position: { term, offset: term } });
  const headers = ['content-type: application/json', `connection: ${connection}`];
  return ['HTTP/1.1 200 OK', ...headers, `content-length: ${body.length}`, '', body].join('\r\n');
}

async function fence(url: string, term: number): Promise<number | undefined> {
  const promise = await sendCommand(SERVER, url, { kind: 'fence', term }, 1_000);
  return promise?.promisedTerm;
}

/**
 * Whether the HTTP parser of this version of Node.js passes a response on that says it is the last one although more
 * follows it in the same write; some versions reject it.
 */
function isAcceptedByParser(url: string): Promise<boolean> {
  return new Promise((resolve) => {
    const options = { method: 'POST', agent: false, headers: { connection: 'close' } };
    const outgoing = request(url, options, (incoming) => {
      incoming.on('error', () => {
        resolve(false);
      });
      incoming.on('end', () => {
        resolve(true);
      });
      incoming.resume();
    });
    outgoing.on('error', () => {
      resolve(false);
    });
    outgoing.end(JSON.stringify({ term: 0 }));
  });
}

// Guards against a repeated response that is taken for the answer to another command.
describe('the response to a command', () => {
  const CASES = [
    { connection: 'close', moment: 'at once' },
    { connection: 'keep-alive', moment: 'at once' },
    { connection: 'close', moment: 'late' },
    { connection: 'keep-alive', moment: 'late' },
  ] as const;

  it.each(CASES)('is its own when responses come twice: $connection, $moment', async (each) => {
    const { url, connections } = await startHttpServer((term, socket) => {
      const response = responseTo(term, each.connection);
      if (each.moment === 'at once') socket.write(response + response);
      else {
        socket.write(response);
        setTimeout(() => socket.write(response), 5);
      }
    });
    const isRejected =
      each.connection === 'close' && each.moment === 'at once' && !(await isAcceptedByParser(url));
    const connectionsBefore = connections();
    const answerTo = (term: number) => (isRejected ? undefined : term);
    for (let term = 1; term <= 20; term += 1) expect(await fence(url, term)).toBe(answerTo(term));
    const terms = Array.from({ length: 20 }, (_, index) => index + 21);
    const answers = await Promise.all(terms.map((term) => fence(url, term)));
    expect(answers).toEqual(terms.map(answerTo));
    expect(connections() - connectionsBefore).toBe(40);
  });

  it('is not accepted from a response that precedes the command', async () => {
    const { url } = await startHttpServer((term, socket) => {
      socket.write(responseTo(term - 1, 'keep-alive') + responseTo(term, 'keep-alive'));
    });
    expect(await fence(url, 2)).toBe(1);
  });
});
