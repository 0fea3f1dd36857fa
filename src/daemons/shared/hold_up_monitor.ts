import type {Clock, Millis} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';
import {HoldUpTracker, PASS_INTERVAL} from './hold_up_tracker.js';

/** Records the passes of the event loop, and logs hold-ups of the process. */
export class HoldUpMonitor {
  private readonly tracker = new HoldUpTracker();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param clock - the clock
   * @param logger - logs each hold-up
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Starts to record. */
  start(): void {
    this.recordPass();
    this.timer = setInterval(() => this.recordPass(), PASS_INTERVAL).unref();
  }

  /** Stops to record. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Returns the earliest time at which a request may have arrived.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.tracker.earliestArrival(now);
  }

  private recordPass(): void {
    const heldUpFor = this.tracker.recordPass(this.clock.now());
    if (heldUpFor !== undefined)
      this.logger.info('held_up', {ms: Math.round(heldUpFor)});
  }
}
