import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';

import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {completionTokens, streamEvent} from '../standins/engine_server.js';
import {CallsEstate} from './support/calls_estate.js';
import type {CallerResponse} from './support/calls_estate.js';
import {until} from './support/processes.js';

const estate = new CallsEstate();

beforeAll(() => estate.start());
afterAll(() => estate.close());

const keyHeader = (value: string) => ({'idempotency-key': value});
const waitUntilRunning = (body: string) =>
  until(async () => (await estate.depotRuns())[body] === 1);

async function expectGolden(
  name: string,
  session: readonly [string, CallerResponse][],
) {
  const lines = session.map(([step, one]) => {
    const {status, outcome, reason = '-', retryAfter = '-'} = one;
    const body = one.body.replaceAll(/"call":"[^"]*"/g, '"call":"?"');
    const facts = `${status} ${outcome} reason=${reason} retry=${retryAfter}`;
    return `${step}\n  ${facts}\n  ${body}`.trimEnd();
  });
  const text = `${lines.join('\n')}\n`;
  await expect(text).toMatchFileSnapshot(`__golden__/${name}.txt`);
}

describe('a loading with an idempotency key of the caller', () => {
  it('runs once when another entry receives the duplicate', async () => {
    const [, second] = estate.entries;
    const first = await estate.postLoading('b1', keyHeader('k1'));
    const duplicate = await estate.postLoading('b1', keyHeader('k1'), second);
    const other = await estate.postLoading('b1-other', keyHeader('k1'), second);
    await expectGolden('booking', [
      ['POST /loadings b1, key k1, entry 1', first],
      ['the same again, entry 2', duplicate],
      ['another body, key k1, entry 2', other],
    ]);
    expect(await estate.depotRuns()).toMatchObject({b1: 1});
    expect(await estate.depotRuns()).not.toHaveProperty('b1-other');
  });

  it('runs once when answers to log appends are lost', async () => {
    await estate.setFaults({loseAnswers: 2});
    const first = await estate.postLoading('b2', keyHeader('k2'));
    const duplicate = await estate.postLoading(
      'b2',
      keyHeader('k2'),
      estate.entries[1],
    );
    await expectGolden('booking_with_lost_append', [
      ['POST /loadings b2, key k2, entry 1; the log loses 2 answers', first],
      ['the same again, entry 2', duplicate],
    ]);
    expect(await estate.depotRuns()).toMatchObject({b2: 1});
  });

  it('is rejected as not-run while the log is down', async () => {
    await estate.setFaults({down: true});
    const rejected = await estate.postLoading('b3', keyHeader('k3'));
    const known = await estate.postLoading('b2', keyHeader('k2'));
    const issued = await estate.postLoading('b3-plain');
    await estate.setFaults({down: false});
    let after = rejected;
    // The pauses of `until` keep within the organisation's requests per second.
    await until(async () => {
      after = await estate.postLoading('b3', keyHeader('k3'));
      return after.reason !== 'log_unavailable';
    });
    await expectGolden('log_outage', [
      ['the log is down; POST /loadings b3, key k3', rejected],
      ['a repeat of k2, whose claim is known', known],
      ['POST /loadings b3-plain without a key', issued],
      ['the log is up; POST /loadings b3, key k3', after],
    ]);
    expect(await estate.depotRuns()).toMatchObject({b3: 1, 'b3-plain': 1});
  });

  it('is found after its entry was killed and restarted', async () => {
    const extra = await estate.startEntry('entry-3');
    const first = await estate.postLoading('b4', keyHeader('k4'), extra);
    await extra.process.kill('SIGKILL');
    const back = await estate.startEntry('entry-3');
    const duplicate = await estate.postLoading('b4', keyHeader('k4'), back);
    expect(duplicate).toEqual(first);
    expect(await estate.depotRuns()).toMatchObject({b4: 1});
  });
});

describe('a loading with an issued idempotency key', () => {
  it('runs once without the log', async () => {
    const issued = await estate.issueKey();
    await estate.setFaults({down: true});
    const first = await estate.postLoading('b5', keyHeader(issued));
    const duplicate = await estate.postLoading(
      'b5',
      keyHeader(issued),
      estate.entries[1],
    );
    const other = await estate.postLoading('b5-other', keyHeader(issued));
    await estate.setFaults({down: false});
    expect(first.outcome).toBe('done');
    expect(duplicate).toEqual(first);
    expect(other).toMatchObject({status: 422, outcome: 'not-run'});
    expect(await estate.depotRuns()).toMatchObject({b5: 1});
  });
});

describe('a loading whose connection stalls', () => {
  it('has its outcome resolved over a new connection', async () => {
    await estate.setDepotDelay(500);
    const pending = estate.postLoading('b6');
    await waitUntilRunning('b6');
    estate.relay.stallConnections();
    const answer = await pending;
    await estate.setDepotDelay(0);
    await expectGolden('booking_with_lost_answer', [
      ['POST /loadings b6; its connection goes silent while it runs', answer],
    ]);
    expect(await estate.depotRuns()).toMatchObject({b6: 1});
  });
});

