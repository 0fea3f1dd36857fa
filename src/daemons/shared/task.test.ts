import {start} from 'nact';
import {describe, expect, it} from 'vitest';

import {SILENT_LOGGER, createLogger} from '../../observability/index.js';
import {Task} from './task.js';

const MESSAGES = 1_000;
/** Limit of event loop turns for all messages. */
const MAX_TURNS = 20;

class Recorder extends Task<number> {
  readonly seen: number[] = [];

  protected async receive(message: number): Promise<void> {
    if (message < 0) throw new Error('fault');
    // The order must hold while a handler is suspended.
    if (message % 100 === 0) await Promise.resolve();
    this.seen.push(message);
    if (message === 7) this.post(-7);
  }
}

const numbers = Array.from({length: MESSAGES}, (_, at) => at);
const nextTurn = () => new Promise(resolve => setImmediate(resolve));

async function turnsUntil(done: () => boolean): Promise<number> {
  let turns = 0;
  while (!done()) {
    await nextTurn();
    turns += 1;
  }
  return turns;
}

describe('Task', () => {
  it('handles queued messages in order within a few turns', async () => {
    const task = new Recorder(start('task_order'), 'recorder', SILENT_LOGGER);
    numbers.forEach(at => task.post(at));
    const turns = await turnsUntil(() => task.seen.length === MESSAGES);
    expect(task.seen).toEqual(numbers);
    expect(turns).toBeLessThan(MAX_TURNS);
  });

  it('drops only the message whose handler throws, and logs the error', async () => {
    const lines: string[] = [];
    const logger = createLogger('error', line => void lines.push(line));
    const task = new Recorder(start('task_fault'), 'recorder', logger);
    [1, -1, 2].forEach(at => task.post(at));
    await turnsUntil(() => task.seen.length === 2);
    expect(task.seen).toEqual([1, 2]);
    expect(lines).toEqual([expect.stringContaining('event=task_fault')]);
  });

  it('yields to other tasks while messages are queued', async () => {
    const system = start('task_turns');
    const busy = new Recorder(system, 'busy', SILENT_LOGGER);
    const other = new Recorder(system, 'other', SILENT_LOGGER);
    numbers.forEach(at => busy.post(at));
    other.post(1);
    await turnsUntil(() => other.seen.length === 1);
    expect(busy.seen.length).toBeLessThan(MESSAGES);
  });

  it('drops queued messages when it is stopped', async () => {
    const task = new Recorder(start('task_stop'), 'recorder', SILENT_LOGGER);
    task.post(1);
    task.stop();
    task.post(2);
    await nextTurn();
    await nextTurn();
    expect(task.seen).toEqual([]);
  });
});
