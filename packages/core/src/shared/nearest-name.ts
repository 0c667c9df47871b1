/** Spelling suggestions for unknown names. */

const MAX_HINT_DISTANCE = 3;

/**
 * Returns the known name with the smallest edit distance to `name`, if it is a likely misspelling.
 *
 * @example
 * nearestName('custmers', ['customers', 'keys']); // 'customers'
 */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, distance: editDistance(name, candidate) }))
    .sort((left, right) => left.distance - right.distance);
  const [best] = ranked;
  if (!best || best.distance > MAX_HINT_DISTANCE) return undefined;
  return best.candidate;
}

function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, column) => column);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const isSame = left[row - 1] === right[column - 1];
      const substitution = (previous[column - 1] ?? 0) + (isSame ? 0 : 1);
      const insertion = (current[column - 1] ?? 0) + 1;
      const deletion = (previous[column] ?? 0) + 1;
      current.push(Math.min(substitution, insertion, deletion));
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}
