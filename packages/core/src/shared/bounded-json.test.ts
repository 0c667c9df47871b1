import { describe, expect, it } from 'vitest';
import { parseBoundedJson } from './bounded-json.js';

const nested = (depth: number) => `${'['.repeat(depth)}${']'.repeat(depth)}`;

describe('parseBoundedJson', () => {
  it.each<[string, string, unknown]>([
    ['an object', '{"Slots":2,"Zone":"a"}', { Slots: 2, Zone: 'a' }],
    ['64 levels', nested(64), JSON.parse(nested(64))],
    ['brackets in a string', JSON.stringify('['.repeat(100)), '['.repeat(100)],
    [
      'an escaped quote before brackets',
      JSON.stringify(`"${'{'.repeat(100)}`),
      `"${'{'.repeat(100)}`,
    ],
    ['many lists side by side', `[${Array(99).fill('[]').join(',')}]`, Array(99).fill([])],
  ])('parses %s', (_name, text, expected) => {
    expect(parseBoundedJson(text).extract()).toEqual(expected);
  });

  it.each([
    ['65 levels', nested(65), 'nested more than 64 levels deep'],
    ['millions of levels', '['.repeat(4_000_000), 'nested more than 64 levels deep'],
    ['mixed nesting', '{"a":['.repeat(40), 'nested more than 64 levels deep'],
    ['truncated text', '{"a":', 'not JSON'],
    ['no text', '', 'not JSON'],
  ])('rejects %s', (_name, text, reason) => {
    const parsed = parseBoundedJson(text);
    expect(parsed.isLeft() && parsed.extract()).toBe(reason);
  });
});
