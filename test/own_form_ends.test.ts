/** Ends of the product's own daemons, as processes on loopback. */
import {EventEmitter, once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {runDaemon} from '../src/cli/shared/run_daemon.js';
import type {Daemon} from '../src/cli/shared/run_daemon.js';
import {
  Chance,
  availabilityZone,
  serviceName,
  vmName,
} from '../src/core/index.js';
import {Entry} from '../src/daemons/entry/index.js';
import {Sidecar} from '../src/daemons/sidecar/index.js';
import {
  Metrics,
  SystemClock,
  createLogger,
} from '../src/observability/index.js';
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

// The process ended by the signal, with all open calls (FAULT).
it('a daemon goes on after SIGHUP', async () => {
  const entry = startEntry();
  await entry.waitForEvent('ready');
  entry.child.kill('SIGHUP');
  await entry.waitForEvent('reload_ignored');
  const exit = once(entry.child, 'close');
  entry.child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
});

// Whoever looked for why a daemon had ended found no line.
it('a daemon logs that it was drained in its last line', async () => {
  const entry = startEntry();
  await entry.waitForEvent('ready');
  const exit = once(entry.child, 'close');
  entry.child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
  expect(entry.lines.at(-1)).toMatchObject({
    event: 'process_ended',
    reason: 'drained',
    code: '0',
    open: '0',
  });
});

it('a daemon whose port is taken logs it in its last line', async () => {
  const holder = createServer().listen(0, '127.0.0.1');
  await once(holder, 'listening');
  const {port} = holder.address() as AddressInfo;
  const entry = startEntry('--link-port', String(port));
  expect(await once(entry.child, 'close')).toEqual([2, null]);
  holder.close();
  expect(entry.lines.at(-1)).toMatchObject({
    event: 'process_ended',
    reason: 'start_failed',
    code: '2',
  });
});

// It ended by the signal, whose handler came after the start (FAULT).
describe('a signal amid the start of a daemon', () => {
  const settings = {
    vm: vmName('a'),
    availabilityZone: availabilityZone('z'),
    host: '127.0.0.1',
    port: 0,
    operatorPort: 0,
    linkPort: 0,
    linkKey: 'k'.repeat(16),
    logUrl: 'http://127.0.0.1:9',
    vmListUrl: 'http://127.0.0.1:9',
    service: serviceName('depot'),
    upstreamUrl: 'http://127.0.0.1:9',
    drainTimeout: 5_000,
  };

  it.each([
    ['an entry', Entry],
    ['a sidecar', Sidecar],
  ])('drains %s once it has started', async (_name, DaemonType) => {
    const events: string[] = [];
    const logger = createLogger('info', line =>
      events.push(/event=(\S+)/.exec(line)?.[1] ?? ''),
    );
    const clock = new SystemClock();
    const parts = {
      clock,
      logger,
      chance: new Chance(1),
      metrics: new Metrics(),
    };
    const daemon: Daemon = new DaemonType(settings, parts);
    const signals = new EventEmitter();
    const code = runDaemon(daemon, parts, signals, new PassThrough());
    signals.emit('SIGTERM');
    expect(await code).toBe(0);
    const kept = ['ready', 'draining', 'leaving', 'stopped'];
    expect(events.filter(one => kept.includes(one))).toEqual([
      'ready',
      DaemonType === Entry ? 'draining' : 'leaving',
      'stopped',
    ]);
  });
});
