import {beforeEach, describe, expect, it} from 'vitest';

import {CallerMemory} from './caller_memory.js';

const MB = 2 ** 20;
const LIMITS = {
  pauseAt: 2 * MB,
  closeAt: 3 * MB,
  ownPart: MB / 16,
  pipeliningFrom: MB / 32,
};

class Connection {
  resumed = 0;
  constructor(readonly name: string) {}
}

let memory: CallerMemory<Connection>;
const [small, middle, large] = ['small', 'middle', 'large'].map(
  name => new Connection(name),
) as [Connection, Connection, Connection];

const pause = (one: Connection) => memory.pause(one, () => (one.resumed += 1));

beforeEach(() => {
  memory = new CallerMemory(LIMITS);
  for (const one of [small, middle, large]) one.resumed = 0;
});

describe('CallerMemory', () => {
  it('sums what its connections hold', () => {
    memory.add(small, 10);
    memory.add(large, 30);
    memory.remove(large, 5);
    expect([memory.usedBytes, memory.heldBy(large)]).toEqual([35, 25]);
    memory.removeHolder(large);
    expect([memory.usedBytes, memory.heldBy(large)]).toEqual([10, 0]);
  });

  it('takes back no more than a connection was charged', () => {
    memory.add(small, 10);
    memory.add(large, 10);
    memory.remove(small, 15);
    expect(memory.usedBytes).toBe(10);
  });

  it('reads the connections within their own part alone while it is scarce', () => {
    memory.add(large, 2 * MB);
    memory.add(small, 1);
    expect(memory.mayRead(large)).toBe(false);
    expect(memory.mayRead(small)).toBe(true);
    memory.add(large, MB);
    expect(memory.mayRead(small)).toBe(false);
  });

  it('names the connection that holds most once it is exceeded', () => {
    memory.add(large, 2 * MB);
    memory.add(middle, MB);
    expect(memory.excessHolder).toBeUndefined();
    memory.add(small, 1);
    expect(memory.excessHolder).toBe(large);
    memory.removeHolder(large);
    expect(memory.excessHolder).toBeUndefined();
  });

  // A sound caller was closed for the pipelined requests of others.
  it('closes those of 300 with 100 requests each that hold most before eight large bodies', () => {
    const budget = new CallerMemory<Connection>();
    const bodies = Array.from({length: 8}, () => new Connection('body'));
    for (const one of bodies) {
      budget.add(one, 12 * 2 ** 10);
      budget.add(one, 3.9 * MB, 'bodies');
    }
    let flood = Array.from({length: 300}, () => new Connection('flood'));
    const closed: string[] = [];
    for (let i = 0; i < 100; i++) {
      for (const one of flood) {
        budget.add(one, 12 * 2 ** 10);
        const excess = budget.excessHolder;
        if (excess === undefined) continue;
        closed.push(excess.name);
        budget.removeHolder(excess);
        flood = flood.filter(other => other !== excess);
      }
    }
    expect(closed.length).toBeGreaterThan(200);
    expect(closed).not.toContain('body');
  });

  it('closes a large body before connections with single requests', () => {
    memory.add(large, 2 * MB, 'bodies');
    for (let i = 0; i < 1_000; i++) memory.add(new Connection(`${i}`), 2 ** 10);
    expect(memory.excessHolder).toBeUndefined();
    for (let i = 0; i < 100; i++) memory.add(new Connection(`${i}`), 2 ** 10);
    expect(memory.excessHolder).toBe(large);
  });

  it('resumes in order as many connections as one read of each fits', () => {
    memory.add(large, 2 * MB);
    const waiting = Array.from({length: 5}, (_, i) => new Connection(`${i}`));
    waiting.forEach(pause);
    memory.remove(large, MB / 8);
    expect(waiting.map(one => one.resumed)).toEqual([1, 1, 0, 0, 0]);
    memory.resumePaused();
    expect(waiting.map(one => one.resumed)).toEqual([1, 1, 1, 1, 0]);
    memory.resumePaused();
    memory.resumePaused();
    expect(waiting.map(one => one.resumed)).toEqual([1, 1, 1, 1, 1]);
    expect(memory.pausedCount).toBe(0);
  });

  it('resumes a connection within its own part while it is scarce', () => {
    memory.add(large, 2 * MB);
    memory.add(small, MB / 8);
    pause(small);
    memory.remove(small, MB / 32);
    expect(small.resumed).toBe(0);
    memory.remove(small, MB / 16);
    expect(small.resumed).toBe(1);
  });

  it('does not resume a connection that has closed or is read again', () => {
    memory.add(large, 3 * MB);
    pause(small);
    pause(middle);
    memory.unpause(small);
    memory.removeHolder(middle);
    memory.removeHolder(large);
    expect([small.resumed, middle.resumed]).toEqual([0, 0]);
  });

  // A return of bytes looked at each paused connection.
  it('returns bytes in a time that does not grow with the paused connections', () => {
    memory.add(large, 2 * MB);
    let asked = 0;
    for (let i = 0; i < 10_000; i++) {
      const one = new Connection(`${i}`);
      memory.pause(one, () => (asked += 1));
    }
    memory.add(small, 1_000);
    for (let i = 0; i < 1_000; i++) memory.remove(small, 1);
    expect(asked).toBe(0);
    memory.remove(large, 1);
    expect(asked).toBe(1);
  });
});
