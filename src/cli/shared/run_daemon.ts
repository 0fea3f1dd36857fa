import {randomInt} from 'node:crypto';
import type {Writable} from 'node:stream';

import {Chance, SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {DaemonParts} from '../../daemons/shared/start_context.js';
import {describeError} from '../../errors/index.js';
import {SystemClock} from '../../observability/clock.js';
import {
  BoundedWriter,
  Metrics,
  ProcessEnd,
  createLogger,
} from '../../observability/index.js';
import type {LogLevel, Logger} from '../../observability/index.js';
import {EXIT, exitCodeOf} from './command.js';
import {DaemonLifecycle} from './daemon_lifecycle.js';
import type {LifecycleStep} from './daemon_lifecycle.js';

const MAX_SEED = 2 ** 31 - 1;
/** Maximum time for which a drain waits for the end of the start. */
const MAX_START_WAIT: Millis = 2 * SECOND;

/** Daemon that a command runs. */
export interface Daemon {
  /** Number of calls that end with the process. */
  readonly openCalls: number;
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

/** Signals and the exit of a process. */
export interface ProcessEvents {
  on(signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP', listener: () => void): unknown;
  on(event: 'exit', listener: (code: number) => void): unknown;
}

/** Runs a daemon from its start to its end. */
class DaemonRunner {
  private readonly lifecycle = new DaemonLifecycle();
  private startTimer: NodeJS.Timeout | undefined;

  /**
   * @param daemon - the daemon
   * @param ending - logs the end
   * @param logger - logs the signals
   */
  constructor(
    private readonly daemon: Daemon,
    private readonly ending: ProcessEnd,
    private readonly logger: Logger,
  ) {}

  /** Starts the daemon. */
  async start(): Promise<void> {
    try {
      await this.daemon.start();
    } catch (thrown) {
      const reason = describeError(thrown);
      this.logger.error('start_failed', {reason});
      // What a signal ends needs no start.
      if (!this.lifecycle.isTerminating) {
        await this.ending.end('start_failed', exitCodeOf(thrown), thrown);
      }
    }
    this.perform(this.lifecycle.onStartEnded());
  }

  /**
   * Handles a termination signal.
   * @param signal - its name
   */
  onSignal(signal: string): void {
    this.logger.info('termination_signal', {signal});
    this.perform(this.lifecycle.onSignal());
  }

  private perform(step: LifecycleStep): void {
    if (step === 'await_start') {
      const onTimeout = () => this.perform(this.lifecycle.onStartTimeout());
      this.startTimer = setTimeout(onTimeout, MAX_START_WAIT);
      return;
    }
    clearTimeout(this.startTimer);
    if (step === 'drain') void this.endAfter(() => this.daemon.drain());
    if (step === 'stop') void this.endAfter(() => this.daemon.stop());
  }

  private async endAfter(shutDown: () => Promise<void>): Promise<void> {
    try {
      await shutDown();
    } catch (thrown) {
      await this.ending.end('drain_failed', EXIT.failure, thrown);
    }
    const {isStopping} = this.lifecycle;
    await this.ending.end(isStopping ? 'stopped' : 'drained', EXIT.success);
  }
}

/**
 * Runs a daemon until a signal, also during its start: the first drains it, the
 * second stops it. Its last line says why it ended.
 * @param daemon - daemon to run
 * @param parts - clock and logger
 * @param events - signals and the exit of this process
 * @param out - output of the last line
 * @returns the exit code
 */
export function runDaemon(
  daemon: Daemon,
  {clock, logger}: Pick<DaemonParts, 'clock' | 'logger'>,
  events: ProcessEvents = process,
  out: Writable = process.stderr,
): Promise<number> {
  const writer = new BoundedWriter(out, clock);
  return new Promise(resolve => {
    const ending = new ProcessEnd({
      clock,
      writeLast: line => writer.writeLast(line),
      openRequests: () => daemon.openCalls,
      exit: resolve,
    });
    events.on('exit', code => ending.recordExit(code));
    const runner = new DaemonRunner(daemon, ending, logger);
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      events.on(signal, () => runner.onSignal(signal));
    }
    events.on('SIGHUP', () =>
      logger.info('reload_ignored', {
        reason: 'flags and variables are read at the start only',
      }),
    );
    void runner.start();
  });
}
