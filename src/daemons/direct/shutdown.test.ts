import {Writable} from 'node:stream';

import {expect, it, vi} from 'vitest';

import {Clock} from '../../core/index.js';
import {
  BoundedWriter,
  Containment,
  Metrics,
  ProcessEnd,
  SILENT_LOGGER,
  SystemClock,
  createLogger,
} from '../../observability/index.js';
import type {FrontServer} from './front_server.js';
import {Shutdown} from './shutdown.js';
import {Termination} from './termination.js';

/** Shorter than the time that a shutdown keeps before the end of the process. */
const NO_GRACE = 100;

/** Clock of the timers that a test moves. */
class FakeClock extends Clock {
  now(): number {
    return Date.now();
  }

  wall(): number {
    return Date.now();
  }
}

/** Output that takes no line. */
class BlockedOutput extends Writable {
  override _write(): void {}
}

class FakeFront {
  openRequests = 2;
  readonly calls: string[] = [];

  closeAfterResponses(): void {
    this.calls.push('closeAfterResponses');
  }

  closeIdle(): void {
    this.calls.push('closeIdle');
  }

  markEnding(): void {
    this.calls.push('markEnding');
  }

  cutOpen(): void {
    this.calls.push('cutOpen');
  }
}

// An exception of one request kept the others from their responses, and the process
// from its end.
it('answers the other requests when one cannot be shut down', async () => {
  const front = new FakeFront();
  const shutdown = new Shutdown(
    front as unknown as FrontServer,
    new SystemClock(),
    SILENT_LOGGER,
    new Containment(SILENT_LOGGER, new Metrics()),
  );
  let answered = 0;
  const fails = {
    shutDown: () => {
      throw new Error('boom');
    },
  };
  const ends = {shutDown: () => (answered += 1)};
  await shutdown.drain(NO_GRACE, new Set([fails, ends]));
  expect(answered).toBe(1);
  expect(front.calls.at(-1)).toBe('cutOpen');
});

// With a log that nobody read the process was killed before its last line.
it('leaves the process time to end before it is killed', async () => {
  vi.useFakeTimers();
  const clock = new FakeClock();
  const front = new FakeFront();
  const shutdown = new Shutdown(
    front as unknown as FrontServer,
    clock,
    SILENT_LOGGER,
    new Containment(SILENT_LOGGER, new Metrics()),
  );
  const grace = 1_050;
  const startedAt = clock.now();
  let endedAt = Infinity;
  const ending = new ProcessEnd({
    clock,
    writeLast: line =>
      new BoundedWriter(new BlockedOutput(), clock).writeLast(line),
    openRequests: () => 0,
    exit: () => (endedAt = clock.now()),
  });
  const draining = shutdown
    .drain(grace, new Set())
    .then(() => ending.end('drained', 0));
  await vi.advanceTimersByTimeAsync(2 * grace);
  vi.useRealTimers();
  await draining;
  expect(endedAt - startedAt).toBeLessThan(grace);
});

// A drain that failed left the process running until it was killed.
it('ends the process when its drain fails, and drains it once', async () => {
  const ends: string[] = [];
  const ending = new ProcessEnd({
    clock: new SystemClock(),
    writeLast: line => {
      ends.push(/reason=(\S+)/.exec(line)?.[1] ?? '');
      return Promise.resolve();
    },
    openRequests: () => 0,
    exit: code => ends.push(`exit ${code}`),
  });
  const lines: string[] = [];
  const logger = createLogger('info', line => lines.push(line));
  const termination = new Termination(ending, logger);
  let drains = 0;
  const daemon = {
    drain: () => {
      drains += 1;
      return Promise.reject(new Error('boom'));
    },
  };
  const first = termination.onSignal('SIGTERM', daemon);
  await termination.onSignal('SIGINT', daemon);
  await first;
  expect(drains).toBe(1);
  expect(ends).toEqual(['drain_failed', 'exit 1']);
  expect(lines.map(line => /event=.*/.exec(line)?.[0])).toEqual([
    'event=termination_signal signal=SIGTERM n=1 effect=drain',
    'event=termination_signal signal=SIGINT n=2 effect=none',
  ]);
});
