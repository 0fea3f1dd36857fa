import type {MapVersion, Rank} from '../types.js';
import type {CutoverEvent} from './types.js';

/** Buffer of a coordinator's events until they are drained. */
export class EventBuffer {
  private events: CutoverEvent[] = [];
  private lastMissing: Rank | undefined;

  /**
   * Records an event.
   * @param event - kind of the event
   * @param map - map version concerned, if any
   * @param detail - free text
   */
  record(
    event: CutoverEvent['event'],
    map: MapVersion | undefined,
    detail?: string,
  ): void {
    this.events.push({event, map: map ?? 0, detail});
  }

  /**
   * Records when a cleanup waits for a single rank, once per such rank.
   * @param missing - ranks that the cleanup waits for
   */
  recordMissing(missing: readonly Rank[]): void {
    const [rank, ...others] = missing;
    if (others.length > 0 || rank === this.lastMissing) return;
    this.lastMissing = rank;
    if (rank === undefined) return;
    this.record('waiting', undefined, `no answer from rank ${rank}`);
  }

  /** Removes and returns the events since the last call. */
  drain(): CutoverEvent[] {
    return this.events.splice(0);
  }
}
