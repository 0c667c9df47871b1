import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  applyDocumentChange,
  diffDocuments,
  packDocument,
  unpackDocument,
} from './document-change.js';

interface Route {
  readonly name: string;
  readonly timeoutMs: number;
}

const document = (version: number, routes: readonly Route[]) => JSON.stringify({ version, routes });
const routes = Array.from({ length: 300 }, (_, index) => ({ name: `r${index}`, timeoutMs: 800 }));

describe('document diff', () => {
  it.each([
    { name: 'a timeout', next: routes.with(120, { name: 'r120', timeoutMs: 900 }) },
    { name: 'a new route', next: [...routes, { name: 'r300', timeoutMs: 800 }] },
    { name: 'a removed route', next: routes.toSpliced(7, 1) },
    { name: 'routes in another order', next: [...routes.slice(150), ...routes.slice(0, 150)] },
    { name: 'no route at all', next: [] },
  ])('for $name is small and restores the document', ({ next }) => {
    const [base, after] = [document(1, routes), document(2, next)];
    const change = diffDocuments(base, after);
    expect(JSON.stringify(change).length).toBeLessThan(200);
    expect(applyDocumentChange(base, change)).toBe(after);
  });

  it('restores any text from any base, including texts with repeated pieces', () => {
    const text = fc.array(fc.constantFrom('a', '{', '}', 'é', '')).map((parts) => parts.join(''));
    fc.assert(
      fc.property(text, text, (base, next) => {
        expect(applyDocumentChange(base, diffDocuments(base, next))).toBe(next);
        expect(unpackDocument(packDocument(next))).toBe(next);
      }),
      { seed: 20_261_204 },
    );
  });
});
