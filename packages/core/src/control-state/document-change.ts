/**
 * Packed settings documents, and what changed from one to the next. Documents are large and change in a few
 * places; sent whole to every entry, a storm of changes fills narrow links for seconds.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/**
 * A document in terms of an earlier one: runs of its pieces by first position and count, and new text between
 * them.
 */
export type DocumentChange = readonly (string | readonly [first: number, count: number])[];

/** Documents are cut into pieces after this character: records of JSON end with it. */
const PIECE_END = '}';

/** Packs a document's text for the control log. */
export function packDocument(text: string): Uint8Array {
  return deflateRawSync(Buffer.from(text, 'utf8'));
}

/** Restores the text of a packed document. */
export function unpackDocument(body: Uint8Array): string {
  return inflateRawSync(body).toString('utf8');
}

/**
 * Says how `next` follows from `base`.
 *
 * @example
 * applyDocumentChange(base, describeDocumentChange(base, next)); // next
 */
export function describeDocumentChange(base: string, next: string): DocumentChange {
  const positions = new Map<string, number>();
  for (const [position, piece] of cut(base).entries()) positions.set(piece, position);
  const change: (string | [number, number])[] = [];
  for (const piece of cut(next)) {
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

/** Builds the document that follows from `base`. */
export function applyDocumentChange(base: string, change: DocumentChange): string {
  const pieces = cut(base);
  return change
    .map((part) => {
      if (typeof part === 'string') return part;
      const [first, count] = part;
      return pieces.slice(first, first + count).join('');
    })
    .join('');
}

function cut(text: string): string[] {
  return text.split(PIECE_END).map((piece, index, all) => {
    return index < all.length - 1 ? piece + PIECE_END : piece;
  });
}
