import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/**
 * Time between a relay's reads while versions of the configuration follow each
 * other, as a fraction of the bound.
 */
const CONFIGURATION_SPACING_FRACTION = 0.1;
/** The same for registrations, which change constantly. */
const REGISTRATION_SPACING_FRACTION = 0.4;

/** Timing of a followed topic. */
export interface TopicTiming {
  /** Time after which an update has to be in force. */
  readonly bound: Millis;
  /** Minimum time between a relay's reads while records arrive. */
  readonly busySpacing: Millis;
}

/** Timing of the topics of the entries' own records. */
export const INTERNAL_TIMING: TopicTiming = {
  bound: 20 * SECOND,
  busySpacing: 4 * SECOND,
};

/**
 * Returns the timing of the configuration.
 * @param bound - time after which a version has to be in force
 */
export function configurationTiming(bound: Millis): TopicTiming {
  return {bound, busySpacing: CONFIGURATION_SPACING_FRACTION * bound};
}

/**
 * Returns the timing of the registrations of upstreams.
 * @param bound - time after which a leaving upstream gets no new requests
 */
export function registrationTiming(bound: Millis): TopicTiming {
  return {bound, busySpacing: REGISTRATION_SPACING_FRACTION * bound};
}
