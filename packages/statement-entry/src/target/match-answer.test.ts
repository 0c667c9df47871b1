import { describe, expect, it } from 'vitest';
import type { TargetOrder, TargetStatus } from '../types/target-port.js';
import type { ControlOrder } from './server-control.js';
import {
  type AnswerMatch,
  createAnswerHistory,
  matchAnswer,
  type ReceivedAnswer,
  recordMatch,
} from './match-answer.js';

const read: TargetOrder = {
  ...{ kind: 'run', tag: 't', isWrite: false, after: null, text: 'READ x' },
};
const write: TargetOrder = { ...read, isWrite: true, text: 'WRITE x 1' };
const commit: TargetOrder = { kind: 'commit', tag: 't', text: 'COMMIT' };
const begin: TargetOrder = { kind: 'begin', isReadOnly: false, after: null };
const set: TargetOrder = { kind: 'set', name: 'unit', value: 'mm' };

function signed(
  signature: string,
  rows: string[] = [],
  state: 'idle' | 'open' = 'idle',
  offset = 7,
): ReceivedAnswer {
  return { rows, signature, isError: false, state, position: { term: 3, offset } };
}

const done = signed('-');
const opened = signed('-', [], 'open');
const busy: ReceivedAnswer = {
  ...{ rows: [], signature: undefined, isError: true, state: 'idle', position: null },
};

interface MatchCase {
  readonly name: string;
  readonly earlier: readonly ReceivedAnswer[];
  readonly order: TargetOrder;
  readonly answer: ReceivedAnswer;
  readonly expected: AnswerMatch;
}

const status = signed('-', ['replica 3 3.7 0 0 0 1']);
const [first, second] = [signed('s1', ['a']), signed('s2', ['b'])];

const cases: readonly MatchCase[] = [
  { name: 'a new signature', earlier: [first], order: read, answer: second, expected: 'fits' },
  { name: 'a seen signature', earlier: [first], order: read, answer: first, expected: 'repeated' },
  {
    name: 'a seen signature, one of several',
    earlier: [first, second],
    order: read,
    answer: first,
    expected: 'repeated',
  },
  {
    name: 'a seen signature after rows of another answer',
    earlier: [first],
    order: read,
    answer: signed('s1', ['b', 'a']),
    expected: 'foreign',
  },
  {
    name: 'the late answer to an order of the proxy instead of rows',
    earlier: [done],
    order: read,
    answer: done,
    expected: 'repeated',
  },
  {
    name: 'no signature for the first order of a connection',
    earlier: [],
    order: read,
    answer: done,
    expected: 'foreign',
  },
  {
    name: 'a status instead of rows',
    earlier: [status],
    order: read,
    answer: status,
    expected: 'foreign',
  },
  { name: 'an error', earlier: [first], order: read, answer: busy, expected: 'fits' },
  {
    name: 'an error outside of a transaction that was begun',
    earlier: [done, opened],
    order: read,
    answer: busy,
    expected: 'foreign',
  },
  {
    name: 'a result outside of a transaction that was begun',
    earlier: [opened],
    order: read,
    answer: first,
    expected: 'foreign',
  },
  {
    name: 'a result in a transaction',
    earlier: [opened],
    order: read,
    answer: signed('s1', ['a'], 'open'),
    expected: 'fits',
  },
  {
    name: 'a result in a transaction that nobody began',
    earlier: [],
    order: read,
    answer: signed('s1', ['a'], 'open'),
    expected: 'foreign',
  },
  {
    name: 'the end of a transaction',
    earlier: [opened],
    order: commit,
    answer: signed('s1'),
    expected: 'fits',
  },
  {
    name: 'a commit that ends nothing',
    earlier: [opened],
    order: commit,
    answer: signed('s1', [], 'open'),
    expected: 'foreign',
  },
  {
    name: 'an error instead of the end of a transaction',
    earlier: [opened],
    order: commit,
    answer: busy,
    expected: 'fits',
  },
  { name: 'a begun transaction', earlier: [done], order: begin, answer: opened, expected: 'fits' },
  {
    name: 'the late answer to another order, for a BEGIN',
    earlier: [done],
    order: begin,
    answer: done,
    expected: 'repeated',
  },
  { name: 'a value', earlier: [], order: set, answer: done, expected: 'fits' },
  {
    name: 'the late answer to a statement, for a value',
    earlier: [first],
    order: set,
    answer: first,
    expected: 'repeated',
  },
  {
    name: 'an unknown signature for a value',
    earlier: [],
    order: set,
    answer: first,
    expected: 'foreign',
  },
  {
    name: 'a status',
    earlier: [status],
    order: { kind: 'status' },
    answer: status,
    expected: 'fits',
  },
  {
    name: 'the late answer to another order, for a status',
    earlier: [done],
    order: { kind: 'status' },
    answer: done,
    expected: 'repeated',
  },
  {
    name: 'an answer that was cut off',
    earlier: [first],
    order: read,
    answer: { ...first, signature: undefined },
    expected: 'fits',
  },
];

