/* global URL, setTimeout */
/**
 * Three sound replicas that stream; each answer has neither a length nor chunks
 * and ends with its connection. Clients ask for streams at two entries. In the
 * midst of them the processes of one entry are killed and started again.
 */
import {fileURLToPath} from 'node:url';

import {Replica} from '../lib/replica.mjs';
import {Store} from '../lib/store.mjs';
import {
  CONFIGURATION,
  HOST,
  Run,
  ZONES,
  newId,
  send,
  sleep,
} from '../lib/system.mjs';

const CLIENTS = 6;
const LENGTH_MS = 14_000;
const KILL_AT_MS = 5_000;
const EVENTS = 28;
const GAP_MS = 25;

const run = new Run(fileURLToPath(new URL('record.txt', import.meta.url)));
const store = new Store();
const address = await store.listen(HOST);
store.put('keyed.op', 'config', CONFIGURATION);

const replicas = [];
for (const zone of ZONES) {
  const replica = new Replica(`i-${zone}`, 'msaidizi', zone, (_, reply) => {
    void stream(reply);
  });
  await replica.listen(HOST);
  replica.register(store, 8);
  replicas.push(replica);
}

async function stream({socket, id, seal}) {
  await sleep(GAP_MS);
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: ${seal}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`,
  );
  for (let event = 1; event <= EVENTS; event++) {
    if (socket.destroyed) return;
    socket.write(`id: ${event}\ndata: ${id}\n\n`);
    await sleep(GAP_MS);
  }
  socket.end();
}

const entries = [
  await run.startEntry('front-1', ZONES[0], address),
  await run.startEntry('front-2', ZONES[1], address),
];
let served = 0;
const short = [];
const startedAt = Date.now();
async function client(number) {
  while (Date.now() - startedAt < LENGTH_MS) {
    const id = newId();
    const at = number % entries.length;
    const entry = entries[at];
    const seen = await send(entry, false, {
      method: 'POST',
      path: `/plan/${number}`,
      id,
      body: `prompt of ${id}`,
      deadline: 8_000,
      headers: {
        Model: 'm',
        'Token-Count': '714,140',
        'Prompt-Prefix': `a1:40,${id}:674`,
      },
    });
    const events = seen.body.split('\n\n').length - 1;
    const isWhole = seen.body.endsWith('\n\n');
    run.record(
      `client ${number} request ${id} at ${entry.name}: ${seen.status ?? 'no answer'} ${seen.error ?? ''} ${events} of ${EVENTS} events, ${seen.isComplete ? 'complete' : 'broken off'}`,
    );
    const looksComplete = seen.status === 200 && seen.isComplete && isWhole;
    if (looksComplete && events < EVENTS) {
      const seal = seen.headers['response-seal'];
      short.push(id);
      run.record(`  looks complete, seal ${seal}`);
    } else if (looksComplete) served += 1;
    if (!seen.isComplete) await sleep(200);
  }
}
const clients = Array.from({length: CLIENTS}, (_, n) => client(n));
if (run.hasTrouble) {
  await sleep(KILL_AT_MS);
  run.record('SIGKILL to front-1');
  entries[0].process.kill('SIGKILL');
  await sleep(1_000);
  entries[0] = await run.startEntry('front-1', ZONES[0], address);
}
const timeout = new Promise(done => setTimeout(done, LENGTH_MS + 10_000));
await Promise.race([Promise.all(clients), timeout]);
for (const replica of replicas) replica.close();
store.close();
run.record(`served ${served}`);
const why = `${short.length} streams ended as complete before their last event`;
if (served === 0) run.finish(2, 'nothing was served');
else run.finish(short.length > 0 ? 1 : 0, why);
