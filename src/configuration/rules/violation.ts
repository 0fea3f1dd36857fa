import {distance} from 'fastest-levenshtein';

/** A broken rule, with the path of the value that breaks it. */
export interface Violation {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly rule: string;
  /** Whether the name at the end of the path is wrong, not its value. */
  readonly atKey?: boolean;
}

const MAX_TYPING_ERRORS = 3;
/** Longer lists of names are not searched for a suggestion. */
const MAX_SEARCHED = 1_000;
/** Longer names get no suggestion. */
const MAX_NAME_LENGTH = 100;

/**
 * Returns a suggestion for a misspelt name.
 * @param name - the unknown name
 * @param known - the names that exist
 * @returns `; did you mean ...?`, or nothing when no name is near
 */
export function suggestion(name: string, known: readonly string[]): string {
  if (known.length > MAX_SEARCHED || name.length > MAX_NAME_LENGTH) return '';
  let nearest: string | undefined;
  let nearestDistance = Math.min(MAX_TYPING_ERRORS, name.length - 1);
  for (const candidate of known) {
    const candidateDistance = distance(name, candidate);
    if (
      candidateDistance > nearestDistance ||
      (candidateDistance === nearestDistance && nearest !== undefined)
    )
      continue;
    nearestDistance = candidateDistance;
    nearest = candidate;
  }
  return nearest === undefined ? '' : `; did you mean ${nearest}?`;
}
