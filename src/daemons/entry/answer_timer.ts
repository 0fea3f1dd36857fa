import type {Clock, Millis, ServiceName} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Metrics} from '../../observability/index.js';

/** Records time to first byte and gaps between chunks of one answer. */
export class AnswerTimer {
  private lastChunkAt: Millis;
  private readonly firstByte;
  private readonly frameGap;
  private isFirst = true;

  /**
   * @param clock - the clock
   * @param metrics - metrics of the process
   * @param service - the service that answers
   * @param receivedAt - when the request was received
   */
  constructor(
    private readonly clock: Clock,
    metrics: Metrics,
    service: ServiceName,
    receivedAt: Millis,
  ) {
    this.firstByte = metrics.firstByteSeconds.labels(service);
    this.frameGap = metrics.frameGapSeconds.labels(service);
    this.lastChunkAt = receivedAt;
  }

  /** Records that a chunk of the answer is sent to the caller. */
  recordChunk(): void {
    const now = this.clock.now();
    const histogram = this.isFirst ? this.firstByte : this.frameGap;
    histogram.observe((now - this.lastChunkAt) / SECOND);
    this.isFirst = false;
    this.lastChunkAt = now;
  }
}
