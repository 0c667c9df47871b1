/**
 * Compression of settings documents, and diffs between versions. Documents are large and change in a few
 * places; sending frequent changes in full to every entry saturates low-bandwidth links for seconds.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/**
 * A diff against a base document: runs of pieces copied from the base, given by index of the first piece and
 * count, and inserted text.
 */
export type DocumentChange = readonly (string | readonly [first: number, count: number])[];

/** Documents are split after this character, which ends JSON objects. */
const PIECE_END = '}';

/** Compresses the text of a document for the control log. */
export function packDocument(text: string): Uint8Array {
  return deflateRawSync(Buffer.from(text, 'utf8'));
}

/** Decompresses a document written by {@link packDocument}. */
export function unpackDocument(body: Uint8Array): string {
  return inflateRawSync(body).toString('utf8');
}

/**
 * Computes the diff from `base` to `next`.
 *
 * @example
 * applyDocumentChange(base, diffDocuments(base, next)); // next
 */
export function diffDocuments(base: string, next: string): DocumentChange {
  const positions = new Map<string, number>();
  for (const [position, piece] of splitIntoPieces(base).entries()) positions.set(piece, position);
  const change: (string | [number, number])[] = [];
  for (const piece of splitIntoPieces(next)) {
    const position = positions.get(piece);
    const last = change.at(-1);
    if (position === undefined) {
      if (typeof last === 'string') change[change.length - 1] = last + piece;
      else change.push(piece);
    } else if (Array.isArray(last) && last[0] + last[1] === position) {
      last[1] += 1;
    } else {
      change.push([position, 1]);
    }
  }
  return change;
}

/** Applies a diff to the document `base` and returns the new document. */
export function applyDocumentChange(base: string, change: DocumentChange): string {
  const pieces = splitIntoPieces(base);
  return change
    .map((part) => {
      if (typeof part === 'string') return part;
      const [first, count] = part;
      return pieces.slice(first, first + count).join('');
    })
    .join('');
}

function splitIntoPieces(text: string): string[] {
  return text.split(PIECE_END).map((piece, index, all) => {
    return index < all.length - 1 ? piece + PIECE_END : piece;
  });
}
