/* global URL, setTimeout */
/**
 * Eight replicas of a plain service take requests that may run at most once. One
 * is faulty for 6 s: it runs each request, but answers 40 of 100 with a failure,
 * 503, which doesn't have Not-Executed. Clients ask again after a promise.
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

const CLIENTS = 12;
const REPLICAS = 8;
const LENGTH_MS = 13_000;
/** The disruption, from the entry's readiness on. */
const TROUBLE_MS = {from: 4_000, to: 10_000};
/** Of the requests of one replica. */
const FAILED_SHARE = 0.4;
const WORK_MS = 40;
const PROMISES = new Set([408, 421, 429, 503]);

const run = new Run(fileURLToPath(new URL('record.txt', import.meta.url)));
const store = new Store();
const address = await store.listen(HOST);
store.put('keyed.op', 'config', CONFIGURATION);

let startedAt = Infinity;
let requests = 0;
let failed = 0;
const booked = new Map();
const replicas = [];
for (let at = 0; at < REPLICAS; at++) {
  const zone = ZONES[at % ZONES.length];
  const isFaulty = run.hasTrouble && at === 0;
  const id = `i-${at}`;
  const replica = new Replica(id, 'depot-app', zone, (request, reply) => {
    const elapsed = Date.now() - startedAt;
    const isAmid =
      isFaulty && elapsed >= TROUBLE_MS.from && elapsed < TROUBLE_MS.to;
    if (isAmid) requests += 1;
    const due = Math.floor(requests * FAILED_SHARE);
    const isFailure = isAmid && due > failed;
    if (isFailure) failed += 1;
    setTimeout(() => {
      booked.set(request.path, (booked.get(request.path) ?? 0) + 1);
      if (isFailure) reply.whole('failed', '503 Service Unavailable');
      else reply.whole('booked');
    }, WORK_MS);
  });
  await replica.listen(HOST);
  replica.register(store);
  replicas.push(replica);
}

const entry = await run.startEntry('front-1', ZONES[0], address);
startedAt = Date.now();
let served = 0;
const refused = [];
async function client(number) {
  const agent = keepAgent();
  for (let load = 0; Date.now() - startedAt < LENGTH_MS; load++) {
    const path = `/stock/${number}/${load}`;
    // One further attempt, only after a promise, as the pages say.
    for (let attempt = 1; attempt <= 2; attempt++) {
      const id = newId();
      const seen = await send(entry, agent, {
        method: 'POST',
        path,
        id,
        body: `load ${path}`,
      });
      const by = replicas.find(replica => replica.ran.includes(id));
      const isPromise = PROMISES.has(seen.status);
      if (isPromise || attempt > 1) {
        run.record(
          `${path} attempt ${attempt} request ${id}: ${seen.status ?? 'no answer'} ${seen.error ?? ''} run by ${by?.id ?? 'none'}`,
        );
      }
      if (isPromise && by !== undefined) refused.push(id);
      if (seen.status === 200) served += 1;
      if (!isPromise) break;
      await sleep(50);
    }
  }
  agent.destroy();
}
const clients = Array.from({length: CLIENTS}, (_, n) => client(n));
const timeout = new Promise(done => setTimeout(done, LENGTH_MS + 10_000));
await Promise.race([Promise.all(clients), timeout]);
for (const replica of replicas) replica.close();
store.close();
const twice = [...booked.values()].filter(times => times > 1).length;
run.record(`served ${served}, answered 503 by the replica ${failed}`);
const why = `${refused.length} requests were promised not to have run, and had; ${twice} loads were booked twice`;
if (served === 0) run.finish(2, 'nothing was served');
else run.finish(refused.length > 0 ? 1 : 0, why);
