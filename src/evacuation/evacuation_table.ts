import type {AvailabilityZone, Millis} from '../core/index.js';
import {MINUTE} from '../core/index.js';
import type {Evacuation, EvacuationChange, EvacuationRecord} from './types.js';

/**
 * Time for which an evacuation stays in force after the store has lost its
 * record, in which operators notice the loss and write it again.
 */
export const LOST_GRACE: Millis = MINUTE;

/** Evacuations of zones that are in force in the view of one entry. */
export class EvacuationTable {
  private readonly evacuations = new Map<AvailabilityZone, Evacuation>();

  /** Whether no zone is evacuated. */
  get isEmpty(): boolean {
    return this.evacuations.size === 0;
  }

  /**
   * Applies a record of the operators.
   * @param now - current time
   * @param record - the record
   * @param source - from where it was read
   */
  apply(
    now: Millis,
    {zone, state}: EvacuationRecord,
    source: string,
  ): EvacuationChange {
    const known = this.evacuations.get(zone);
    if (known === undefined) {
      if (state !== 'requested') return 'unchanged';
      const endsAt = undefined;
      this.evacuations.set(zone, {zone, since: now, source, endsAt});
      return 'begun';
    }
    switch (state) {
      case 'requested':
        this.evacuations.set(zone, {...known, source, endsAt: undefined});
        return known.endsAt === undefined ? 'unchanged' : 'restored';
      case 'dropped':
        this.evacuations.delete(zone);
        return 'ended';
      case 'lost':
        if (known.endsAt !== undefined) return 'unchanged';
        this.evacuations.set(zone, {...known, endsAt: now + LOST_GRACE});
        return 'lost';
    }
  }

  /**
   * Ends the evacuations whose records were lost and not written again.
   * @param contactAt - time as of which all records are known: without contact
   *     with the store, a record that was written again is not seen
   * @returns the ended ones
   */
  expire(contactAt: Millis): Evacuation[] {
    const expired = this.entries().filter(
      ({endsAt}) => endsAt !== undefined && endsAt <= contactAt,
    );
    for (const {zone} of expired) this.evacuations.delete(zone);
    return expired;
  }

  /**
   * Returns whether no requests may be sent to a zone.
   * @param zone - the zone
   */
  isEvacuated(zone: AvailabilityZone): boolean {
    return this.evacuations.has(zone);
  }

  /** Returns the evacuations in force. */
  entries(): Evacuation[] {
    return [...this.evacuations.values()];
  }
}