describe('the answer to an order', () => {
  // Guards against MIXED: the statements of a transaction may have one tag, which is that of the client's attempt.
  it('is not the one to an earlier statement with the same tag', () => {
    const history = createAnswerHistory();
    recordMatch(history, read, first);
    expect(matchAnswer(history, read, first)).toBe('repeated');
  });

  // Guards against PINNED, UNASKED and STALE: a BEGIN that was refused, or not carried out yet, counted as begun.
  it.each([
    { name: 'later', offset: 8, expected: 'fits' },
    { name: 'the same', offset: 7, expected: 'unclear' },
    { name: 'earlier', offset: 6, expected: 'foreign' },
  ])(
    'begins no second transaction at a position that is not later: $name',
    ({ offset, expected }) => {
      const history = createAnswerHistory();
      expect(matchAnswer(history, begin, opened)).toBe('fits');
      recordMatch(history, begin, opened);
      recordMatch(history, { kind: 'rollback' }, done);
      expect(matchAnswer(history, begin, signed('-', [], 'open', offset))).toBe(expected);
    },
  );

  // Guards against PINNED: the copy of an answer within the first transaction counted as the begin of the second.
  it('begins no second transaction at the position of a value that was set in the first', () => {
    const history = createAnswerHistory();
    recordMatch(history, begin, opened);
    const valueSet = signed('-', [], 'open', 8);
    recordMatch(history, set, valueSet);
    recordMatch(history, { kind: 'rollback' }, signed('-', [], 'idle', 8));
    expect(matchAnswer(history, begin, valueSet)).toBe('unclear');
    expect(matchAnswer(history, begin, opened)).toBe('foreign');
  });

  // Guards against STALE: a state from before the write counted as that after it, and reads did not have to see the write.
  it.each([
    { name: 'a write', earlier: [], order: write, offset: 8, expected: 'fits' },
    { name: 'a write', earlier: [], order: write, offset: 7, expected: 'unclear' },
    { name: 'a read', earlier: [], order: read, offset: 7, expected: 'fits' },
    { name: 'COMMIT after a write', earlier: [write], order: commit, offset: 8, expected: 'fits' },
    {
      ...{ name: 'COMMIT after a write and a read', earlier: [write, read], order: commit },
      ...{ offset: 7, expected: 'unclear' },
    },
    { name: 'COMMIT after a read', earlier: [read], order: commit, offset: 7, expected: 'fits' },
  ])(
    'to $name at $offset, after 7, is taken as $expected',
    ({ earlier, order, offset, expected }) => {
      const history = createAnswerHistory({ term: 3, offset: 7 });
      if (order === commit) recordMatch(history, begin, opened);
      for (const [index, each] of earlier.entries())
        recordMatch(history, each, signed(`s${index}`, [], 'open'));
      expect(matchAnswer(history, order, signed('s9', [], 'idle', offset))).toBe(expected);
    },
  );

  // Guards against REFUSED and TWICE: the error of a SET behind a repeated answer counted as that of the write.
  it.each<{
    readonly name: string;
    readonly earlier: TargetOrder[];
    readonly expected: AnswerMatch;
  }>([
    { name: 'one setup', earlier: [set], expected: 'fits' },
    { name: 'a second setup', earlier: [set, set], expected: 'foreign' },
    { name: 'a setup after a statement', earlier: [set, write, set], expected: 'foreign' },
    { name: 'a statement after setups', earlier: [set, set, write], expected: 'fits' },
    { name: 'a BEGIN after setups', earlier: [set, set, begin], expected: 'fits' },
    { name: 'a setup after BEGIN', earlier: [begin, set], expected: 'foreign' },
  ])('that is an error, after $name, is taken as $expected', ({ earlier, expected }) => {
    const history = createAnswerHistory();
    for (const [index, order] of earlier.entries()) {
      const state = earlier.slice(0, index + 1).includes(begin) ? 'open' : 'idle';
      recordMatch(history, order, signed(order === write ? `s${index}` : '-', [], state));
    }
    const error: ReceivedAnswer = { ...busy, state: earlier.includes(begin) ? 'failed' : 'idle' };
    expect(matchAnswer(history, write, error)).toBe(expected);
    expect(matchAnswer(history, commit, error)).toBe(expected);
    expect(matchAnswer(history, write, { ...error, refusal: 'busy' })).toBe(expected);
    const isInTransaction = earlier.includes(begin);
    const lagging: ReceivedAnswer = { ...error, refusal: 'lagging' };
    expect(matchAnswer(history, read, lagging)).toBe(isInTransaction ? expected : 'fits');
  });

  // Guards against STALE and LOST: the copy of an earlier status counted as the present one.
  it.each<{ readonly name: string; readonly order: ControlOrder; readonly expected: AnswerMatch }>([
    { name: 'the same', order: { kind: 'status' }, expected: 'fits' },
    { name: 'a later position', order: { kind: 'status' }, expected: 'fits' },
    { name: 'an earlier position', order: { kind: 'status' }, expected: 'unclear' },
    { name: 'an earlier term', order: { kind: 'status' }, expected: 'unclear' },
    { name: 'a later term', order: { kind: 'status' }, expected: 'fits' },
    { name: 'an earlier held term', order: { kind: 'status' }, expected: 'unclear' },
    { name: 'an earlier held term', order: { kind: 'pause', term: 5 }, expected: 'unclear' },
    { name: 'an earlier held term', order: { kind: 'resume' }, expected: 'fits' },
    { name: 'the former role', order: { kind: 'demote', term: 4 }, expected: 'unclear' },
  ])('with $name, to $order.kind, is taken as $expected', ({ name, order, expected }) => {
    const last: TargetStatus = {
      ...{ role: 'replica', term: 3, position: { term: 3, offset: 7 } },
      ...{ heldTerm: 4, connections: 1 },
    };
    const changes: Readonly<Record<string, Partial<TargetStatus>>> = {
      'a later position': { position: { term: 3, offset: 8 } },
      'an earlier position': { position: { term: 3, offset: 6 } },
      'an earlier term': { term: 2 },
      'a later term': { term: 4, heldTerm: 0 },
      'an earlier held term': { heldTerm: 0 },
      'the former role': { role: 'primary' },
    };
    const answerWith = (reported: TargetStatus) => ({ ...status, status: reported });
    const history = createAnswerHistory();
    recordMatch(history, { kind: 'demote', term: 4 }, answerWith(last));
    expect(matchAnswer(history, order, answerWith({ ...last, ...changes[name] }))).toBe(expected);
  });

  it('begins no transaction before the required position', () => {
    const after = { term: 3, offset: 8 };
    expect(matchAnswer(createAnswerHistory(), { ...begin, after }, opened)).toBe('foreign');
  });

  it.each(cases)('$expected: $name', ({ earlier, order, answer, expected }) => {
    const history = createAnswerHistory();
    for (const [index, each] of earlier.entries())
      recordMatch(history, { ...read, tag: `earlier-${index}` }, each);
    expect(matchAnswer(history, order, answer)).toBe(expected);
  });
});
