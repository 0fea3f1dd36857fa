import {randomInt} from 'node:crypto';

import {Chance, SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {DaemonParts} from '../../daemons/shared/start_context.js';
import {SystemClock} from '../../observability/clock.js';
import {Metrics, createLogger} from '../../observability/index.js';
import type {LogLevel} from '../../observability/index.js';
import {EXIT} from './command.js';
import {DaemonLifecycle} from './daemon_lifecycle.js';
import type {LifecycleStep} from './daemon_lifecycle.js';

const MAX_SEED = 2 ** 31 - 1;
/** Maximum time for which a drain waits for the end of the start. */
const MAX_START_WAIT: Millis = 2 * SECOND;

/** Daemon that a command runs. */
export interface Daemon {
  start(): Promise<unknown>;
  drain(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Creates the clock, random source, logger and metrics of a daemon.
 * @param level - lowest level that is logged
 */
export function createDaemonParts(level: LogLevel): DaemonParts {
  // Without a listener a closed pipe would end the process with its calls.
  process.stderr.on('error', () => undefined);
  return {
    clock: new SystemClock(),
    chance: new Chance(randomInt(MAX_SEED)),
    logger: createLogger(level),
    metrics: new Metrics(),
  };
}

/** Source of termination signals. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
}

/** Runs a daemon from its start to its end. */
class DaemonRunner {
  private readonly lifecycle = new DaemonLifecycle();
  private startTimer: NodeJS.Timeout | undefined;

  /**
   * @param daemon - the daemon
   * @param resolve - called once it has ended
   * @param reject - called with the exception that ends it
   */
  constructor(
    private readonly daemon: Daemon,
    private readonly resolve: () => void,
    private readonly reject: (thrown: unknown) => void,
  ) {}

  /** Starts the daemon. */
  async start(): Promise<void> {
    try {
      await this.daemon.start();
    } catch (thrown) {
      // What a signal ends needs no start.
      if (!this.lifecycle.isTerminating) return this.reject(thrown);
    }
    this.perform(this.lifecycle.onStartEnded());
  }

  /** Handles a termination signal. */
  onSignal(): void {
    this.perform(this.lifecycle.onSignal());
  }

  private perform(step: LifecycleStep): void {
    if (step === 'await_start') {
      const onTimeout = () => this.perform(this.lifecycle.onStartTimeout());
      this.startTimer = setTimeout(onTimeout, MAX_START_WAIT);
      return;
    }
    clearTimeout(this.startTimer);
    if (step === 'drain') this.daemon.drain().then(this.resolve, this.reject);
    if (step === 'stop') this.daemon.stop().then(this.resolve, this.reject);
  }
}

/**
 * Runs a daemon until a signal, also during its start: the first drains it, the
 * second stops it.
 * @param daemon - daemon to run
 * @param signals - source of the signals
 * @returns the exit code
 */
export async function runDaemon(
  daemon: Daemon,
  signals: SignalSource = process,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    const runner = new DaemonRunner(daemon, resolve, reject);
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      signals.on(signal, () => runner.onSignal());
    }
    void runner.start();
  });
  return EXIT.success;
}
