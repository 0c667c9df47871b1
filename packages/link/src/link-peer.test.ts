import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Left, Right } from 'purify-ts';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { MAX_FRAME_BYTES } from './frame-codec.js';
import { DEFAULT_LINK_TIMING, type LinkHandlers, type LinkPeer, runLink } from './link-peer.js';

const TOO_LONG = 'x'.repeat(MAX_FRAME_BYTES);
const options = { secret: 'a secret of the tests', ...DEFAULT_LINK_TIMING };
const sockets: Socket[] = [];
let server: Server;
let client: LinkPeer;
let events: string[];
let closeReasons: string[];

beforeEach(async () => {
  events = [];
  closeReasons = [];
  const handlers: LinkHandlers = {
    onRequest: async (_peer, method, params) => {
      if (method === 'late') await delay(60);
      return method === 'expand' ? TOO_LONG : params;
    },
    onNotify: (_peer, method) => events.push(method),
    onClose: (_peer, reason) => closeReasons.push(reason),
  };
  server = createServer((socket) => {
    sockets.push(socket);
    runLink(socket, 'server', options, handlers);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  sockets.push(socket);
  client = await new Promise<LinkPeer>((resolve) => {
    runLink(socket, 'client', options, { ...handlers, onOpen: resolve });
  });
});

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  server.close();
});

// Guards against LOST: one answer above the limit of a frame closed the link, with the outcomes of all others on it.
it('stays open when a message is longer than a frame may be, and tells the sender', async () => {
  const before = client.request('echo', 'before', 5_000);
  const expanded = client.request('expand', null, 5_000);
  expect(client.notify('event', TOO_LONG)).toBe(false);
  expect(await client.request('echo', TOO_LONG, 5_000)).toEqual(Left({ kind: 'not-sent' }));
  expect(await before).toEqual(Right('before'));
  expect((await expanded).swap().extract()).toMatchObject({ kind: 'remote' });
  expect(client.notify('event', 'after')).toBe(true);
  expect(await client.request('echo', 'after', 5_000)).toEqual(Right('after'));
  expect(events).toEqual(['event']);
  expect(closeReasons).toEqual([]);
});

it('gives a late reply to no later request', async () => {
  expect(await client.request('late', 'first', 20)).toEqual(Left({ kind: 'timeout' }));
  const replies = await Promise.all(
    Array.from({ length: 20 }, (_, number) =>
      client.request(number === 3 ? 'late' : 'echo', number, 5_000),
    ),
  );
  expect(replies.map((reply) => reply.extract())).toEqual(
    Array.from({ length: 20 }, (_, number) => number),
  );
});
