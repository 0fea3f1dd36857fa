import type {Millis} from '../core/index.js';

/**
 * Part of the bound of evacuations within which an entry has to know of one. The
 * rest is for requests that were written just before and are under way.
 */
const KNOWN_FRACTION = 0.8;

/** Bounds of what operators write. */
interface OperatorBounds {
  /** Time until a configuration is in force at an entry. */
  readonly configuration: Millis;
  /** Time until no more requests arrive in an evacuated zone, if it is bounded. */
  readonly evacuation?: Millis | undefined;
}

/**
 * Returns the staleness bound of the operators' topic, which holds both the
 * configuration and the evacuations.
 * @param bounds - the bounds of the deployment
 */
export function operatorsTopicBound({
  configuration,
  evacuation = Infinity,
}: OperatorBounds): Millis {
  return Math.min(configuration, KNOWN_FRACTION * evacuation);
}
