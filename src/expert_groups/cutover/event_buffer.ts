import type {MapVersion, Rank} from '../types.js';
import type {CutoverEvent} from './types.js';

/** What has happened in a coordinator and was not taken yet. */
export class EventBuffer {
  private events: CutoverEvent[] = [];
  private lastMissing: Rank | undefined;

  /**
   * Something has happened.
   * @param event - what
   * @param map - the map that it is about, if any
   * @param detail - more of it
   */
  record(
    event: CutoverEvent['event'],
    map: MapVersion | undefined,
    detail?: string,
  ): void {
    this.events.push({event, map: map ?? 0, detail});
  }

  /**
   * A clearing lacks ranks; noted once for each that is the last one.
   * @param missing - the ranks
   */
  recordMissing(missing: readonly Rank[]): void {
    const [rank, ...others] = missing;
    if (others.length > 0 || rank === this.lastMissing) return;
    this.lastMissing = rank;
    if (rank === undefined) return;
    this.record('waiting', undefined, `no word of rank ${rank}`);
  }

  /** Takes what has happened since the last call. */
  drain(): CutoverEvent[] {
    return this.events.splice(0);
  }
}
