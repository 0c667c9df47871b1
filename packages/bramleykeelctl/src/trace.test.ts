import { describe, expect, it } from 'vitest';
import { formatTrace, parseLogLine, traceRequest } from './trace.js';

function formatLogLine(time: number, fields: Record<string, unknown>, from = ''): string {
  return `${from}${JSON.stringify({ level: 30, time, part: 'bramleykeel:owner', ...fields, msg: 'said' })}`;
}

const logs = [
  formatLogLine(1_000, { group: 'ledger', primary: 'i-0' }, 'front-a-1  '),
  formatLogLine(20_000, { group: 'ledger', reason: 'it does not answer' }, 'front-a-1  '),
  formatLogLine(20_400, { request: 'r1', group: 'ledger', code: 'lagging' }, 'front-a-1  '),
  formatLogLine(20_100, { group: 'other', reason: 'it is leaving' }, 'front-b-1  '),
  formatLogLine(20_500, { request: 'r2', group: 'ledger' }, 'front-a-1  '),
  formatLogLine(20_700, { request: 'r1', outcome: 'not-run' }, 'front-c-1  '),
  formatLogLine(20_900, { group: 'ledger', primary: 'i-1' }, 'front-a-1  '),
  'front-a-1  Warning: plain text from a library',
  formatLogLine(20_950, { request: 'r1' }).slice(0, 40),
];

describe('request trace', () => {
  it('contains its lines from all processes, and lines of its group around that time', () => {
    const { lines, requestLineCount } = traceRequest(logs, 'r1');
    expect(requestLineCount).toBe(2);
    expect(lines.map(({ atMs }) => atMs)).toEqual([20_000, 20_400, 20_700, 20_900]);
  });

  it('contains lines of the entry incarnation that its customer was assigned to', () => {
    const rateHomeLogs = [
      formatLogLine(5_000, { customer: 'acme', incarnation: 'one', epoch: 1 }),
      formatLogLine(19_900, { incarnation: 'one' }),
      formatLogLine(19_950, { incarnation: 'other' }),
      formatLogLine(20_000, { request: 'r1', customer: 'acme', reason: 'rate-home-unreachable' }),
      formatLogLine(20_300, { customer: 'acme', incarnation: 'two', epoch: 2 }),
    ];
    const { lines } = traceRequest(rateHomeLogs, 'r1');
    expect(lines.map(({ atMs }) => atMs)).toEqual([19_900, 20_000, 20_300]);
  });

  it('is empty for a request that occurs in no log line', () => {
    expect(traceRequest(logs, 'r9')).toEqual({ lines: [], requestLineCount: 0 });
  });

  it('shows times relative to the first line of the request', () => {
    const text = formatTrace(traceRequest(logs, 'r1'), 'r1').split('\n');
    expect(text[0]).toContain('-400 ms front-a-1 bramleykeel:owner said group=ledger');
    expect(text[2]).toMatch(/^\* {4}300 ms front-c-1 .*outcome=not-run$/);
  });

  it.each([['a warning'], ['{"level":30,"time":1'], ['{"level":30}'], ['{"time":1,"part":"x"}']])(
    'ignores %s',
    (text) => {
      expect(parseLogLine(text)).toBeUndefined();
    },
  );
});
