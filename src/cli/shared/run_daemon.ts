import {randomInt} from 'node:crypto';

import {Chance} from '../../core/index.js';
import type {DaemonParts} from '../../daemons/shared/start_context.js';
import {SystemClock} from '../../observability/clock.js';
import {Metrics, createLogger} from '../../observability/index.js';
import type {LogLevel} from '../../observability/index.js';
import {EXIT} from './command.js';

const MAX_SEED = 2 ** 31 - 1;

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

/**
 * Runs a daemon until a signal: the first drains it, the second stops it.
 * @param daemon - daemon to run
 * @returns the exit code
 */
export async function runDaemon(daemon: Daemon): Promise<number> {
  await daemon.start();
  await new Promise<void>((resolve, reject) => {
    let signals = 0;
    const onSignal = () => {
      signals += 1;
      if (signals === 1) daemon.drain().then(resolve, reject);
      if (signals === 2) daemon.stop().then(resolve, reject);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
  return EXIT.success;
}
