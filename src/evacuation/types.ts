import type {AvailabilityZone, Millis} from '../core/index.js';

/** What a record of the operators says about the evacuation of a zone. */
export interface EvacuationRecord {
  readonly zone: AvailabilityZone;
  readonly state: EvacuationRecordState;
}

export type EvacuationRecordState =
  /** No requests may be sent to the zone. */
  | 'requested'
  /** The zone was taken back. */
  | 'dropped'
  /** The store has lost the record: nobody took the zone back. */
  | 'lost';

/** An evacuation that is in force. */
export interface Evacuation {
  readonly zone: AvailabilityZone;
  /** Time from which it has been in force in this entry's view. */
  readonly since: Millis;
  /** From where the record was read last. */
  readonly source: string;
  /** Time at which it ends, if the store has lost its record. */
  readonly endsAt: Millis | undefined;
}

/** Effect of a record on the evacuations in force. */
export type EvacuationChange =
  'begun' | 'ended' | 'lost' | 'restored' | 'unchanged';
