import type {Draft} from './draft.js';
import {
  dependencyCycles,
  duplicateDependencies,
  missingDependencies,
  oversubscribedShares,
  ineffectiveShares,
} from './rules/dependencies.js';
import {contradictingLimits, unreachableLimits} from './rules/limits.js';
import {duplicateNames, reservedHeader, unknownZones} from './rules/names.js';
import {routeConflicts} from './rules/routes.js';
import type {Violation} from './rules/violation.js';

const RULES: readonly ((draft: Draft) => Violation[])[] = [
  unknownZones,
  duplicateNames,
  reservedHeader,
  missingDependencies,
  duplicateDependencies,
  dependencyCycles,
  oversubscribedShares,
  ineffectiveShares,
  contradictingLimits,
  unreachableLimits,
  routeConflicts,
];

/**
 * Checks rules between values, which a schema cannot express.
 * @param draft - the valid values of a text
 * @returns every violation
 */
export function crossCheck(draft: Draft): Violation[] {
  return RULES.flatMap(rule => rule(draft));
}
