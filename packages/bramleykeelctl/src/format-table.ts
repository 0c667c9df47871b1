/**
 * Formats rows with columns of equal width.
 *
 * @param rows the first one is the heading
 * @example
 * formatTable([['server', 'share'], ['s1', '100%']]); // ['server  share', 's1      100%']
 */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
  const [heading = []] = rows;
  const widths = heading.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
