/** Sends reads to readers in other entries. */
import type { StatementOutcome } from '@bramleykeel/core';
import type { EntryLinks } from '../locate/entry-links.js';
import { decodeOutcome, type EncodedOutcome, encodeStatement } from '../types/link-codec.js';
import { decodeMissingResult, type MissingResult } from './read-attempt.js';
import type { ReaderClientOptions } from './reader-client.js';

export function createReaderTransport(
  links: () => EntryLinks,
): ReaderClientOptions['sendToReader'] {
  return async ({ epoch, linkAddress }, group, draft, budgetMs) => {
    const request = { ...draft, number: 0, budgetMs, startWithinMs: 0 };
    const encoded = encodeStatement(group, epoch, request);
    const answer = await links().linkTo(linkAddress)?.request('reader/run', encoded, budgetMs);
    if (answer === undefined) return 'not-sent';
    return answer.caseOf<StatementOutcome | MissingResult>({
      Left: ({ kind }) => (kind === 'not-sent' ? 'not-sent' : 'unknown'),
      Right: (reply) =>
        Array.isArray(reply)
          ? decodeOutcome(reply as unknown as EncodedOutcome).outcome
          : decodeMissingResult(reply),
    });
  };
}
