import {distance} from 'fastest-levenshtein';

const MAX_EDIT_DISTANCE = 3;

/**
 * Returns the known name with the least edit distance, if it is near enough.
 * @param name - unknown name
 * @param known - known names
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const maxDistance = Math.min(MAX_EDIT_DISTANCE, name.length - 1);
  return known
    .map(candidate => ({candidate, edits: distance(name, candidate)}))
    .filter(({edits}) => edits <= maxDistance)
    .sort((a, b) => a.edits - b.edits)[0]?.candidate;
}
