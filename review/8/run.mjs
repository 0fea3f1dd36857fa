// A replica in trouble sends an event stream that never completes an event, in small
// pieces. What else the entry serves must still be answered.
import {dirname} from 'node:path';
import {setInterval, setTimeout, clearInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {call, readiness, route, runCase, sleep} from '../lib2/harness.mjs';
import {Replica, head, sealed, sound} from '../lib2/replica.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const TIMEOUT_MS = 2_000;
const STREAMS = 20;
/** The longest of two seconds, four times the objective and eight times the pause. */
const PATIENCE_MS = 2_000;
/** Each piece is a line: a line without a blank one after it ends no event. */
const PIECE = '2\r\n:\n\r\n';
const PIECES = PIECE.repeat(4_000);

/** Pours pieces until the caller closes. */
function pour(req) {
  const {socket} = req;
  socket.write(
    head(req, '200 OK', [
      'Response-Seal: s.1',
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ]),
  );
  const more = () => {
    while (!socket.destroyed && socket.write(PIECES));
    if (!socket.destroyed) socket.once('drain', more);
  };
  more();
}

await runCase(FOLDER, async one => {
  await one.startStore();
  one.configure([
    route('/plan/', 'streaming', {Service: 'llm', TargetGapMs: 120}),
    route('/sheet/', 'safe', {TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 194}),
  ]);
  for (const id of ['app-1', 'app-2'])
    await new Replica(one, id, sound()).start();
  const event = n => `id: ${n}\ndata: ${'x'.repeat(40)}\n\n`;
  const soundStream = req =>
    setTimeout(
      () => req.socket.write(sealed(req, [1, 2, 3].map(event).join(''))),
      40,
    );
  const llm = new Replica(one, 'llm-1', one.hasTrouble ? pour : soundStream, {
    Service: 'llm',
  });
  await llm.start();
  const entry = await one.startEntry();
  await one.untilReady(entry);
  await sleep(1_000);

  const lookups = [];
  const send = async () => {
    const answer = await call(entry, '/sheet/1', {deadline: 6_000});
    lookups.push(answer);
    one.record(
      `lookup ${answer.id}: status ${answer.status} after ${answer.ms} ms`,
    );
  };
  const probes = [];
  const ask = async () => {
    const status = await readiness(entry, 900);
    probes.push(status);
    one.record(`readiness: ${status}`);
  };
  const timers = [
    setInterval(() => void send(), 500),
    setInterval(() => void ask(), 1_000),
  ];
  await sleep(2_000);
  one.record(`before the streams: ${lookups.length} lookups answered`);
  const streams = [];
  for (let n = 1; n <= STREAMS; n++) {
    // A client leaves a stream that brings it no event for so long.
    const stream = call(entry, '/plan/1', {
      method: 'POST',
      body: 'plan',
      deadline: PATIENCE_MS,
    });
    streams.push(
      stream.then(({status, ms}) =>
        one.record(`stream ${n}: status ${status}, ${ms} ms`),
      ),
    );
    await sleep(500);
  }
  await Promise.all(streams);
  await sleep(4_000);
  for (const timer of timers) clearInterval(timer);
  await sleep(6_500);

  const late = lookups.filter(({ms}) => ms > TIMEOUT_MS);
  const later = late.filter(
    ({status, ms}) => status === 0 || ms > TIMEOUT_MS + 500,
  );
  const silent = probes.filter(status => status !== 200).length;
  one.record(
    `streams at llm-1: ${llm.received.length}; lookups: ${lookups.length}`,
  );
  one.record(`readiness: ${probes.length} questions, ${silent} without a 200`);
  one.record(
    `lookups unanswered at their route's TimeoutMs: ${late.length}, of them unanswered ` +
      `half a second later: ${later.length}; the rule allows half`,
  );
  return later.length <= late.length / 2;
});