describe('a paused sidecar', () => {
  // An entry that runs cancels the call, which hides what the sidecar decides.
  it('does not start a call after its deadline that its paused entry has not cancelled', async () => {
    const entry = estate.entries[0]!.process.child;
    const {first, late} = await pauseWithQueuedCall('b20', 'b21', 1_500);
    entry.kill('SIGSTOP');
    await setTimeout(1_500);
    estate.depot.child.kill('SIGCONT');
    await until(async () => (await queued()) === 0);
    await estate.setDepotDelay(0);
    const after = await estate.postLoading('b22', {}, estate.entries[1]);
    entry.kill('SIGCONT');
    const [, result] = await Promise.all([first, late]);
    expect(result).toMatchObject({
      outcome: 'unknown',
      reason: 'deadline_passed',
    });
    expect(after.outcome).toBe('done');
    expect(await estate.depotRuns()).not.toHaveProperty('b21');
  });

  it('does not start a call whose deadline passed during the pause', async () => {
    const {first, late} = await pauseWithQueuedCall('b7', 'b8', 3_000);
    const result = await late;
    estate.depot.child.kill('SIGCONT');
    await first;
    await estate.setDepotDelay(0);
    const after = await estate.postLoading('b9');
    expect(result).toMatchObject({
      outcome: 'unknown',
      reason: 'deadline_passed',
    });
    expect(after.outcome).toBe('done');
    expect(await estate.depotRuns()).not.toHaveProperty('b8');
  });

  /** Pauses the sidecar while it runs a call and another one, of less time, waits. */
  async function pauseWithQueuedCall(
    running: string,
    waiting: string,
    runMs: number,
  ) {
    await estate.setDepotDelay(runMs);
    const first = estate.postLoading(running);
    await waitUntilRunning(running);
    const deadline = {'baobabspan-deadline-ms': String(runMs - 500)};
    const late = estate.postLoading(waiting, deadline);
    await until(async () => (await queued()) === 1);
    estate.depot.child.kill('SIGSTOP');
    return {first, late};
  }

  async function queued(): Promise<number> {
    const ready = await estate.depot.waitForEvent('ready');
    const res = await request(`http://${ready['operators']}/status`);
    const status = (await res.body.json()) as {calls: {queued: number}};
    return status.calls.queued;
  }
});

describe('a killed sidecar', () => {
  it('leaves the outcome unknown, and a duplicate does not run', async () => {
    await estate.setDepotDelay(60_000);
    const pending = estate.postLoading('b10', keyHeader('k10'));
    const plain = waitUntilRunning('b10');
    await plain;
    await estate.depot.kill('SIGKILL');
    await estate.replaceDepot();
    const result = await pending;
    await estate.setDepotDelay(0);
    const duplicate = await estate.postLoading(
      'b10',
      keyHeader('k10'),
      estate.entries[1],
    );
    expect(result).toMatchObject({outcome: 'unknown', reason: 'upstream_lost'});
    expect(duplicate).toMatchObject({outcome: 'unknown'});
    expect(await estate.depotRuns()).toMatchObject({b10: 1});
  });

  it('has its stream resumed at another engine, byte for byte', async () => {
    await estate.setEngineStep(10);
    const body = {prompt: 'the stops of today', max_tokens: 120};
    const res = await estate.openStream(body);
    const chunks: Buffer[] = [];
    const reading = (async () => {
      for await (const chunk of res.body) chunks.push(chunk as Buffer);
    })();
    await until(() => chunks.length > 20);
    const busy = await busyEngine();
    await estate.engines[busy]!.kill('SIGKILL');
    await reading;
    const tokens = completionTokens(body);
    const events = tokens.map((token, i) =>
      streamEvent('chat', token, i === tokens.length - 1),
    );
    const text = Buffer.concat(chunks).toString();
    expect(text).toBe(`${events.join('')}data: [DONE]\n\n`);
    await expect(text).toMatchFileSnapshot('__golden__/stream_resumed.txt');
  });

  async function busyEngine(): Promise<number> {
    for (const [at, engine] of estate.engines.entries()) {
      const ready = await engine.waitForEvent('ready');
      const res = await request(`http://${ready['operators']}/status`);
      const status = (await res.body.json()) as {calls: {running: number}};
      if (status.calls.running > 0) return at;
    }
    throw new Error('no engine is busy');
  }
});

describe('a shutdown', () => {
  it('finishes accepted calls of the entry and rejects new ones', async () => {
    await estate.setDepotDelay(800);
    const entry = await estate.startEntry('entry-4', 2);
    const pending = estate.postLoading('b11', {}, entry);
    await waitUntilRunning('b11');
    entry.process.child.kill('SIGTERM');
    await entry.process.waitForEvent('draining');
    const ready = await request(`${entry.operators}/readyz`);
    const rejected = await estate.postLoading('b12', {}, entry);
    const answer = await pending;
    const [code] = (await once(entry.process.child, 'exit')) as [number];
    await expectGolden('drain', [
      ['POST /loadings b11; then SIGTERM to its entry', answer],
      ['POST /loadings b12 at the same entry', rejected],
    ]);
    expect([ready.statusCode, code]).toEqual([503, 0]);
    expect(await estate.depotRuns()).not.toHaveProperty('b12');
  });

  it('rejects new calls while the sidecar leaves, and reports those that a second signal aborts', async () => {
    const pending = estate.postLoading('b13');
    await waitUntilRunning('b13');
    const waiting = estate.postLoading('b14');
    await until(async () => {
      const ready = await estate.depot.waitForEvent('ready');
      const res = await request(`http://${ready['operators']}/status`);
      const status = (await res.body.json()) as {calls: {queued: number}};
      return status.calls.queued === 1;
    });
    estate.depot.child.kill('SIGTERM');
    await estate.depot.waitForEvent('leaving');
    const rejected = await estate.postLoading('b15');
    estate.depot.child.kill('SIGTERM');
    expect(await pending).toMatchObject({outcome: 'unknown'});
    expect(await waiting).toMatchObject({outcome: 'not-run'});
    expect(rejected).toMatchObject({outcome: 'not-run'});
    const runs = await estate.depotRuns();
    expect(runs).toMatchObject({b13: 1});
    expect(runs).not.toHaveProperty('b14');
    expect(runs).not.toHaveProperty('b15');
  });
});
