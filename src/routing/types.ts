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
  /** Calls of this entry sent there since that report. */
  readonly sentCalls: number;
  /** Prompt blocks of those calls that had to be prefilled. */
  readonly sentBlocks: number;
  /** Leading blocks of the present prompt that it seems to have cached. */
  readonly matched: number;
  /** How long it has answered nothing while calls of this entry wait, ms. */
  readonly unresponsiveMs: Millis;
}
