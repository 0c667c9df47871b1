/** Guards against answers that are lost or mixed up when a caller sends its next request before the answer to the previous one. */
import { connect } from 'node:net';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { CUSTOMER, GROUP, startTestCluster, type TestCluster, waitFor } from './test-cluster.js';

const REQUESTS = 20;
/** ReadyForQuery outside a transaction. */
const READY = Buffer.from([0x5a, 0, 0, 0, 5, 0x49]);

let testCluster: TestCluster;

beforeAll(async () => {
  testCluster = await startTestCluster({ controlCount: 1, entryCount: 1, serversPerGroup: 1 });
});

afterAll(() => testCluster.remove());

function message(type: string, text: string): Buffer {
  const payload = Buffer.from(`${text}\0`);
  const header = Buffer.alloc(type.length + 4);
  header.write(type, 'latin1');
  header.writeInt32BE(payload.length + 4, type.length);
  return Buffer.concat([header, payload]);
}

/** Type and payload of each whole message after the login. */
function readMessages(received: Buffer): { readonly type: string; readonly payload: Buffer }[] {
  const messages: { type: string; payload: Buffer }[] = [];
  for (let at = 0; at + 5 <= received.length;) {
    const end = at + 1 + received.readInt32BE(at + 1);
    const type = received.toString('latin1', at, at + 1);
    messages.push({ type, payload: received.subarray(at + 5, end) });
    at = end;
  }
  return messages;
}

/** The only column of a DataRow. */
function readColumn(payload: Buffer): string {
  return payload.toString('latin1', 6, 6 + payload.readInt32BE(2));
}

function countReady(received: Buffer): number {
  let count = 0;
  for (let at = received.indexOf(READY); at >= 0; at = received.indexOf(READY, at + 1)) count += 1;
  return count;
}

it('answers each of many requests that arrive at once', async () => {
  const { plan } = testCluster.cluster;
  const socket = connect(plan.entries[0]?.callerPort ?? 0, '127.0.0.1');
  let received = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
  });
  const startup = message('', `\0\u0003\0\0user\0${CUSTOMER}\0database\0${GROUP}\0`);
  socket.write(Buffer.concat([startup, message('p', plan.keys.get(CUSTOMER) ?? '')]));
  await waitFor('the end of the login', () => countReady(received) === 1, 10_000);
  const loginBytes = received.length;
  const numbers = Array.from({ length: REQUESTS }, (_, index) => `${index + 1}`);
  socket.write(Buffer.concat(numbers.map((number) => message('Q', `SELECT ${number}`))));
  await waitFor('all answers', () => countReady(received) === REQUESTS + 1, 10_000);
  socket.destroy();
  const answers = readMessages(received.subarray(loginBytes));
  expect(answers.map(({ type }) => type).join('')).toBe('TDCZ'.repeat(REQUESTS));
  const rows = answers.filter(({ type }) => type === 'D');
  expect(rows.map(({ payload }) => readColumn(payload))).toEqual(numbers);
});
