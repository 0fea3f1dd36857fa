import type {Millis} from '../core/index.js';
import type {RankOrder, UnableReason} from './messages.js';
import type {MapVersion, Rank} from './types.js';

/** What a coordinator does now. */
export type CoordinatorPhase =
  | 'standby'
  | 'inquiring'
  | 'settling'
  | 'steady'
  | 'staging'
  | 'preparing'
  | 'inconsistent';

/** How the last change ended. */
export interface MapSwitchResult {
  readonly map: MapVersion;
  readonly outcome: 'committed' | 'cancelled' | 'superseded';
  readonly reason: UnableReason | 'late' | 'uneven_hold' | 'new_rank' | '';
  /** From the proposal to the end, ms. */
  readonly took: Millis;
}

/** What the coordinator's sidecar is to do. */
export type CoordinatorEffect =
  | {readonly type: 'send'; readonly to: Rank; readonly message: RankOrder}
  | {readonly type: 'ended'; readonly result: MapSwitchResult};
