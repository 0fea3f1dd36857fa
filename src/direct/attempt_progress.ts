import type {Millis} from '../core/index.js';

/** Tracks how far the run of one attempt at an upstream has progressed. */
export class AttemptProgress {
  private startedAt: Millis | undefined;
  private lastByteAt: Millis | undefined;
  private eventCount = 0;

  /** @param sentAt - time at which the request was sent */
  constructor(readonly sentAt: Millis) {}

  /** Whether the upstream has begun a successful response. */
  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Number of events that the run has added to its stream. */
  get events(): number {
    return this.eventCount;
  }

  /**
   * Records the head of a successful response.
   * @param now - current time
   * @returns whether it is the first one
   */
  recordStart(now: Millis): boolean {
    if (this.hasStarted) return false;
    this.startedAt = now;
    this.lastByteAt = now;
    return true;
  }

  /**
   * Records bytes of the response.
   * @param now - current time
   * @param events - number of new events that they complete
   */
  recordBytes(now: Millis, events: number): void {
    this.lastByteAt = now;
    this.eventCount += events;
  }

  /**
   * Returns the time since the last bytes of the response.
   * @param now - current time
   * @returns undefined before its head
   */
  idleTime(now: Millis): Millis | undefined {
    return this.lastByteAt === undefined ? undefined : now - this.lastByteAt;
  }
}
