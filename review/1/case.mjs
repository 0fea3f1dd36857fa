/* global URL, setTimeout */
/**
 * Three replicas of a plain service; one hands out wrong bytes: in one of 25 of
 * its answers a bit of the status line is flipped, so that it says 000 for 200.
 * Twelve clients send requests that may be repeated, each on a kept connection.
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
const LENGTH_MS = 14_000;
/** The disruption, from the entry's first readiness on. */
const TROUBLE_MS = {from: 4_000, to: 10_000};
const WORK_MS = 100;
/** Of the answers of one replica; the site's troubles go up to one in 20. */
const SPOILT_SHARE = 1 / 25;
/** The rule allows three such requests. */
const ALLOWED = 3;

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
  const replica = new Replica(`i-${zone}`, 'depot-app', zone, (_, reply) => {
    setTimeout(() => {
      if (!isFaulty) {
        reply.whole(`sheet ${reply.id}`);
        return;
      }
      const elapsed = Date.now() - startedAt;
      const isAmid = elapsed >= TROUBLE_MS.from && elapsed < TROUBLE_MS.to;
      if (isAmid) answers += 1;
      const isSpoilt = isAmid && answers % Math.round(1 / SPOILT_SHARE) === 0;
      if (isSpoilt) spoilt += 1;
      reply.whole(`sheet ${reply.id}`, isSpoilt ? '000 OK' : '200 OK');
      if (isSpoilt)
        run.record(`${replica.id} spoils its answer to ${reply.id}`);
    }, WORK_MS);
  });
  replica.isFaulty = isFaulty;
  await replica.listen(HOST);
  replica.register(store);
  replicas.push(replica);
}

let entry = await run.startEntry('front-1', ZONES[0], address);
startedAt = Date.now();
let ends = 0;
const keepRunning = () => {
  entry.process.on('exit', () => {
    if (isOver) return;
    ends += 1;
    run.record(entry.log.split('\n').slice(-12).join('\n       '));
    // The platform starts it again after a short delay.
    setTimeout(async () => {
      const {callers, readiness} = entry;
      entry = await run.startEntry('front-1', ZONES[0], address);
      run.record(`clients move from ${callers}/${readiness}`);
      keepRunning();
    }, 500);
  });
};
let isOver = false;
keepRunning();

const lost = [];
let served = 0;
async function client(number) {
  const until = Date.now() + LENGTH_MS;
  let agent = keepAgent();
  let kept = 0;
  while (Date.now() < until) {
    const id = newId();
    const target = entry;
    const seen = await send(target, agent, {path: `/sheet/${number}`, id});
    const by = replicas.find(replica => replica.ran.includes(id));
    run.record(
      `client ${number} request ${id}: ${seen.status ?? 'no answer'} ${seen.error ?? ''} run by ${by?.id ?? 'none'}`,
    );
    if (seen.isComplete) {
      kept += 1;
      if (seen.status === 200) served += 1;
      continue;
    }
    const isSound = by !== undefined && !by.isFaulty;
    if (kept > 0 && isSound && seen.status === undefined) lost.push(id);
    agent.destroy();
    agent = keepAgent();
    kept = 0;
    await sleep(700);
  }
  agent.destroy();
}
await Promise.all(Array.from({length: CLIENTS}, (_, n) => client(n)));
isOver = true;
for (const replica of replicas) replica.close();
store.close();
run.record(
  `served ${served}, spoilt answers ${spoilt}, ends of the entry by itself ${ends}`,
);
const why = `${lost.length} requests of kept connections, passed on to sound replicas, ended without an answer; the entry ended by itself ${ends} times`;
if (served === 0) run.finish(2, 'nothing was served');
else run.finish(lost.length > ALLOWED ? 1 : 0, why);
