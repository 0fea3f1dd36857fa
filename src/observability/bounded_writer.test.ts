import {Writable} from 'node:stream';

import {describe, expect, it} from 'vitest';

import {Clock} from '../core/index.js';
import {BoundedWriter} from './bounded_writer.js';

class FakeClock extends Clock {
  at = 0;

  now(): number {
    return this.at;
  }

  wall(): number {
    return this.at;
  }
}

class Sink extends Writable {
  text = '';
  isStuck = false;

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString();
    if (!this.isStuck) done();
  }
}

describe('BoundedWriter', () => {
  // The process ended as the reader of its log went away (FAULT).
  it('drops lines once nothing reads the output', () => {
    const sink = new Sink();
    const writer = new BoundedWriter(sink, new FakeClock());
    writer.write('before');
    expect(() => sink.emit('error', new Error('EPIPE'))).not.toThrow();
    writer.write('after');
    expect(sink.text).toBe('before\n');
  });

  it('drops lines beyond its rate and reports their number', () => {
    const clock = new FakeClock();
    const sink = new Sink();
    const writer = new BoundedWriter(sink, clock);
    for (let i = 0; i < 5_000; i++) writer.write(`line ${i}`);
    expect(sink.text.split('\n').length - 1).toBe(1_000);
    clock.at = 1_000;
    writer.write('later');
    expect(sink.text).toContain('event=log_lines_dropped n=4000');
    expect(sink.text).toContain('later');
  });

  it('drops lines while the output is blocked', () => {
    const clock = new FakeClock();
    const sink = new Sink({highWaterMark: 64});
    sink.isStuck = true;
    const writer = new BoundedWriter(sink, clock);
    for (let i = 0; i < 500; i++) writer.write('x'.repeat(40));
    expect(sink.writableLength).toBeLessThan(200);
  });
});

// A line that tells of a heap near its limit was lost among 3,000 of another event.
it('a line of priority is written beyond the rate of the others', () => {
  const clock = new FakeClock();
  const sink = new Sink();
  const writer = new BoundedWriter(sink, clock);
  for (let i = 0; i < 1_002; i++) writer.write('x');
  writer.writePriority('danger');
  expect(sink.text).toMatch(/event=log_lines_dropped n=2\ndanger\n$/);
  for (let i = 0; i < 100; i++) writer.writePriority('again');
  expect(sink.text.match(/again/g)).toHaveLength(19);
  clock.at = 1_000;
  writer.writePriority('later');
  expect(sink.text).toMatch(/later\n$/);
});

describe('the last line of BoundedWriter', () => {
  // The reason of an end was dropped beyond the rate, or while the output was blocked.
  it('is written beyond the rate, after the number of dropped lines', async () => {
    const sink = new Sink();
    const writer = new BoundedWriter(sink, new FakeClock());
    for (let i = 0; i < 1_002; i++) writer.write('x');
    await writer.writeLast('last');
    expect(sink.text).toMatch(/event=log_lines_dropped n=2\nlast\n$/);
  });

  it('waits for the output, though not for long', async () => {
    const sink = new Sink({highWaterMark: 64});
    sink.isStuck = true;
    const writer = new BoundedWriter(sink, new FakeClock());
    writer.write('x'.repeat(100));
    let isDone = false;
    const last = writer.writeLast('last').then(() => (isDone = true));
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(isDone).toBe(false);
    await last;
  });

  it('does not wait for an output that nothing reads', async () => {
    const sink = new Sink();
    const writer = new BoundedWriter(sink, new FakeClock());
    sink.emit('error', new Error('EPIPE'));
    await writer.writeLast('last');
    expect(sink.text).toBe('');
  });
});
