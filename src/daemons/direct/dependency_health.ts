import type {Clock, Millis} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';

/** Whether a dependency answers; logs each loss and each return once. */
export class DependencyHealth {
  private lostAt: Millis | undefined;

  /**
   * @param name - begins the events: `<name>_lost`, `<name>_regained`
   * @param clock - tells how long it was lost
   * @param logger - where to
   * @param labels - what the lines say besides
   */
  constructor(
    private readonly name: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly labels: Readonly<Record<string, string>> = {},
  ) {}

  /** Whether the newest attempt failed. */
  get isUnavailable(): boolean {
    return this.lostAt !== undefined;
  }

  /**
   * An attempt failed.
   * @param reason - why
   */
  recordFailure(reason: string): void {
    if (this.isUnavailable) return;
    this.lostAt = this.clock.now();
    this.logger.warn(`${this.name}_lost`, {...this.labels, reason});
  }

  /**
   * An attempt went well.
   * @returns for how long it was lost, if it was
   */
  recordSuccess(): Millis | undefined {
    const {lostAt} = this;
    if (lostAt === undefined) return undefined;
    this.lostAt = undefined;
    const downtime = this.clock.now() - lostAt;
    this.logger.info(`${this.name}_regained`, {
      ...this.labels,
      after_ms: Math.round(downtime),
    });
    return downtime;
  }
}
