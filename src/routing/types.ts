import type {AvailabilityZone, Incarnation, Millis} from '../core/index.js';
import type {LoadReport} from './messages.js';

/** An upstream that could take a call, as one entry knows it. */
export interface Candidate {
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
  /** Calls of this entry that run or wait there. */
  readonly inFlight: number;
  /** The sidecar's last report, if any came. */
  readonly load: LoadReport | undefined;
  /** Age of that report, ms. */
  readonly loadAge: Millis;
}
