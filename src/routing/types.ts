import type {AvailabilityZone, Incarnation, Millis} from '../core/index.js';
import type {LoadReport} from './messages.js';

/** An upstream eligible for a call, with its state as seen by one entry. */
export interface Candidate {
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
  /** Calls of this entry in flight at the upstream. */
  readonly inFlight: number;
  /** The sidecar's last load report, if any. */
  readonly load: LoadReport | undefined;
  /** Age of the load report, ms. */
  readonly loadAge: Millis;
  /** Calls sent by this entry since the load report. */
  readonly sentCalls: number;
  /** Uncached prompt blocks of those calls. */
  readonly sentBlocks: number;
  /** Leading blocks of the call's prompt that it probably has cached. */
  readonly matched: number;
  /** Half-lives for which its reported prefill time has decayed; 0 unless idle. */
  readonly reportDecay: number;
  /** Time without a response while calls of this entry wait for one, ms. */
  readonly unresponsiveMs: Millis;
}
