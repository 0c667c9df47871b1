import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { REFUSAL_TABLE, type RefusalReason, refuse } from './outcome.js';

const page = readFileSync(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');

const OUTCOME_BY_CLASS: readonly [RegExp, string][] = [
  [/^(53|57P03|3D000|08P01|22023)/, 'not-run'],
  [/^08007/, 'outcome-unknown'],
  [/^28/, 'withdrawn'],
  [/^0A000/, 'unsupported'],
];

describe('refusals', () => {
  const reasons = Object.keys(REFUSAL_TABLE) as RefusalReason[];

  it.each(reasons)('%s is listed in OPERATIONS.md with its SQLSTATE', (reason) => {
    const row = page.split('\n').find((line) => line.startsWith(`| \`${reason}\``));
    expect(row).toContain(REFUSAL_TABLE[reason].sqlState);
  });

  it.each(reasons)('the SQLSTATE of %s alone identifies its outcome', (reason) => {
    const { sqlState, outcome } = refuse(reason);
    const outcomeOfClass = OUTCOME_BY_CLASS.find(([pattern]) => pattern.test(sqlState))?.[1];
    expect(outcomeOfClass).toBe(outcome);
  });
});
