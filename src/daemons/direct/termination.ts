import type {Logger, ProcessEnd} from '../../observability/index.js';

/** Daemon that a termination signal drains. */
export interface DrainableDaemon {
  /** Finishes the accepted requests, then stops. */
  drain(): Promise<void>;
}

/** Drains a daemon on the first termination signal, and ends the process. */
export class Termination {
  private signals = 0;

  /**
   * @param ending - ends the process
   * @param logger - logs the signals
   */
  constructor(
    private readonly ending: ProcessEnd,
    private readonly logger: Logger,
  ) {}

  /** Whether a signal has arrived. */
  get hasBegun(): boolean {
    return this.signals > 0;
  }

  /**
   * Handles a termination signal. Only the first has an effect: a second drain
   * would accept requests for longer than the grace period lasts, and a stop would
   * cut responses that have their time.
   * @param signal - its name
   * @param daemon - the daemon; undefined before it exists
   */
  async onSignal(
    signal: string,
    daemon: DrainableDaemon | undefined,
  ): Promise<void> {
    this.signals += 1;
    const {signals: n} = this;
    const effect = n === 1 ? 'drain' : 'none';
    this.logger.info('termination_signal', {signal, n, effect});
    if (n > 1) return;
    try {
      await daemon?.drain();
    } catch (thrown) {
      await this.ending.end('drain_failed', 1, thrown);
      return;
    }
    await this.ending.end('drained', 0);
  }
}
