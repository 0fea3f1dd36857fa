/** Lines `[from, from + count)` of the base, or new lines. */
export type DeltaPart =
  | {readonly from: number; readonly count: number}
  | {readonly lines: readonly string[]};

/** Occurrences of a line that are compared to find the longest run. */
const MAX_OCCURRENCES = 16;

function occurrencesOf(lines: readonly string[]): Map<string, number[]> {
  const occurrences = new Map<string, number[]>();
  lines.forEach((line, at) => {
    const known = occurrences.get(line);
    if (known === undefined) occurrences.set(line, [at]);
    else if (known.length < MAX_OCCURRENCES) known.push(at);
  });
  return occurrences;
}

function runLength(
  base: readonly string[],
  from: number,
  target: readonly string[],
  at: number,
): number {
  let count = 0;
  while (
    from + count < base.length &&
    at + count < target.length &&
    base[from + count] === target[at + count]
  ) {
    count += 1;
  }
  return count;
}

/**
 * Encodes a text as a line delta against another.
 * @param base - the text of the receiver
 * @param text - the text to encode
 */
export function makeDelta(base: string, text: string): DeltaPart[] {
  const old = base.split('\n');
  const target = text.split('\n');
  const occurrences = occurrencesOf(old);
  const parts: DeltaPart[] = [];
  let added: string[] = [];
  let expected = 0;
  for (let at = 0; at < target.length;) {
    const candidates = [expected, ...(occurrences.get(target[at] ?? '') ?? [])];
    let best = {from: 0, count: 0};
    for (const from of candidates) {
      const count = runLength(old, from, target, at);
      if (count > best.count) best = {from, count};
    }
    if (best.count === 0) {
      added.push(target[at] ?? '');
      at += 1;
      // A changed line usually replaces the base line at the same position.
      expected += 1;
      continue;
    }
    if (added.length > 0) parts.push({lines: added});
    added = [];
    parts.push(best);
    at += best.count;
    expected = best.from + best.count;
  }
  if (added.length > 0) parts.push({lines: added});
  return parts;
}

/**
 * Applies a delta to its base.
 * @param base - the text that the delta was made against
 * @param parts - the delta
 * @returns the text, or nothing when the delta does not fit the base
 */
export function applyDelta(
  base: string,
  parts: readonly DeltaPart[],
): string | undefined {
  const old = base.split('\n');
  const lines: string[] = [];
  for (const part of parts) {
    if ('lines' in part) {
      lines.push(...part.lines);
      continue;
    }
    const {from, count} = part;
    if (from < 0 || count < 0 || from + count > old.length) return undefined;
    lines.push(...old.slice(from, from + count));
  }
  return lines.join('\n');
}
