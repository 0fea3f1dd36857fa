/** Ends of the product's own daemons, as processes on loopback. */
import {once} from 'node:events';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {Processes} from './support/processes.js';
import type {TestProcess} from './support/processes.js';

let processes: Processes;

beforeEach(() => {
  processes = new Processes();
});
afterEach(() => processes.close());

/** Starts an entry whose log and VM list do not answer. */
function startEntry(...args: string[]): TestProcess {
  const shared = ['--vm', 'a', '--availability-zone', 'z', '--port', '0'];
  const urls = ['--log-url', 'http://127.0.0.1:9'];
  urls.push('--vm-list-url', 'http://127.0.0.1:9');
  const key = ['--link-key', 'k'.repeat(16)];
  return processes.cli('entry', ...shared, ...urls, ...key, ...args);
}

// The process ended with code 1 in its next line, with all open calls (FAULT).
it('a daemon whose log has lost its reader goes on, and drains', async () => {
  const entry = startEntry();
  await entry.waitForEvent('ready');
  const {child} = entry;
  child.stderr!.destroy();
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
});
