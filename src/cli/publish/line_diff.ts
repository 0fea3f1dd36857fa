/** Limit, lines times lines; larger differences are replaced as a whole. */
const MAX_TABLE_CELLS = 4_000_000;

/** Returns the lengths of the longest common subsequences of all suffixes. */
function suffixLcsLengths(
  before: readonly string[],
  after: readonly string[],
): Uint32Array[] {
  const rows = [new Uint32Array(after.length + 1)];
  for (let i = before.length - 1; i >= 0; i--) {
    const nextRow = rows[0] ?? new Uint32Array();
    const row = new Uint32Array(after.length + 1);
    for (let j = after.length - 1; j >= 0; j--) {
      row[j] =
        before[i] === after[j]
          ? (nextRow[j + 1] ?? 0) + 1
          : Math.max(nextRow[j] ?? 0, row[j + 1] ?? 0);
    }
    rows.unshift(row);
  }
  return rows;
}

function diffLines(
  before: readonly string[],
  after: readonly string[],
): string[] {
  if (before.length * after.length > MAX_TABLE_CELLS) {
    return [...before.map(l => `- ${l}`), ...after.map(l => `+ ${l}`)];
  }
  const lengths = suffixLcsLengths(before, after);
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  while (i < before.length || j < after.length) {
    if (i < before.length && before[i] === after[j]) {
      i += 1;
      j += 1;
      continue;
    }
    const lengthAfterRemoval = lengths[i + 1]?.[j] ?? -1;
    const lengthAfterAddition =
      j < after.length ? (lengths[i]?.[j + 1] ?? -1) : -1;
    if (i < before.length && lengthAfterRemoval >= lengthAfterAddition)
      lines.push(`- ${before[i++]}`);
    else lines.push(`+ ${after[j++]}`);
  }
  return lines;
}

/**
 * Returns the lines that differ between two texts.
 * @param before - older text
 * @param after - newer text
 * @returns removed lines with the prefix `- ` and added lines with `+ `
 */
export function lineDiff(before: string, after: string): string[] {
  const oldLines = before === '' ? [] : before.split('\n');
  const newLines = after === '' ? [] : after.split('\n');
  let start = 0;
  while (start < oldLines.length && oldLines[start] === newLines[start]) {
    if (start >= newLines.length) break;
    start += 1;
  }
  let end = 0;
  while (
    end < Math.min(oldLines.length, newLines.length) - start &&
    oldLines[oldLines.length - 1 - end] === newLines[newLines.length - 1 - end]
  ) {
    end += 1;
  }
  return diffLines(
    oldLines.slice(start, oldLines.length - end),
    newLines.slice(start, newLines.length - end),
  );
}
