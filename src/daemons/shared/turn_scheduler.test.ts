import {beforeEach, describe, expect, it} from 'vitest';

import {TurnScheduler} from './turn_scheduler.js';

/** Requests that may begin before other connections get their turn. */
const MAX_BLOCK = 32;

let passes: (() => void)[];
let turns: TurnScheduler;
let begun: string[];

/** Begins requests of a connection one after another, each as the last is sent. */
function pipeline(name: string, count: number): void {
  if (count === 0) return;
  turns.schedule(() => {
    begun.push(name);
    pipeline(name, count - 1);
  });
}

/** Plays one pass of the event loop; returns the requests begun in it. */
function playPass(): string[] {
  const before = begun.length;
  passes.splice(0).forEach(pass => pass());
  return begun.slice(before);
}

beforeEach(() => {
  passes = [];
  begun = [];
  turns = new TurnScheduler(callback => passes.push(callback));
});

// A sound caller waited for seconds while 30,000 requests of another one began.
describe('TurnScheduler', () => {
  it('begins few of 30,000 pipelined requests in a pass', () => {
    pipeline('flood', 30_000);
    expect(begun.length).toBeLessThanOrEqual(MAX_BLOCK);
    while (passes.length > 0)
      expect(playPass().length).toBeLessThanOrEqual(MAX_BLOCK);
    expect(begun.length).toBe(30_000);
  });

  it('lets the connections take turns', () => {
    for (let i = 0; i < 10; i++) pipeline(`flood-${i}`, 1_000);
    pipeline('sound', 2);
    playPass();
    playPass();
    expect(begun.filter(name => name === 'sound').length).toBe(2);
    for (let i = 0; i < 20; i++) playPass();
    const counts = Array.from(
      {length: 10},
      (_, i) => begun.filter(name => name === `flood-${i}`).length,
    );
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(32);
  });

  it('begins a turn at once in an idle process, and arms nothing without one', () => {
    pipeline('sound', 1);
    expect(begun).toEqual(['sound']);
    expect(playPass()).toEqual([]);
    expect(passes).toEqual([]);
  });

  it('goes on with the other turns after one that fails', () => {
    pipeline('flood', 100);
    turns.schedule(() => {
      throw new Error('broken');
    });
    pipeline('sound', 1);
    for (let i = 0; i < 20; i++) {
      try {
        playPass();
      } catch {
        // Node contains it to the callback.
      }
    }
    expect(begun.filter(name => name === 'flood').length).toBe(100);
    expect(begun).toContain('sound');
  });
});
