import type {Clock, Millis} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';

/** Tracks whether a dependency responds; logs each outage and recovery once. */
export class DependencyHealth {
  private unavailableSince: Millis | undefined;

  /**
   * @param name - prefix of the log events `<name>_lost` and `<name>_regained`
   * @param clock - measures the downtime
   * @param logger - logs outages and recoveries
   * @param labels - further log fields
   */
  constructor(
    private readonly name: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly labels: Readonly<Record<string, string>> = {},
  ) {}

  /** Whether the latest attempt failed. */
  get isUnavailable(): boolean {
    return this.unavailableSince !== undefined;
  }

  /**
   * Records a failed attempt.
   * @param reason - the reason
   */
  recordFailure(reason: string): void {
    if (this.isUnavailable) return;
    this.unavailableSince = this.clock.now();
    this.logger.warn(`${this.name}_lost`, {...this.labels, reason});
  }

  /**
   * Records a successful attempt.
   * @returns the downtime if this ends an outage, otherwise undefined
   */
  recordSuccess(): Millis | undefined {
    const {unavailableSince} = this;
    if (unavailableSince === undefined) return undefined;
    this.unavailableSince = undefined;
    const downtime = this.clock.now() - unavailableSince;
    this.logger.info(`${this.name}_regained`, {
      ...this.labels,
      after_ms: Math.round(downtime),
    });
    return downtime;
  }
}
