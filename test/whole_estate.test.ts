import {once} from 'node:events';
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';
import {
  afterAll,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
  onTestFailed,
} from 'vitest';

import {completionTokens, streamEvent} from '../standins/engine_server.js';
import {CallerLog, runsAt} from './support/caller_log.js';
import type {CallResult} from './support/caller_log.js';
import {Estate} from './support/estate.js';
import type {Daemon} from './support/estate.js';
import {until} from './support/processes.js';

const EXAMPLES = [
  {
    example: 'kivuli.yaml',
    zones: ['dar-kariakoo', 'dar-mikocheni', 'dar-temeke'],
    model: 'rounds-assistant',
    plain: 'depot',
    path: '/services/depot/loadings',
    token: 'kariakoo-rounds-token',
  },
  {
    example: 'maison.yaml',
    zones: ['plouis-room', 'pample-depot', 'gbaie-rack'],
    model: 'kitchen-helper',
    plain: 'order-counter',
    path: '/services/order-counter/bookings',
    token: 'curepipe-shops-token',
  },
] as const;

describe.each(EXAMPLES)('injected faults on $example', plan => {
  const {example, zones, model, plain, path, token} = plan;
  const [first, second, third] = zones;
  const estate = new Estate({
    example,
    zones,
    services: {[model]: 'engine', [plain]: 'plain'},
  });
  const callers = new CallerLog(path, token);
  const upstreams: string[] = [];
  let version = 0;

  async function publish(comment: string): Promise<number> {
    const folder = await mkdtemp(join(tmpdir(), 'baobabspan-'));
    const file = join(folder, example);
    const text = await readFile(estate.examplePath, 'utf8');
    await writeFile(file, `# ${comment}\n${text}`);
    const command = estate.processes.cli(
      ...['publish', file, '--base', String(version)],
      ...['--log-url', estate.platformUrl],
    );
    const [code] = (await once(command.child, 'exit')) as [number];
    if (code === 0) version += 1;
    return code;
  }

  /** Retries new bookings until one is done: faults are detected within seconds. */
  async function callUntilDone(entry: Daemon): Promise<void> {
    await until(async () => (await callers.call(entry)).outcome === 'done');
  }

  async function setUpstreamDelay(daemon: Daemon, ms: number): Promise<void> {
    const body = String(ms);
    await request(`${daemon.upstreamUrl}/control/delay`, {method: 'PUT', body});
  }

  /** Sends bookings until one runs at the given upstream. */
  async function callAt(
    entry: Daemon,
    at: Daemon,
  ): Promise<{result: Promise<CallResult>}> {
    const runs = async () => (await runsAt([at.upstreamUrl])).size;
    const before = await runs();
    for (;;) {
      let isAnswered = false;
      const result = callers.call(entry).finally(() => (isAnswered = true));
      await until(async () => isAnswered || (await runs()) > before);
      if ((await runs()) > before) return {result};
    }
  }

  async function expectConsistentOutcomes(): Promise<void> {
    expect(callers.findContradictions(await runsAt(upstreams))).toEqual([]);
  }

  beforeAll(async () => {
    await estate.start();
    const sidecars = estate.daemons.filter(({vm}) => vm.service === plain);
    upstreams.push(...sidecars.map(({upstreamUrl}) => upstreamUrl));
  });

  beforeEach(() => {
    onTestFailed(async () => {
      const statuses = await Promise.all(
        estate.daemons.map(one => estate.status(one).catch(String)),
      );
      console.log(
        JSON.stringify({results: callers.results.slice(-4), statuses}),
      );
    });
  });

  afterAll(() => estate.close());

  it('applies the configuration everywhere and serves bookings', async () => {
    expect(await publish('first')).toBe(0);
    await estate.waitForVersion(1);
    for (const zone of zones) await callUntilDone(estate.entry(zone));
    await expectConsistentOutcomes();
  });

  it('streams a complete answer in each zone', async () => {
    for (const zone of zones) {
      const messages = [{role: 'user', content: `orders of ${zone}`}];
      const body = {model, messages, stream: true, max_tokens: 40};
      const res = await request(
        `${estate.entry(zone).callers}/v1/chat/completions`,
        {
          method: 'POST',
          headers: {authorization: `Bearer ${token}`},
          body: JSON.stringify(body),
        },
      );
      const tokens = completionTokens(body);
      const events = tokens.map((word, i) =>
        streamEvent(model, word, i === tokens.length - 1),
      );
      expect(await res.body.text()).toBe(`${events.join('')}data: [DONE]\n\n`);
    }
  });

  it('kill: a sidecar is killed while its upstream runs a booking', async () => {
    const victim = estate.sidecar(first, plain);
    await setUpstreamDelay(victim, 1_500);
    const {result} = await callAt(estate.entry(first), victim);
    await victim.process.kill('SIGKILL');
    expect((await result).outcome).toBe('unknown');
    await callUntilDone(estate.entry(first));
    estate.remove(victim);
    const fresh = await estate.startSidecar(first, plain);
    upstreams.push(fresh.upstreamUrl);
    await estate.publishVmList();
    await estate.waitForVersion(version, [fresh]);
    await expectConsistentOutcomes();
  });

  it('freeze: a sidecar is stopped and continued', async () => {
    const frozen = estate.sidecar(second, plain);
    frozen.process.child.kill('SIGSTOP');
    await callUntilDone(estate.entry(second));
    frozen.process.child.kill('SIGCONT');
    await callUntilDone(estate.entry(second));
    await expectConsistentOutcomes();
  });

  it('stalled link: open connections carry no more data', async () => {
    estate.stallConnections(estate.sidecar(third, plain));
    await callUntilDone(estate.entry(third));
    await expectConsistentOutcomes();
  });

  it('log outage: serving continues, publishing fails until it is over', async () => {
    await estate.setFaults({down: true});
    for (const zone of zones) await callUntilDone(estate.entry(zone));
    expect(await publish('during the outage')).not.toBe(0);
    await estate.setFaults({down: false});
    expect(await publish('after the outage')).toBe(0);
    await estate.waitForVersion(version);
    await expectConsistentOutcomes();
  });

  it('concurrent publications: one wins at every daemon', async () => {
    const before = version;
    const codes = await Promise.all([publish('one'), publish('other')]);
    expect(codes.toSorted()).toEqual([0, 1]);
    expect(version).toBe(before + 1);
    await estate.waitForVersion(version);
    for (const daemon of estate.daemons) {
      expect(await estate.version(daemon)).toBe(version);
    }
  });

  it('zone partition: both sides keep serving', async () => {
    estate.cutZone(third);
    await callUntilDone(estate.entry(third));
    await callUntilDone(estate.entry(first));
    expect(await publish('while a zone is cut off')).toBe(0);
    const others = estate.daemons.filter(
      ({vm}) => vm.availabilityZone !== third,
    );
    await estate.waitForVersion(version, others);
    estate.healZone(third);
    await estate.waitForVersion(version);
    await expectConsistentOutcomes();
  });

  it('freeze and log outage together', async () => {
    const frozen = estate.sidecar(first, plain);
    frozen.process.child.kill('SIGSTOP');
    await estate.setFaults({down: true});
    await callUntilDone(estate.entry(first));
    await estate.setFaults({down: false});
    expect(await publish('while one is frozen')).toBe(0);
    frozen.process.child.kill('SIGCONT');
    await estate.waitForVersion(version);
    await expectConsistentOutcomes();
  });

  it('zone partition and kill together', async () => {
    estate.cutZone(second);
    const victim = estate.sidecar(third, plain);
    await victim.process.kill('SIGKILL');
    estate.remove(victim);
    await callUntilDone(estate.entry(second));
    await callUntilDone(estate.entry(third));
    estate.healZone(second);
    await callUntilDone(estate.entry(second));
    await expectConsistentOutcomes();
  });
});
