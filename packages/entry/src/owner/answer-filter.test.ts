import {
  buildCommandComplete,
  buildDataRow,
  buildEmptyMessage,
  buildErrorResponse,
  buildParameterStatus,
  SERVER,
  type WireMessage,
} from '@bramleykeel/postgres-wire';
import { describe, expect, it } from 'vitest';
import { type AnswerFilter, createAnswerFilter, filterAnswer } from './answer-filter.js';

function wire(frame: Buffer): WireMessage {
  return { type: frame[0] ?? 0, frame };
}

function filterToTypes(filter: AnswerFilter, frames: readonly Buffer[], isEndSent = true): string {
  const { forward } = filterAnswer(filter, frames.map(wire), isEndSent);
  return forward.map((frame) => String.fromCharCode(frame[0] ?? 0)).join('');
}

const ROW = buildDataRow(['1']);
const COMPLETE = buildCommandComplete('SELECT 1');
const PARSED = buildEmptyMessage(SERVER.parseComplete);
const CLOSED = buildEmptyMessage(SERVER.closeComplete);

describe('filterAnswer', () => {
  const CASES: readonly [string, readonly Buffer[], string, number][] = [
    ['holds the last CommandComplete', [ROW, COMPLETE], 'D', 1],
    ['forwards a CommandComplete that was not the last', [COMPLETE, ROW, COMPLETE], 'CD', 1],
    ['does not forward the log position', [buildParameterStatus('log_position', '2/7')], '', 0],
    ['forwards other parameters', [buildParameterStatus('TimeZone', 'UTC')], 'S', 0],
    ['drops notifications', [buildEmptyMessage(SERVER.notificationResponse)], '', 0],
  ];
  it.each(CASES)('%s', (_name, frames, forwarded, heldCount) => {
    const filter = createAnswerFilter();
    expect(filterToTypes(filter, frames)).toBe(forwarded);
    expect(filter.heldFrames).toHaveLength(heldCount);
  });

  it('forwards a CommandComplete before the end of the request was sent', () => {
    expect(filterToTypes(createAnswerFilter(), [ROW, COMPLETE], false)).toBe('DC');
  });

  it('hides answers to messages added by the proxy and records statement changes in order', () => {
    const filter = createAnswerFilter();
    filter.expected = [
      { kind: 'close', isHidden: true, statement: 'bk_1' },
      { kind: 'parse', isHidden: false, statement: 'bk_1' },
    ];
    const answer = filterAnswer(filter, [CLOSED, PARSED].map(wire), true);
    expect(answer.forward).toEqual([PARSED]);
    expect(answer.statementChanges).toEqual([
      { statement: 'bk_1', exists: false },
      { statement: 'bk_1', exists: true },
    ]);
  });

  it.each([
    ['for nothing', [], PARSED],
    ['in place of a CloseComplete', [{ kind: 'close', isHidden: true, statement: 's' }], PARSED],
    ['in place of a ParseComplete', [{ kind: 'parse', isHidden: true, statement: 's' }], CLOSED],
  ] as const)('finds a foreign completion %s', (_name, expected, frame) => {
    const filter = createAnswerFilter();
    filter.expected = [...expected];
    expect(filterAnswer(filter, [wire(frame)], true).foreign?.frame).toBe(frame);
  });

  it('clears expected answers after an error and keeps the first SQLSTATE', () => {
    const filter = createAnswerFilter();
    filter.expected = [{ kind: 'parse', isHidden: true, statement: 'bk_1' }];
    const error = (sqlState: string) =>
      buildErrorResponse({ severity: 'ERROR', sqlState, message: 'm' });
    filterToTypes(filter, [error('23505'), error('25P02')]);
    expect(filter).toMatchObject({ expected: [], firstSqlState: '23505' });
  });

  it('records the log position of a commit', () => {
    const filter = createAnswerFilter();
    filterToTypes(filter, [buildParameterStatus('log_position', '2/7'), COMPLETE]);
    expect(filter.position).toEqual({ term: 2, offset: 7 });
  });
});
