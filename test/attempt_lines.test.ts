import {afterEach, beforeEach, expect, it} from 'vitest';

import {
  DirectEstate,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

let estate: DirectEstate;
let entry: EntryProcess;
/** Times left that upstreams were handed, ms. */
const handedOn: number[] = [];
let answered = 0;

/** Fails the first two requests that reach any upstream. */
beforeEach(async () => {
  handedOn.length = answered = 0;
  estate = new DirectEstate();
  await estate.start(0);
  const change = {MaxAttempts: 3, TimeoutMs: 900};
  estate.configure(1, [wireRoute('/sheet/', 'safe', change)]);
  for (let i = 0; i < 3; i++) {
    await estate.addUpstream(({head, socket}) => {
      handedOn.push(Number(/Deadline-Ms: (\d+)/.exec(head)?.[1]));
      answered += 1;
      if (answered === 1) setTimeout(() => socket.resetAndDestroy(), 30);
      else if (answered === 2)
        socket.write(sealedAnswer(head, 'failed', '500 Internal Server Error'));
      else setTimeout(() => socket.write(sealedAnswer(head, 'done')), 200);
    });
  }
  const ports = await freePorts();
  entry = new EntryProcess(estate.addressOfStore, ports, 5, {});
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
});
afterEach(async () => {
  await entry.end('SIGKILL');
  await estate.close();
});

const linesOf = (event: string) =>
  entry.lines.filter(line => line['event'] === event);

// Which of the three rules an attempt touched could not be told from the log.
it('each attempt of a request is logged with its number, charge and time left', async () => {
  const answer = await estate.callAt(entry.callers, '/sheet/1');
  expect(answer.status).toBe(200);
  await expect.poll(() => linesOf('request')).toHaveLength(1);
  expect(linesOf('attempt_failed')).toMatchObject([
    {attempt: '1', charge: 'first', left_ms: `${handedOn[0]}`},
    {attempt: '2', charge: 'retry_budget', left_ms: `${handedOn[1]}`},
  ]);
  const charged = {charge: 'retry_budget', caller_ms: '1200'};
  const [second, third] = linesOf('attempt_repeated');
  expect(second).toMatchObject({attempt: '2', max_attempts: '3', ...charged});
  expect(third).toMatchObject({attempt: '3', after: '500', ...charged});
  expect(third!['left_ms']).toBe(`${handedOn[2]}`);
  const left = Number(second!['left_ms']) + Number(second!['since_first_ms']);
  expect(Math.abs(left - handedOn[0]!)).toBeLessThanOrEqual(2);
  const [request] = linesOf('request');
  const seen = {sends: '3', tries: '3', caller_ms: '1200'};
  expect(request).toMatchObject({...seen, left_ms: `${handedOn[0]}`});
  expect(Number(request!['connect_ms'])).toBeLessThan(400);
});

it('an attempt that reached nobody is logged as no send, and its repeat as free', async () => {
  const [gone] = estate.upstreams;
  await gone!.close();
  answered = 2;
  // Open requests at once go to all upstreams, whichever the first goes to.
  const calls = Array.from({length: 12}, () =>
    estate.callAt(entry.callers, '/sheet/1'),
  );
  await Promise.all(calls);
  await expect.poll(() => linesOf('request')).toHaveLength(calls.length);
  const repeats = linesOf('attempt_repeated');
  expect(repeats.length).toBeGreaterThan(0);
  for (const line of repeats) {
    const charge = {attempt: '1', tries: '2', charge: 'unsent_before'};
    expect(line).toMatchObject({...charge, after: 'unreachable'});
  }
  expect(linesOf('retry_spent')).toEqual([]);
  const metrics = await fetch(
    `http://127.0.0.1:${entry.ports.operators}/metrics`,
  ).then(res => res.text());
  const counter = 'baobabspan_attempts_total{charge="unsent_before"';
  expect(metrics).toContain(`${counter},service="app"} ${repeats.length}`);
});
