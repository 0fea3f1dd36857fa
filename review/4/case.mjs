/* global URL, setTimeout */
/**
 * Three replicas that stream; one hands out wrong bytes: in one of 25 of its
 * answers a bit of the status line is flipped, so that it says 000 for 200.
 * Eight clients ask for streams, one after the other.
 */
import {fileURLToPath} from 'node:url';

import {Replica} from '../lib/replica.mjs';
import {Store} from '../lib/store.mjs';
import {
  CONFIGURATION,
  HOST,
  Run,
  ZONES,
  keepAgent,
  newId,
  send,
  sleep,
} from '../lib/system.mjs';

const CLIENTS = 8;
const LENGTH_MS = 13_000;
/** The disruption, from the entry's readiness on. */
const TROUBLE_MS = {from: 4_000, to: 10_000};
const EVENTS = 8;
const GAP_MS = 20;
/** Of the answers of one replica; the site's troubles go up to one in 20. */
const SPOILT_SHARE = 1 / 25;

const run = new Run(fileURLToPath(new URL('record.txt', import.meta.url)));
const store = new Store();
const address = await store.listen(HOST);
store.put('keyed.op', 'config', CONFIGURATION);

let answers = 0;
let spoilt = 0;
let startedAt = Infinity;
const replicas = [];
for (const zone of ZONES) {
  const isFaulty = run.hasTrouble && zone === ZONES[1];
  const replica = new Replica(`i-${zone}`, 'msaidizi', zone, (_, reply) => {
    const elapsed = Date.now() - startedAt;
    const isAmid =
      isFaulty && elapsed >= TROUBLE_MS.from && elapsed < TROUBLE_MS.to;
    if (isAmid) answers += 1;
    const isSpoilt = isAmid && answers % Math.round(1 / SPOILT_SHARE) === 0;
    if (isSpoilt) {
      spoilt += 1;
      run.record(`${replica.id} spoils its answer to ${reply.id}`);
    }
    void stream(reply, isSpoilt ? '000' : '200');
  });
  replica.isFaulty = isFaulty;
  await replica.listen(HOST);
  replica.register(store, 8);
  replicas.push(replica);
}

async function stream({socket, id, seal}, status) {
  const chunk = text =>
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  await sleep(GAP_MS);
  socket.write(
    `HTTP/1.1 ${status} OK\r\nRequest-Id: ${id}\r\nResponse-Seal: ${seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  for (let event = 1; event <= EVENTS; event++) {
    chunk(`id: ${event}\ndata: ${id}\n\n`);
    await sleep(GAP_MS);
  }
  socket.write('0\r\n\r\n');
}

const entry = await run.startEntry('front-1', ZONES[0], address);
startedAt = Date.now();
let served = 0;
const unsealed = [];
async function client(number) {
  const until = Date.now() + LENGTH_MS;
  let agent = keepAgent();
  while (Date.now() < until) {
    const id = newId();
    const seen = await send(entry, agent, {
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
    const seal = seen.headers?.['response-seal'];
    const by = replicas.find(replica => replica.ran.includes(id));
    run.record(
      `client ${number} request ${id}: ${seen.status ?? 'no answer'} ${seen.error ?? ''} seal ${seal ?? 'none'} ${seen.body.length} bytes ${seen.isComplete ? 'complete' : 'incomplete'} run by ${by?.id ?? 'none'}`,
    );
    const isSuccess = seen.status >= 200 && seen.status < 300;
    if (isSuccess && seal === undefined) {
      unsealed.push(id);
      run.record(`  headers: ${JSON.stringify(seen.headers)}`);
    } else if (isSuccess && seen.isComplete) served += 1;
    if (!seen.isComplete) {
      agent.destroy();
      agent = keepAgent();
      await sleep(300);
    }
  }
  agent.destroy();
}
const clients = Array.from({length: CLIENTS}, (_, n) => client(n));
const timeout = new Promise(done => setTimeout(done, LENGTH_MS + 10_000));
await Promise.race([Promise.all(clients), timeout]);
for (const replica of replicas) replica.close();
store.close();
run.record(`served ${served}, spoilt answers ${spoilt}`);
const why = `${unsealed.length} successes without a Response-Seal`;
if (served === 0) run.finish(2, 'nothing was served');
else run.finish(unsealed.length > 0 ? 1 : 0, why);
