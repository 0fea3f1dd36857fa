import type {Millis} from '../../core/index.js';
import type {ExpertMap, Rank, Step} from '../types.js';

/** A change of map under way. */
export interface MapSwitch {
  readonly map: ExpertMap;
  readonly startedAt: Millis;
  /** The rank whose engine holds the group. */
  readonly holder: Rank;
  /** The pass that is held, at which all ranks change. */
  step: Step;
}
