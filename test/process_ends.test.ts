/** Ends of the programs of the users' platform, as processes on loopback. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

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
/** Registrations of a step that fills a heap; their names take 1 MB. */
const STEP_UPSTREAMS = 500;
const NAME = 'n'.repeat(2_000);
/** Longer than the interval at which a process checks its memory. */
const CHECK_MS = 400;

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

async function countUpstreams({ports}: EntryProcess): Promise<number> {
  const res = await fetch(`http://127.0.0.1:${ports.operators}/status`);
  const status = (await res.json()) as {upstreams: object[]};
  return status.upstreams.length;
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

// An end at the heap limit leaves no line of its own, so the log has to tell before.
it('a process logs that its heap nears the limit', async () => {
  const heapMb = 32;
  const ports = await freePorts();
  const entry = new EntryProcess(estate.addressOfStore, ports, 5, {heapMb});
  processes.push(entry);
  await expect.poll(() => entry.hasLogged('ready'), STARTED).toBe(true);
  // In steps: a burst may fill the heap between two checks.
  for (let step = 1; !entry.hasLogged('memory_high'); step++) {
    expect(entry.hasEnded).toBe(false);
    for (let i = 0; i < STEP_UPSTREAMS; i++) {
      const key = `${NAME}-${step}-${i}`;
      estate.store.put('keyed.servers', key, {Service: 'app'});
    }
    // Registered last, and so known once the entry has read the step.
    await estate.addUpstream(({socket}) => socket.destroy());
    await expect.poll(() => countUpstreams(entry), STARTED).toBe(step);
    await pause(CHECK_MS);
  }
  expect(entry.hasEnded).toBe(false);
  const line = entry.lines.find(one => one['event'] === 'memory_high');
  expect(line).toMatchObject({kind: 'heap', limit_mb: `${heapMb}`, open: '0'});
  expect(Number(line!['heap_mb'])).toBeGreaterThan(0.7 * heapMb - 1);
}, 60_000);

// The operators' port is not needed to manage the map of a group, which stood still.
it('a sidecar starts without its port for operators', async () => {
  const {internal, operators} = await freePorts();
  const holder = createServer().listen(operators, '127.0.0.1');
  await once(holder, 'listening');
  const folder = mkdtempSync(join(tmpdir(), 'baobabspan-'));
  const boot = join(folder, 'boot.json');
  const settings = {
    vm: 'side-1',
    availabilityZone: 'a',
    ip: '127.0.0.1',
    internalPorts: [internal, internal],
    operatorPort: operators,
    upstream: '127.0.0.1:9',
    upstreamService: 'llm',
    store: estate.addressOfStore,
    retryRatio: 1,
    retryWindowS: 10,
    retrySlack: 1,
    graceS: 5,
  };
  writeFileSync(boot, JSON.stringify(settings));
  const child = spawn(process.execPath, [MAIN, 'sidecar'], {
    env: {...process.env, BAOBABSPAN_BOOT: boot},
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  let text = '';
  child.stdout.on('data', data => (text += String(data)));
  await expect.poll(() => text, STARTED).toContain('event=ready');
  await expect.poll(() => text, STARTED).toContain('event=port_taken');
  holder.close();
  await expect.poll(() => text, STARTED).toContain('event=port_bound');
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
  rmSync(folder, {recursive: true});
});

// A process that could not bind its port logged one line and was never ready (FAULT).
it('an entry whose port is taken says so on its page for operators', async () => {
  const ports = await freePorts();
  const holder = createServer().listen(ports.callers, '127.0.0.1');
  await once(holder, 'listening');
  const entry = new EntryProcess(estate.addressOfStore, ports);
  processes.push(entry);
  await expect.poll(() => entry.hasLogged('port_taken'), STARTED).toBe(true);
  const readStatus = async () => {
    const res = await fetch(`http://127.0.0.1:${ports.operators}/status`);
    return ((await res.json()) as {notReady?: string}).notReady;
  };
  await expect
    .poll(() => readStatus().catch(() => undefined), STARTED)
    .toBe('ports_not_bound');
  holder.close();
  await expect.poll(readStatus, STARTED).not.toBe('ports_not_bound');
});

describe('a settings file', () => {
  async function startEntry(): Promise<EntryProcess> {
    const entry = new EntryProcess(estate.addressOfStore, await freePorts());
    processes.push(entry);
    return entry;
  }

  // A process that started while its file was being written ended with code 1 (FAULT).
  it.each(['', '{"vm": "fro'])(
    'that reads %o is read again until it is whole',
    async text => {
      const entry = await startEntry();
      const whole = readFileSync(entry.boot, 'utf8');
      writeFileSync(entry.boot, text);
      await expect
        .poll(() => entry.hasLogged('settings_unreadable'), STARTED)
        .toBe(true);
      writeFileSync(entry.boot, whole);
      await expect.poll(() => entry.hasLogged('ready'), STARTED).toBe(true);
      expect(entry.hasEnded).toBe(false);
    },
  );

  // The changed settings were lost with the reload, until the next one.
  it('that is cut at a reload is read again until it is whole', async () => {
    const entry = await startEntry();
    await expect.poll(() => entry.hasLogged('ready'), STARTED).toBe(true);
    const changed = withRetryRatio(entry, 0.25);
    writeFileSync(entry.boot, changed.slice(0, 40));
    entry.child.kill('SIGHUP');
    await expect
      .poll(() => entry.hasLogged('settings_unreadable'), STARTED)
      .toBe(true);
    writeFileSync(entry.boot, changed);
    await expect.poll(() => ratioInForce(entry), STARTED).toBe('0.25');
    // The platform announces not every change by a signal.
    writeFileSync(entry.boot, withRetryRatio(entry, 0.125));
    await expect.poll(() => ratioInForce(entry), STARTED).toBe('0.125');
  });

  it('that is replaced as the process starts is in force in the end', async () => {
    const entry = await startEntry();
    await expect
      .poll(() => entry.catchesReload(), {interval: 1, timeout: 15_000})
      .toBe(true);
    writeFileSync(entry.boot, withRetryRatio(entry, 0.5));
    entry.child.kill('SIGHUP');
    await expect.poll(() => ratioInForce(entry), STARTED).toBe('0.5');
    await pause(200);
    expect(ratioInForce(entry)).toBe('0.5');
  });

  it('that is replaced while the process waits for its port is in force', async () => {
    const ports = await freePorts();
    const holder = createServer().listen(ports.callers, '127.0.0.1');
    await once(holder, 'listening');
    const entry = new EntryProcess(estate.addressOfStore, ports);
    processes.push(entry);
    await expect.poll(() => entry.hasLogged('port_taken'), STARTED).toBe(true);
    writeFileSync(entry.boot, withRetryRatio(entry, 0.75));
    entry.child.kill('SIGHUP');
    await expect.poll(() => ratioInForce(entry), STARTED).toBe('0.75');
    holder.close();
  });

  function withRetryRatio(entry: EntryProcess, retryRatio: number): string {
    const settings = JSON.parse(readFileSync(entry.boot, 'utf8')) as object;
    return JSON.stringify({...settings, retryRatio});
  }

  function ratioInForce({lines}: EntryProcess): string | undefined {
    return lines.findLast(line => line['ratio'] !== undefined)?.['ratio'];
  }
});
