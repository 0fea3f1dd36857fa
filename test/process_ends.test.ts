/** Ends of the programs of the users' platform, as processes on loopback. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {DirectEstate, ROUTES, sealedAnswer} from './support/direct_estate.js';
import {EntryProcess, MAIN, freePorts} from './support/entry_process.js';
import {parseLogLine} from './support/processes.js';

const STARTED = {timeout: 15_000};

let estate: DirectEstate;
const processes: EntryProcess[] = [];

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start(0);
  estate.configure(1, ROUTES);
});
afterEach(async () => {
  await Promise.all(processes.splice(0).map(one => one.end('SIGKILL')));
  await estate.close();
});

async function startReadyEntry(): Promise<EntryProcess> {
  await estate.addUpstream(({head, socket}) =>
    socket.write(sealedAnswer(head, 'done')),
  );
  const entry = new EntryProcess(estate.addressOfStore, await freePorts());
  processes.push(entry);
  await expect.poll(() => entry.isReady(), STARTED).toBe(true);
  return entry;
}

// Whoever looked for why a process had ended found no line.
describe('a process that ends', () => {
  it('logs a drain as its last line', async () => {
    const entry = await startReadyEntry();
    await entry.end('SIGTERM');
    expect(entry.child.exitCode).toBe(0);
    expect(entry.lines.at(-1)).toMatchObject({
      event: 'process_ended',
      reason: 'drained',
      code: '0',
      open: '0',
      uptime_s: expect.stringMatching(/^\d+$/) as string,
      rss_mb: expect.stringMatching(/^\d+$/) as string,
      heap_mb: expect.stringMatching(/^\d+$/) as string,
      external_mb: expect.stringMatching(/^\d+$/) as string,
    });
  });

  it('logs a start that fails as its last line', async () => {
    const child = spawn(process.execPath, [MAIN, 'entry'], {
      env: {PATH: process.env['PATH']},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    let text = '';
    child.stdout.on('data', data => (text += String(data)));
    const [code] = (await once(child, 'close')) as [number];
    expect(code).toBe(1);
    expect(parseLogLine(text.trim().split('\n').at(-1)!)).toMatchObject({
      event: 'process_ended',
      reason: 'start_failed',
      err: 'BAOBABSPAN_BOOT is not set',
    });
  });
});
