import {expect, it} from 'vitest';

import {Clock} from '../core/index.js';
import {Containment} from './containment.js';
import {createLogger} from './logger.js';
import {Metrics} from './metrics.js';
import {ProcessEnd} from './process_end.js';
import {MemoryWatch} from './process_memory.js';
import type {MemoryUse} from './process_memory.js';

const MB = 2 ** 20;

class FakeClock extends Clock {
  at = 0;

  now(): number {
    return this.at;
  }

  wall(): number {
    return this.at;
  }
}

// Whoever looked for why a process had ended found no line.
it('logs the reason of an end once, before the process exits', async () => {
  const clock = new FakeClock();
  const events: string[] = [];
  const ending = new ProcessEnd({
    clock,
    writeLast: line => {
      events.push(line.replace(/^time=\S+ /, ''));
      return Promise.resolve();
    },
    openRequests: () => 3,
    exit: code => events.push(`exit ${code}`),
    readMemoryUse: () => ({rss: 90 * MB, heap: 40 * MB, external: 5 * MB}),
  });
  clock.at = 12_000;
  await ending.end('drain_failed', 1, new Error('boom'));
  await ending.end('drained', 0);
  ending.recordExit(1);
  expect(events).toEqual([
    'level=error event=process_ended reason=drain_failed code=1 err=boom ' +
      'uptime_s=12 open=3 rss_mb=90 heap_mb=40 external_mb=5',
    'exit 1',
  ]);
});

// An end by a memory limit leaves no line, so the approach has to.
it('logs each share of a memory limit that is crossed, at most once in 10 s', async () => {
  const metrics = new Metrics();
  const lines: string[] = [];
  let use: MemoryUse = {rss: 0, heap: 0, external: 0};
  const logger = createLogger('info', line => lines.push(line));
  const watch = new MemoryWatch(
    {heap: 100 * MB, rss: 200 * MB},
    new FakeClock(),
    logger,
    new Containment(logger, metrics),
    metrics,
    () => 7,
    () => use,
  );
  const checkHeap = (now: number, mb: number) => {
    use = {rss: 2 * MB, heap: mb * MB, external: MB};
    watch.check(now);
  };
  checkHeap(0, 50);
  checkHeap(250, 75);
  checkHeap(500, 95);
  for (let at = 750; at < 9_000; at += 500) {
    checkHeap(at, 60);
    checkHeap(at + 250, 75);
  }
  expect(lines.map(line => line.replace(/^time=\S+ /, ''))).toEqual([
    'level=warn event=memory_high kind=heap percent=70 limit_mb=100 rss_mb=2 ' +
      'heap_mb=75 external_mb=1 open=7',
    'level=warn event=memory_high kind=heap percent=90 limit_mb=100 rss_mb=2 ' +
      'heap_mb=95 external_mb=1 open=7',
  ]);
  use = {rss: 190 * MB, heap: 0, external: 0};
  watch.check(10_000);
  expect(lines.at(-1)).toContain('kind=rss percent=90 limit_mb=200');
  checkHeap(10_250, 70);
  expect(lines).toHaveLength(4);
  const text = await metrics.registry.metrics();
  expect(text).toContain('baobabspan_process_memory_bytes{kind="heap_limit"}');
  expect(text).toContain('{kind="rss",percent="90"} 1');
});
