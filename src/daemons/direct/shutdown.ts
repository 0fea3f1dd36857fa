import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Containment, Logger} from '../../observability/index.js';
import type {FrontServer} from './front_server.js';

/** Time between the end of the process and the time at which it is killed. */
const SHUTDOWN_MARGIN: Millis = 300;
/** Time in which the last responses reach their connections. */
const FLUSH_TIME: Millis = 100;
/** Time in which the balancer stops routing new connections here. */
const UNLISTING_TIME: Millis = 3 * SECOND;
/**
 * Time after the termination signal at which requests are no longer accepted:
 * they might not finish before the process is killed. It is shorter than the
 * unlisting time by what the signal and the request may be delayed.
 */
const LATEST_ARRIVAL: Millis = UNLISTING_TIME - SECOND / 2;
/** Minimum time from the termination signal to the end of an idle process. */
const MIN_DRAIN_TIME: Millis = 3.5 * SECOND;
const CHECK_INTERVAL: Millis = 100;

/** A request that a shutdown may have to end. */
export interface OpenRequest {
  /** Responds that the process stops, with whether the request may have run. */
  shutDown(): void;
}

/**
 * Shutdown of an entry: it leaves the rotation of the balancer, finishes what it
 * accepted, and answers the rest before the process is killed.
 */
export class Shutdown {
  private startedAt: Millis | undefined;
  private draining: Promise<void> | undefined;

  /**
   * @param front - server for callers
   * @param clock - the clock
   * @param logger - logs the start, and requests that are cut
   * @param containment - contains the exceptions of each step to that step
   */
  constructor(
    private readonly front: FrontServer,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly containment: Containment,
  ) {}

  /** Whether the shutdown has started. */
  get isDraining(): boolean {
    return this.startedAt !== undefined;
  }

  /**
   * Returns whether a request can still be finished. It counts from its last
   * byte, which may come long after its head.
   * @param now - time at which the request was complete
   */
  isAccepting(now: Millis): boolean {
    return (
      this.startedAt === undefined || now - this.startedAt < LATEST_ARRIVAL
    );
  }

  /**
   * Finishes the accepted requests and sends their responses; ends within the
   * grace period of the first call.
   * @param grace - time until the process is killed
   * @param open - the accepted requests that have not ended
   */
  drain(grace: Millis, open: ReadonlySet<OpenRequest>): Promise<void> {
    this.draining ??= this.run(grace, open);
    return this.draining;
  }

  private async run(
    grace: Millis,
    open: ReadonlySet<OpenRequest>,
  ): Promise<void> {
    const startedAt = this.clock.now();
    this.startedAt = startedAt;
    this.logger.info('draining', {open: this.front.openRequests});
    this.contain(() => this.front.closeAfterResponses());
    const end = startedAt + grace - SHUTDOWN_MARGIN;
    for (;;) {
      const now = this.clock.now();
      if (now - startedAt >= UNLISTING_TIME) {
        this.contain(() => this.front.closeIdle());
      }
      const isDrained =
        this.front.openRequests === 0 && now - startedAt >= MIN_DRAIN_TIME;
      if (isDrained) return;
      if (now >= end) break;
      const delay = Math.min(CHECK_INTERVAL, end - now);
      await new Promise(resolve => setTimeout(resolve, delay));
      // After a hold-up timers come before reads: what waits is read first.
      await new Promise(resolve => setImmediate(resolve));
    }
    this.logger.warn('cutting', {open: open.size});
    this.contain(() => this.front.markEnding());
    for (const request of [...open]) this.contain(() => request.shutDown());
    await new Promise(resolve => setTimeout(resolve, FLUSH_TIME));
    this.contain(() => this.front.cutOpen());
  }

  private contain(step: () => void): void {
    this.containment.run('process', {during: 'drain'}, step);
  }
}
