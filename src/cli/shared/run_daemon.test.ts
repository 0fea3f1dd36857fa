import {EventEmitter} from 'node:events';
import {PassThrough} from 'node:stream';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  SILENT_LOGGER,
  SystemClock,
  createLogger,
} from '../../observability/index.js';
import {runDaemon} from './run_daemon.js';
import type {Daemon} from './run_daemon.js';

const PARTS = {clock: new SystemClock(), logger: SILENT_LOGGER};

/** Daemon whose start ends when the test says so. */
class FakeDaemon implements Daemon {
  openCalls = 0;
  readonly calls: string[] = [];
  endStart!: () => void;
  failStart!: (thrown: Error) => void;
  private endDrain!: () => void;

  start(): Promise<void> {
    this.calls.push('start');
    return new Promise((resolve, reject) => {
      this.endStart = resolve;
      this.failStart = reject;
    });
  }

  drain(): Promise<void> {
    this.calls.push('drain');
    return new Promise(resolve => (this.endDrain = resolve));
  }

  stop(): Promise<void> {
    this.calls.push('stop');
    return Promise.resolve();
  }

  async finishDrain(): Promise<void> {
    await vi.waitUntil(() => this.calls.includes('drain'));
    this.endDrain();
  }
}

// The process ended by the signal, without a drain: its handlers came after the start.
describe('a termination signal during the start of a daemon', () => {
  let daemon: FakeDaemon;
  let signals: EventEmitter;
  let code: Promise<number>;

  beforeEach(() => {
    daemon = new FakeDaemon();
    signals = new EventEmitter();
    code = runDaemon(daemon, PARTS, signals, new PassThrough());
  });
  afterEach(() => vi.useRealTimers());

  it('drains it once it has started', async () => {
    expect(signals.emit('SIGTERM')).toBe(true);
    expect(daemon.calls).toEqual(['start']);
    daemon.endStart();
    await daemon.finishDrain();
    expect(await code).toBe(0);
    expect(daemon.calls).toEqual(['start', 'drain']);
  });

  it('drains it when the start fails', async () => {
    signals.emit('SIGTERM');
    daemon.failStart(new Error('no port'));
    await daemon.finishDrain();
    expect(await code).toBe(0);
  });

  it('drains it when the start does not end', async () => {
    vi.useFakeTimers();
    signals.emit('SIGINT');
    await vi.advanceTimersByTimeAsync(2_000);
    await daemon.finishDrain();
    expect(await code).toBe(0);
    expect(daemon.calls).toEqual(['start', 'drain']);
  });

  it('stops it when a second one follows', async () => {
    signals.emit('SIGTERM');
    signals.emit('SIGINT');
    expect(await code).toBe(0);
    daemon.endStart();
    await Promise.resolve();
    expect(daemon.calls).toEqual(['start', 'stop']);
  });
});

// Whoever looked for why a daemon had ended found no line.
describe('the last line of a daemon', () => {
  let daemon: FakeDaemon;
  let events: EventEmitter;
  let code: Promise<number>;
  let last: string;

  beforeEach(() => {
    daemon = new FakeDaemon();
    events = new EventEmitter();
    const out = new PassThrough({encoding: 'utf8'});
    last = '';
    out.on('data', (text: string) => (last += text));
    code = runDaemon(daemon, PARTS, events, out);
  });

  it('says that it was drained', async () => {
    daemon.endStart();
    events.emit('SIGTERM');
    await daemon.finishDrain();
    expect(await code).toBe(0);
    expect(last).toContain('event=process_ended reason=drained code=0');
  });

  it('says what a second signal cut', async () => {
    daemon.endStart();
    daemon.openCalls = 3;
    events.emit('SIGTERM');
    events.emit('SIGTERM');
    expect(await code).toBe(0);
    expect(last).toMatch(/reason=stopped code=0 uptime_s=0 open=3 /);
  });

  it('says that its start failed', async () => {
    daemon.failStart(new Error('no port'));
    expect(await code).toBe(1);
    expect(last).toContain('reason=start_failed code=1 err="no port"');
  });

  it('says that it exited otherwise', () => {
    events.emit('exit', 7);
    expect(last).toContain('reason=exited code=7');
  });
});

// A reload, as its supervisor sends one to any daemon, ended the process (FAULT).
it('a daemon goes on after SIGHUP', async () => {
  const events = new EventEmitter();
  const lines: string[] = [];
  const logger = createLogger('info', line => lines.push(line));
  const daemon = new FakeDaemon();
  void runDaemon(daemon, {...PARTS, logger}, events, new PassThrough());
  expect(events.emit('SIGHUP')).toBe(true);
  daemon.endStart();
  expect(events.emit('SIGHUP')).toBe(true);
  await Promise.resolve();
  expect(daemon.calls).toEqual(['start']);
  expect(lines.filter(one => one.includes('reload_ignored'))).toHaveLength(2);
});
