import {Agent, request} from 'node:http';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {Chance} from '../src/core/index.js';
import {
  DirectEstate,
  pause,
  requestIdOf,
  ROUTES,
  sealedAnswer,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

/** Seeds and length of the run; `SOAK_SEEDS=1-50` plays others by hand. */
const [FIRST_SEED, LAST_SEED] = (process.env['SOAK_SEEDS'] ?? '1-2')
  .split('-')
  .map(Number) as [number, number];
const LENGTH_MS = 14_000;
const ENTRIES = 3;
const CLIENTS = 24;
/** Grace of the entries: some restarts overlap it, so their ports are taken. */
const GRACE_S = 5;

let estate: DirectEstate;
let entries: EntryProcess[] = [];
const retired: EntryProcess[] = [];

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start(0);
  for (let i = 0; i < 3; i++) {
    await estate.addUpstream(({head, socket}) => {
      setTimeout(
        () =>
          socket.write(
            sealedAnswer(head, `id: 1\ndata: ${requestIdOf(head)}\n\n`),
          ),
        20 + ((i * 67 + head.length * 13) % 200),
      );
    });
  }
  estate.configure(1, ROUTES);
});
afterEach(async () => {
  const all = [...entries, ...retired.splice(0)];
  await Promise.all(all.map(entry => entry.end('SIGKILL')));
  await estate.close();
});

/** What a caller saw of one request. */
interface Seen {
  readonly id: string;
  readonly status: number | undefined;
  readonly isWhole: boolean;
  readonly body: string;
  readonly err: string | undefined;
}

function send(
  entry: EntryProcess,
  agent: Agent,
  id: string,
  path: string,
): Promise<Seen> {
  return new Promise(resolve => {
    const [host, port] = entry.callers.split(':');
    const headers = {
      Host: 'vans.example',
      'Request-Id': id,
      Authorization: 'Bearer k1',
      'Deadline-Ms': '2500',
      'Content-Length': '4',
    };
    const req = request({host, port, path, method: 'POST', headers, agent});
    let err: string | undefined;
    const end = (status?: number, isWhole = false, body = '') =>
      resolve({id, status, isWhole, body, err});
    req.on('error', (thrown: NodeJS.ErrnoException) => {
      err = thrown.code;
      end();
    });
    req.on('response', res => {
      let body = '';
      res.on('data', data => (body += String(data)));
      res.on('error', () => undefined);
      res.on('close', () => end(res.statusCode, res.complete, body));
    });
    req.end('load');
  });
}

// Requests ended without an answer on real machines, around planned work (LOST), and
// processes ended by themselves (FAULT).
it.each(
  Array.from({length: LAST_SEED - FIRST_SEED + 1}, (_, i) => FIRST_SEED + i),
)(
  'entries that restart in series under kept connections lose nothing (seed %i)',
  async seed => {
    const chance = new Chance(seed);
    const store = estate.addressOfStore;
    const start = async (ports?: EntryProcess['ports']) =>
      new EntryProcess(store, ports ?? (await freePorts()), GRACE_S);
    entries = [];
    for (let i = 0; i < ENTRIES; i++) entries.push(await start());
    for (const entry of entries) {
      await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
    }
    const until = performance.now() + LENGTH_MS;
    let count = 0;
    const lost: Seen[] = [];
    let served = 0;
    const paths = ['/load/1', '/sheet/1', '/plan/1'];
    const client = async (number: number) => {
      let agent = new Agent({keepAlive: true, maxSockets: 1});
      let entry = entries[number % ENTRIES]!;
      while (performance.now() < until) {
        // Clients use an open connection until the process is gone.
        if (entry.hasEnded || retired.includes(entry)) {
          const isIdle = entry.hasEnded;
          if (isIdle) entry = entries[number % ENTRIES]!;
        }
        count += 1;
        const id = `s${seed}-${count}`;
        const path = paths[count % paths.length]!;
        const seen = await send(entry, agent, id, path);
        if (
          seen.status === 200 &&
          seen.isWhole &&
          seen.body.includes(`: ${id}\n`)
        ) {
          served += 1;
        } else if (seen.status !== 503) {
          const hasRun = estate.upstreams.some(upstream =>
            upstream.received.some(head => requestIdOf(head) === id),
          );
          if (hasRun || seen.status !== undefined) lost.push(seen);
          agent.destroy();
          agent = new Agent({keepAlive: true, maxSockets: 1});
          entry = entries[number % ENTRIES]!;
          await pause(50);
        } else await pause(20);
      }
      agent.destroy();
    };
    const clients = Array.from({length: CLIENTS}, (_, i) => client(i));
    const signals = async () => {
      while (performance.now() < until - 6_000) {
        await pause(200 + Math.floor(chance.between(0, 800)));
        const at = Math.floor(chance.fraction() * ENTRIES);
        const entry = entries[at]!;
        if (chance.fraction() < 0.5) {
          // While Node itself boots, no program can catch a signal.
          if (entry.catchesReload()) entry.child.kill('SIGHUP');
          continue;
        }
        if (!(await entry.isReady())) continue;
        entry.child.kill('SIGTERM');
        await pause(Math.floor(chance.between(0, 300)));
        if (chance.fraction() < 0.5) entry.child.kill('SIGHUP');
        retired.push(entry);
        // The next process starts at the same ports before the old one has ended.
        entries[at] = await start(entry.ports);
      }
    };
    await Promise.all([...clients, signals()]);
    expect(lost).toEqual([]);
    expect(served).toBeGreaterThan(CLIENTS * 10);
    for (const entry of entries) expect(entry.hasEnded).toBe(false);
    for (const {child} of retired) {
      expect([0, null]).toContain(child.exitCode);
      expect(child.signalCode).toBeNull();
    }
  },
  60_000,
);
