import {EventEmitter} from 'node:events';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {runDaemon} from './run_daemon.js';
import type {Daemon} from './run_daemon.js';

/** Daemon whose start ends when the test says so. */
class FakeDaemon implements Daemon {
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
    code = runDaemon(daemon, signals);
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

it('a start that fails fails the command', async () => {
  const daemon = new FakeDaemon();
  const code = runDaemon(daemon, new EventEmitter());
  daemon.failStart(new Error('no port'));
  await expect(code).rejects.toThrow('no port');
});
