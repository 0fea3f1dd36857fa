import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {constants, mkdtempSync, openSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  event,
  pause,
  requestIdOf,
  ROUTES,
  sealedAnswer,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';
import {EntryProcess, MAIN, freePorts} from './support/entry_process.js';
import type {EntryPorts} from './support/entry_process.js';

/** Answers each request at once. */
const DONE: Script = ({head, socket}) =>
  socket.write(sealedAnswer(head, 'done'));

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

/** Listens on a port in the place of the entry that will need it. */
async function holdPort(port: number): Promise<Server> {
  const holder = createServer(socket => socket.destroy());
  holder.listen(port, '127.0.0.1');
  await once(holder, 'listening');
  return holder;
}

function startEntry(ports: EntryPorts): EntryProcess {
  const entry = new EntryProcess(estate.addressOfStore, ports);
  processes.push(entry);
  return entry;
}

async function startReadyEntry(): Promise<EntryProcess> {
  const entry = startEntry(await freePorts());
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
  return entry;
}

// A kill closes connections in order: a stream that ended with its connection looked
// complete to its caller (ORDER).
describe('an entry that is killed amid a response without a length', () => {
  it('leaves a stream incomplete for its caller', async () => {
    await estate.addUpstream(({head, socket}) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
          `Response-Seal: s\r\nConnection: close\r\n\r\n${event(1)}`,
      );
    });
    const entry = await startReadyEntry();
    const answer = estate.callAt(entry.callers, '/plan/1');
    await pause(500);
    await entry.end('SIGKILL');
    expect(await answer).toMatchObject({status: 200, isWhole: false});
  });

  it('passes it on as complete when the upstream has ended it', async () => {
    await estate.addUpstream(({head, socket}) => {
      socket.end(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
          `Response-Seal: s\r\nConnection: close\r\n\r\n${event(1)}`,
      );
    });
    const entry = await startReadyEntry();
    for (const path of ['/plan/1', '/sheet/1', '/load/1']) {
      const answer = await estate.callAt(entry.callers, path);
      expect(answer).toMatchObject({status: 200, isWhole: true});
      expect(answer.body).toBe(event(1));
    }
  });
});

// On machines of one's own the port of a starting process may be held by the process
// before it, or by an outgoing connection: it ended with code 1 (FAULT).
describe('an entry whose port is taken as it starts', () => {
  it.each<keyof EntryPorts>(['callers', 'readiness'])(
    'waits until its %s port is free, and is not ready before',
    async name => {
      await estate.addUpstream(DONE);
      const ports = await freePorts();
      const holder = await holdPort(ports[name]);
      const entry = startEntry(ports);
      await expect
        .poll(() => entry.hasLogged('port_taken'), {timeout: 15_000})
        .toBe(true);
      await pause(500);
      expect(await entry.isReady()).toBe(false);
      holder.close();
      await expect.poll(() => entry.isReady(), {timeout: 5_000}).toBe(true);
      const answer = await estate.callAt(entry.callers, '/load/1');
      expect(answer.status).toBe(200);
      expect(entry.hasEnded).toBe(false);
    },
  );

  it.each<keyof EntryPorts>(['operators', 'internal'])(
    'serves requests without its %s port',
    async name => {
      await estate.addUpstream(DONE);
      const ports = await freePorts();
      const holder = await holdPort(ports[name]);
      const entry = startEntry(ports);
      await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
      const answer = await estate.callAt(entry.callers, '/load/1');
      expect(answer.status).toBe(200);
      holder.close();
      await expect
        .poll(() => entry.hasLogged('port_bound'), {timeout: 5_000})
        .toBe(true);
    },
  );
});

describe('an entry whose log', () => {
  const CALLS = 2_000;

  async function expectServes(entry: EntryProcess): Promise<void> {
    for (let i = 0; i < CALLS; i += 40) {
      const answers = await Promise.all(
        Array.from({length: 40}, () => estate.callAt(entry.callers, '/load/1')),
      );
      for (const {status} of answers) expect(status).toBe(200);
    }
    expect(entry.hasEnded).toBe(false);
  }

  it('has lost its reader goes on', async () => {
    await estate.addUpstream(DONE);
    const entry = await startReadyEntry();
    entry.child.stdout!.destroy();
    await expectServes(entry);
  });

  it('is not read is not blocked by it', async () => {
    await estate.addUpstream(DONE);
    const entry = await startReadyEntry();
    entry.child.stdout!.pause();
    await expectServes(entry);
  });
});

// The signal's default action ended a process that had not read its settings yet (FAULT).
it('an entry survives a reload while it reads its settings', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'baobabspan-'));
  const fifo = join(folder, 'boot.json');
  execFileSync('mkfifo', [fifo]);
  const child = spawn(process.execPath, [MAIN, 'entry'], {
    env: {...process.env, BAOBABSPAN_BOOT: fifo},
    stdio: 'ignore',
  });
  const {O_WRONLY, O_NONBLOCK} = constants;
  // Fails until the process has opened the other end, and waits for its settings.
  await expect
    .poll(
      () => {
        try {
          return openSync(fifo, O_WRONLY | O_NONBLOCK) > 0;
        } catch {
          return false;
        }
      },
      {timeout: 15_000},
    )
    .toBe(true);
  child.kill('SIGHUP');
  await pause(300);
  expect(child.signalCode).toBeNull();
  child.kill('SIGKILL');
  await once(child, 'exit');
  rmSync(folder, {recursive: true});
});
