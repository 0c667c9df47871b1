import { toCustomerName, toGroupName } from '@bramleykeel/core';
import type { LinkPeer } from '@bramleykeel/link';
import { expect, it } from 'vitest';
import { handleEvent, type StatementApp } from './app.js';
import { decodeOutcome, type EncodedOutcome, encodeStatement } from './types/link-codec.js';

const group = toGroupName('ledger');

function createApp(): StatementApp {
  const registry = { owners: new Map() };
  const app = { registry, channels: new Map(), channelCount: 0, noOwnerRetryMs: 1 };
  return app as unknown as StatementApp;
}

/** A link that cannot send the first `unsentCount` events. */
function createPeer(unsentCount: number) {
  const sent: EncodedOutcome[] = [];
  let count = 0;
  const peer = {
    notify: (_method: string, params: unknown) => {
      count += 1;
      if (count <= unsentCount) return false;
      sent.push(params as EncodedOutcome);
      return true;
    },
  };
  return { peer: peer as unknown as LinkPeer, sent };
}

const statement = encodeStatement(group, 1, {
  ...{ number: 7, tag: 't', access: 'read', body: { kind: 'plain', text: 'READ x' } },
  ...{ transaction: null, customer: toCustomerName('one'), priority: 1, consistency: 'newest' },
  ...{ maxReadAgeMs: 0, mark: null, values: {}, homes: null, budgetMs: 100, startWithinMs: 50 },
});

it('sends each statement one outcome over the link that it came from', () => {
  const app = createApp();
  const { peer, sent } = createPeer(0);
  handleEvent(app, peer, 'statement/run', statement);
  expect(sent.map(decodeOutcome)).toMatchObject([{ number: 7, outcome: { kind: 'not-run' } }]);
});

// Guards against a statement without an outcome, whose caller waits until its timeout.
it('sends an unknown outcome in place of one that is too long for the link', () => {
  const app = createApp();
  const { peer, sent } = createPeer(1);
  handleEvent(app, peer, 'statement/run', statement);
  expect(sent.map(decodeOutcome)).toMatchObject([{ number: 7, outcome: { kind: 'unknown' } }]);
});
