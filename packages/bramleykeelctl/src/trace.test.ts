import { describe, expect, it } from 'vitest';
import { formatTrace, parseLogLine, traceRequest } from './trace.js';

function line(time: number, fields: Record<string, unknown>, from = ''): string {
  return `${from}${JSON.stringify({ level: 30, time, part: 'bramleykeel:owner', ...fields, msg: 'said' })}`;
}

const logs = [
  line(1_000, { group: 'ledger', primary: 'i-0' }, 'front-a-1  '),
  line(20_000, { group: 'ledger', reason: 'it does not answer' }, 'front-a-1  '),
  line(20_400, { request: 'r1', group: 'ledger', code: 'lagging' }, 'front-a-1  '),
  line(20_100, { group: 'other', reason: 'it is leaving' }, 'front-b-1  '),
  line(20_500, { request: 'r2', group: 'ledger' }, 'front-a-1  '),
  line(20_700, { request: 'r1', outcome: 'not-run' }, 'front-c-1  '),
  line(20_900, { group: 'ledger', primary: 'i-1' }, 'front-a-1  '),
  'front-a-1  Warning: something that a library printed',
  line(20_950, { request: 'r1' }).slice(0, 40),
];

describe('the trace of a request', () => {
  it('has its lines from every process, and what was said of its group around it', () => {
    const { lines, ownCount } = traceRequest(logs, 'r1');
    expect(ownCount).toBe(2);
    expect(lines.map(({ atMs }) => atMs)).toEqual([20_000, 20_400, 20_700, 20_900]);
  });

  it('has the lease of an entry that held its customer', () => {
    const home = [
      line(5_000, { customer: 'acme', incarnation: 'one', epoch: 1 }),
      line(19_900, { incarnation: 'one' }),
      line(19_950, { incarnation: 'other' }),
      line(20_000, { request: 'r1', customer: 'acme', reason: 'rate-home-unreachable' }),
      line(20_300, { customer: 'acme', incarnation: 'two', epoch: 2 }),
    ];
    const { lines } = traceRequest(home, 'r1');
    expect(lines.map(({ atMs }) => atMs)).toEqual([19_900, 20_000, 20_300]);
  });

  it('is empty for a request that no process has written about', () => {
    expect(traceRequest(logs, 'r9')).toEqual({ lines: [], ownCount: 0 });
  });

  it('shows times from the request’s first line', () => {
    const text = formatTrace(traceRequest(logs, 'r1'), 'r1').split('\n');
    expect(text[0]).toContain('-400 ms front-a-1 bramleykeel:owner said group=ledger');
    expect(text[2]).toMatch(/^\* {4}300 ms front-c-1 .*outcome=not-run$/);
  });

  it.each([['a warning'], ['{"level":30,"time":1'], ['{"level":30}'], ['{"time":1,"part":"x"}']])(
    'passes over %s',
    (text) => {
      expect(parseLogLine(text)).toBeUndefined();
    },
  );
});
