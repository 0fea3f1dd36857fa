import {distance} from 'fastest-levenshtein';

const MAX_TYPING_ERRORS = 3;

/**
 * The name that was probably meant.
 * @param name - the unknown name
 * @param known - the names that exist
 */
export function nearest(
  name: string,
  known: readonly string[],
): string | undefined {
  const allowed = Math.min(MAX_TYPING_ERRORS, name.length - 1);
  return known
    .map(candidate => ({candidate, away: distance(name, candidate)}))
    .filter(({away}) => away <= allowed)
    .sort((a, b) => a.away - b.away)[0]?.candidate;
}
