import {distance} from 'fastest-levenshtein';

const MAX_EDIT_DISTANCE = 3;

/**
 * The name that was probably meant.
 * @param name - the unknown name
 * @param known - the names that exist
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
