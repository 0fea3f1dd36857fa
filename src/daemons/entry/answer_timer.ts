import type {Clock, Millis, ServiceName} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Metrics} from '../../observability/index.js';

/** Times the answer to one caller for the latency histograms. */
export class AnswerTimer {
  private lastAt: Millis;
  private readonly firstByte;
  private readonly gap;
  private isFirst = true;

  /**
   * @param clock - source of the time
   * @param metrics - where the times go
   * @param service - the service that answers
   * @param receivedAt - when the request came
   */
  constructor(
    private readonly clock: Clock,
    metrics: Metrics,
    service: ServiceName,
    receivedAt: Millis,
  ) {
    this.firstByte = metrics.firstByteSeconds.labels(service);
    this.gap = metrics.frameGapSeconds.labels(service);
    this.lastAt = receivedAt;
  }

  /** A piece of the answer goes to the caller. */
  piece(): void {
    const now = this.clock.now();
    const histogram = this.isFirst ? this.firstByte : this.gap;
    histogram.observe((now - this.lastAt) / SECOND);
    this.isFirst = false;
    this.lastAt = now;
  }
}
