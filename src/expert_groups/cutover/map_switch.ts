import type {Millis} from '../../core/index.js';
import type {ExpertMap, Rank, Step} from '../types.js';

/** A map switch in progress. */
export interface MapSwitch {
  readonly map: ExpertMap;
  readonly startedAt: Millis;
  /** The rank whose engine holds the group. */
  readonly holder: Rank;
  /** The held pass, at which all ranks switch. */
  step: Step;
}
