/** Ends of the programs of the users' platform, as processes on loopback. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';
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

describe('a termination signal', () => {
  // A second one began another drain: requests were accepted that could not finish.
  it('logs its end, and does not drain anew when it comes again', async () => {
    const entry = await startReadyEntry();
    const exit = once(entry.child, 'exit');
    entry.child.kill('SIGTERM');
    await pause(2_000);
    entry.child.kill('SIGTERM');
    await pause(900);
    const {status} = await estate.callAt(entry.callers, '/load/1');
    expect(status).toBe(503);
    expect(await exit).toEqual([0, null]);
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

  // Nobody had been sent there, and the process held its ports for another 3.5 s.
  it.each<NodeJS.Signals>(['SIGTERM', 'SIGINT'])(
    '(%s) ends a process at once that waits for its port',
    async signal => {
      const ports = await freePorts();
      const holder = createServer().listen(ports.readiness, '127.0.0.1');
      await once(holder, 'listening');
      const entry = new EntryProcess(estate.addressOfStore, ports);
      processes.push(entry);
      await expect
        .poll(() => entry.hasLogged('port_taken'), STARTED)
        .toBe(true);
      const signalledAt = performance.now();
      await entry.end(signal);
      holder.close();
      expect(performance.now() - signalledAt).toBeLessThan(2_000);
      expect(entry.child.exitCode).toBe(0);
      expect(entry.lines.at(-1)).toMatchObject({reason: 'drained'});
    },
  );
});
