import type {Millis} from '../core/index.js';
import {EventFramer} from './event_frames.js';
import type {EventFrame} from './event_frames.js';

/** Events of one chunk that are new to the caller. */
export interface DeliverableEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Time since the previous events of the same run; undefined for its first. */
  readonly gap: Millis | undefined;
}

/** Frames a stream's events and tracks their delivery over all its runs. */
export class StreamDelivery {
  private framer = new EventFramer();
  private lastId: number | undefined;
  private events = 0;
  private firstAt: Millis | undefined;
  private lastAt: Millis;
  private hasRunDelivered = false;
  private isFurtherRun = false;
  /** Whether a further run sent an event whose place in the stream is unknown. */
  private hasUnplacedEvent = false;

  /**
   * @param resumedAfter - id after which the caller resumes the stream
   * @param arrivedAt - arrival of the request
   */
  constructor(resumedAfter: number | undefined, arrivedAt: Millis) {
    this.lastId = resumedAfter;
    this.lastAt = arrivedAt;
  }

  /** Number of delivered events. */
  get delivered(): number {
    return this.events;
  }

  /** Time of the first delivery. */
  get firstDeliveryAt(): Millis | undefined {
    return this.firstAt;
  }

  /** Time of the last delivery, or of the arrival before the first. */
  get lastDeliveryAt(): Millis {
    return this.lastAt;
  }

  /** Id after which a further run continues; undefined if none was delivered. */
  get resumeAfter(): number | undefined {
    return this.events > 0 ? this.lastId : undefined;
  }

  /** Why the run cannot go on, if so. */
  get defect(): string | undefined {
    if (this.framer.isOverlong) return 'unterminated event';
    return this.hasUnplacedEvent ? 'event without id' : undefined;
  }

  /** Whether the run has begun an event and not completed it. */
  get isWithinEvent(): boolean {
    return this.framer.isWithinEvent;
  }

  /** Bytes after the last complete event. */
  get rest(): Buffer {
    return this.framer.rest();
  }

  /** Starts a further run, on another upstream. */
  startRun(): void {
    this.framer = new EventFramer();
    this.hasRunDelivered = false;
    this.hasUnplacedEvent = false;
    this.isFurtherRun = this.events > 0;
  }

  /**
   * Adds a chunk of the run.
   * @param now - current time
   * @param chunk - the chunk
   * @returns undefined if it completes no new event
   */
  push(now: Millis, chunk: Buffer): DeliverableEvents | undefined {
    const frames = this.framer.push(chunk).filter(frame => this.accept(frame));
    if (frames.length === 0) return undefined;
    const gap = this.hasRunDelivered ? now - this.lastAt : undefined;
    this.hasRunDelivered = true;
    this.firstAt ??= now;
    this.lastAt = now;
    const bytes = Buffer.concat(frames.map(frame => frame.bytes));
    return {bytes, count: frames.length, gap};
  }

  /** Counts an event unless it is a duplicate; a run may repeat events. */
  private accept({id}: EventFrame): boolean {
    if (this.isFurtherRun && id === undefined) this.hasUnplacedEvent = true;
    if (this.hasUnplacedEvent) return false;
    if (id !== undefined && this.lastId !== undefined && id <= this.lastId)
      return false;
    if (id !== undefined) this.lastId = id;
    this.events += 1;
    return true;
  }
}
