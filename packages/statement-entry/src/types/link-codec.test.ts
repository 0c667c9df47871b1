import { Encoder } from 'cbor-x';
import fc from 'fast-check';
import {
  type StatementOutcome,
  type StatementRequest,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import { describe, expect, it } from 'vitest';
import { decodeOffer, encodeOffer, type ReaderOffer } from '../near/reader-offer.js';
import {
  decodeOutcome,
  decodeStatement,
  encodeOutcome,
  encodeStatement,
  type EncodedOutcome,
  type EncodedStatement,
} from './link-codec.js';

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const roundTrip = <Value>(value: Value): Value => encoder.decode(encoder.encode(value)) as Value;
const group = toGroupName('ledger');

const plain: StatementRequest = {
  number: 7,
  tag: 'ab12',
  access: 'read',
  body: { kind: 'plain', text: 'READ lens  with blanks ' },
  transaction: null,
  customer: toCustomerName('tuulgan'),
  priority: 1,
  consistency: 'own-writes',
  maxReadAgeMs: 2_500,
  mark: { term: 3, offset: 1_207 },
  values: {},
  homes: null,
  budgetMs: 800,
  startWithinMs: 360,
};

describe('link codec', () => {
  it.each<StatementRequest>([
    plain,
    { ...plain, mark: null, values: { unit: 'mm' } },
    { ...plain, homes: ['ub', 'erdenet'] },
    { ...plain, homes: null, objectiveMs: 400 },
    { ...plain, homes: ['ub'], database: 'bookings' },
    { ...plain, homes: null, objectiveMs: 400, database: 'bookings' },
    {
      ...plain,
      access: 'write',
      body: { kind: 'prepared', access: 'write', shape: 'q', argument: 'a b' },
    },
    { ...plain, access: 'commit', transaction: { number: 4, isReadOnly: false, isFirst: true } },
    { ...plain, transaction: { number: 4, isReadOnly: true, isFirst: false } },
  ])('decodes an encoded statement unchanged: %#', (request) => {
    const encoded = roundTrip<EncodedStatement>(encodeStatement(group, 9, request));
    expect(decodeStatement(encoded)).toEqual({ group, epoch: 9, request });
  });

  it('sends no objective without overload control, so that the message stays as it was', () => {
    expect(encodeStatement(group, 9, plain)).toHaveLength(16);
  });

  it('decodes a statement of a former version, which names no homes', () => {
    const encoded = encodeStatement(group, 9, plain).slice(0, -1) as unknown as EncodedStatement;
    expect(decodeStatement(roundTrip(encoded)).request.homes).toBeNull();
  });

  // Guards against PINNED: a value of this name reached servers under another one.
  it('keeps a value that is named __proto__', () => {
    const request = { ...plain, values: { unit: 'mm', ['__proto__']: 'a b' } };
    const encoded = roundTrip<EncodedStatement>(encodeStatement(group, 9, request));
    expect(Object.entries(decodeStatement(encoded).request.values)).toEqual([
      ['unit', 'mm'],
      ['__proto__', 'a b'],
    ]);
  });

  /** Bytes as they are held in texts, with what is likely to be changed on the way. */
  const bytesArbitrary = fc.oneof(
    fc.uint8Array({ maxLength: 80 }).map((bytes) => Buffer.from(bytes).toString('latin1')),
    fc.constantFrom(
      '',
      '__proto__',
      'constructor',
      '-',
      'null',
      '0',
      '\r',
      '\n',
      '\0',
      '\xef\xbb\xbf',
    ),
    // Lengths around those at which the encoder changes the form of a text.
    fc
      .tuple(
        fc.constantFrom(23, 24, 31, 32, 63, 64, 255, 256, 4_095, 4_096, 65_535, 65_536, 70_000),
        fc.constantFrom('a', '\x7f', '\x80', '\xff', '\r'),
        fc.constantFrom('a', '\x80', '\xff'),
      )
      .map(([length, text, last]) => text.repeat(length - 1) + last),
  );

  // Guards against MIXED and UNASKED: bytes of a statement or an answer that change on a link.
  it('passes all bytes of statements on unchanged', () => {
    const bodyArbitrary = fc.oneof(
      fc.record({ kind: fc.constant('plain' as const), text: bytesArbitrary }),
      fc.record({
        kind: fc.constant('prepared' as const),
        access: fc.constantFrom('read' as const, 'write' as const),
        shape: bytesArbitrary,
        argument: bytesArbitrary,
      }),
    );
    const valuesArbitrary = fc.array(fc.tuple(bytesArbitrary, bytesArbitrary), { maxLength: 5 });
    const property = fc.property(
      fc.record({ tag: bytesArbitrary, body: bodyArbitrary, values: valuesArbitrary }),
      fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }),
      (change, number) => {
        const request = {
          ...{ ...plain, ...change, number },
          ...{ values: Object.fromEntries(change.values) },
        };
        const encoded = roundTrip<EncodedStatement>(encodeStatement(group, 9, request));
        const decoded = decodeStatement(encoded).request;
        expect({ ...decoded, values: Object.entries(decoded.values) }).toEqual({
          ...{ ...request, values: Object.entries(request.values) },
        });
      },
    );
    fc.assert(property, { seed: 20_261_206, numRuns: 1_000 });
  });

  it('passes all bytes of answers on unchanged', () => {
    const property = fc.property(
      fc.array(bytesArbitrary, { maxLength: 20 }),
      bytesArbitrary,
      fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }),
      (rows, signature, number) => {
        const position = { term: 1, offset: number };
        const outcomes: StatementOutcome[] = [
          { kind: 'done', rows, signature, position, isFromReplica: false },
          { kind: 'failed', text: signature },
        ];
        for (const outcome of outcomes) {
          const encoded = roundTrip<EncodedOutcome>(encodeOutcome(number, outcome));
          expect(decodeOutcome(encoded)).toEqual({ number, outcome });
        }
      },
    );
    fc.assert(property, { seed: 20_261_206, numRuns: 1_000 });
  });

  it.each<StatementOutcome>([
    { kind: 'done', rows: [], signature: '-', position: null, isFromReplica: false },
    {
      kind: 'done',
      rows: ['a b', '', 'c'],
      signature: 's.1',
      position: { term: 1, offset: 2 },
      isFromReplica: true,
    },
    { kind: 'not-run', reason: 'queue-timeout', retryAfterMs: 200 },
    { kind: 'aborted', reason: 'lost' },
    { kind: 'failed', text: 'no' },
    { kind: 'timed-out' },
    { kind: 'unknown', reason: 'lost' },
  ])('decodes an encoded outcome unchanged: $kind', (outcome) => {
    const encoded = roundTrip<EncodedOutcome>(encodeOutcome(7, outcome));
    expect(decodeOutcome(encoded)).toEqual({ number: 7, outcome });
  });

  it('decodes an encoded offer to a reader, or its absence, unchanged', () => {
    const offer: ReaderOffer = {
      position: { term: 2, offset: 5 },
      servers: [
        {
          server: 'i-1' as ReaderOffer['servers'][number]['server'],
          address: '127.0.0.1:1',
          slots: 2,
          zone: 'zone-a',
        },
        {
          server: 'i-2' as ReaderOffer['servers'][number]['server'],
          address: '127.0.0.1:2',
          slots: 2,
          zone: 'zone-a',
          ownerRunning: 3,
        },
      ],
    };
    expect(decodeOffer(roundTrip(encodeOffer(offer)))).toEqual(offer);
    expect(decodeOffer(roundTrip(encodeOffer(undefined)))).toBeUndefined();
  });
});
