/** Parses JSON that another writer has sent. */
import { type Either, Left, Right } from 'purify-ts';

/** Deeper lists and objects are refused: parsing them takes many times the memory of their text. */
const MAX_DEPTH = 64;

/**
 * Parses a text as JSON.
 *
 * @returns the value, or the reason why there is none
 * @example
 * parseBoundedJson('{"Slots":2}'); // Right({ Slots: 2 })
 * parseBoundedJson('['.repeat(1_000)); // Left('nested more than 64 levels deep')
 */
export function parseBoundedJson(text: string): Either<string, unknown> {
  if (isTooDeep(text)) return Left(`nested more than ${MAX_DEPTH} levels deep`);
  try {
    return Right(JSON.parse(text) as unknown);
  } catch {
    return Left('not JSON');
  }
}

function isTooDeep(text: string): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (isInString) {
      if (character === '\\') index += 1;
      else if (character === '"') isInString = false;
    } else if (character === '"') isInString = true;
    else if (character === '[' || character === '{') depth += 1;
    else if (character === ']' || character === '}') depth -= 1;
    if (depth > MAX_DEPTH) return true;
  }
  return false;
}
