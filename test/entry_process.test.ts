import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  event,
  pause,
  requestIdOf,
  ROUTES,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';
import type {EntryPorts} from './support/entry_process.js';

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
