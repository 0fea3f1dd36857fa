/** What a daemon has to do after an event of its lifecycle. */
export type LifecycleStep =
  | 'none'
  /** To drain once the start has ended, or after `MAX_START_WAIT`. */
  | 'await_start'
  | 'drain'
  | 'stop';

/**
 * Decides what termination signals do to a daemon: the first one drains it, the
 * second one stops it. A drain waits for the end of the start, as a listener that is
 * open already may have accepted work while the next one is being opened.
 */
export class DaemonLifecycle {
  private signals = 0;
  private hasStarted = false;
  private hasDrained = false;

  /** Whether a termination signal has arrived. */
  get isTerminating(): boolean {
    return this.signals > 0;
  }

  /** Whether a second one has arrived. */
  get isStopping(): boolean {
    return this.signals > 1;
  }

  /** Records a termination signal. */
  onSignal(): LifecycleStep {
    this.signals += 1;
    if (this.signals === 2) return 'stop';
    if (this.signals > 2) return 'none';
    return this.hasStarted ? this.drainOnce() : 'await_start';
  }

  /** Records the end of the start, whether it failed or not. */
  onStartEnded(): LifecycleStep {
    this.hasStarted = true;
    return this.signals === 1 ? this.drainOnce() : 'none';
  }

  /** Records that the start did not end in time after a termination signal. */
  onStartTimeout(): LifecycleStep {
    return this.signals === 1 ? this.drainOnce() : 'none';
  }

  private drainOnce(): LifecycleStep {
    if (this.hasDrained) return 'none';
    this.hasDrained = true;
    return 'drain';
  }
}
