/** Memory of an entry whose ports for others than callers are flooded. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {DirectEstate, ROUTES, pause} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';
import type {EntryPorts} from './support/entry_process.js';

/** Memory of the smallest VM. */
const VM_MB = 250;
const CLIENTS = 20;
const REQUESTS = 10_000;
/** Time in which what clients send reaches the entry. */
const ARRIVAL_MS = 3_000;

let estate: DirectEstate;
let entry: EntryProcess;
let sockets: Socket[];

beforeEach(async () => {
  sockets = [];
  estate = new DirectEstate();
  await estate.start(1);
  estate.configure(1, ROUTES);
  entry = new EntryProcess(estate.addressOfStore, await freePorts());
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
});
afterEach(async () => {
  sockets.forEach(socket => socket.destroy());
  await entry.end('SIGKILL');
  await estate.close();
});

// Such requests were read without a bound (FAULT).
it.each<[keyof EntryPorts, string]>([
  ['operators', '/metrics'],
  ['readiness', '/api/readiness'],
  ['internal', '/poll?topic=keyed.op&from=0&wait=0'],
])(
  'stays within its VM while clients of its port for %s read no response',
  async (port, path) => {
    const request = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
    for (let i = 0; i < CLIENTS; i++) {
      const socket = connect({port: entry.ports[port], host: '127.0.0.1'});
      socket.on('error', () => undefined);
      socket.pause();
      socket.write(request.repeat(REQUESTS));
      sockets.push(socket);
    }
    await pause(ARRIVAL_MS);
    expect(entry.hasEnded).toBe(false);
    expect(await entry.isReady(5_000)).toBe(true);
    expect(entry.peakMemoryMb()).toBeLessThan(VM_MB);
  },
  30_000,
);
