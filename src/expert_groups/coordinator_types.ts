import type {Millis} from '../core/index.js';
import type {RankOrder, UnableReason} from './messages.js';
import type {MapVersion, Rank} from './types.js';

/** Phase of a coordinator. */
export type CoordinatorPhase =
  | 'standby'
  | 'inquiring'
  | 'settling'
  | 'steady'
  | 'staging'
  | 'preparing'
  | 'inconsistent';

/** Result of a map switch. */
export interface MapSwitchResult {
  readonly map: MapVersion;
  readonly outcome: 'committed' | 'cancelled' | 'superseded';
  readonly reason: UnableReason | 'late' | 'uneven_hold' | 'new_rank' | '';
  /** Duration from proposal to end, ms. */
  readonly took: Millis;
}

/** Action for the coordinator's sidecar. */
export type CoordinatorEffect =
  | {readonly type: 'send'; readonly to: Rank; readonly message: RankOrder}
  | {readonly type: 'ended'; readonly result: MapSwitchResult};
