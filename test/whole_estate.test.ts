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
import type {Told} from './support/caller_log.js';
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

describe.each(EXAMPLES)('a session of faults on $example', plan => {
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
    const text = await readFile(estate.text, 'utf8');
    await writeFile(file, `# ${comment}\n${text}`);
    const command = estate.processes.cli(
      ...['publish', file, '--base', String(version)],
      ...['--log-url', estate.platformUrl],
    );
    const [code] = (await once(command.child, 'exit')) as [number];
    if (code === 0) version += 1;
    return code;
  }

  /** Books until a booking is done: faults are noticed within seconds. */
  async function bookUntilDone(entry: Daemon): Promise<void> {
    await until(async () => (await callers.book(entry)).outcome === 'done');
  }

  async function slowUpstream(daemon: Daemon, ms: number): Promise<void> {
    const body = String(ms);
    await request(`${daemon.upstreamUrl}/control/delay`, {method: 'PUT', body});
  }

  /** Books until a booking runs at the given upstream. */
  async function bookAt(
    entry: Daemon,
    at: Daemon,
  ): Promise<{told: Promise<Told>}> {
    const runs = async () => (await runsAt([at.upstreamUrl])).size;
    const before = await runs();
    for (;;) {
      let answered = false;
      const told = callers.book(entry).finally(() => (answered = true));
      await until(async () => answered || (await runs()) > before);
      if ((await runs()) > before) return {told};
    }
  }

  async function expectNoLies(): Promise<void> {
    expect(callers.lies(await runsAt(upstreams))).toEqual([]);
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
      console.log(JSON.stringify({told: callers.told.slice(-4), statuses}));
    });
  });

  afterAll(() => estate.close());

  it('puts the text in force everywhere and books', async () => {
    expect(await publish('first')).toBe(0);
    await estate.inForce(1);
    for (const zone of zones) await bookUntilDone(estate.entry(zone));
    await expectNoLies();
  });

  it('streams a whole completion in each zone', async () => {
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

  it('kill: a sidecar dies with a booking at its upstream', async () => {
    const victim = estate.sidecar(first, plain);
    await slowUpstream(victim, 1_500);
    const {told} = await bookAt(estate.entry(first), victim);
    await victim.process.kill('SIGKILL');
    expect((await told).outcome).toBe('unknown');
    await bookUntilDone(estate.entry(first));
    estate.remove(victim);
    const fresh = await estate.startSidecar(first, plain);
    upstreams.push(fresh.upstreamUrl);
    await estate.list();
    await estate.inForce(version, [fresh]);
    await expectNoLies();
  });

  it('freeze: a sidecar stops and wakes', async () => {
    const frozen = estate.sidecar(second, plain);
    frozen.process.child.kill('SIGSTOP');
    await bookUntilDone(estate.entry(second));
    frozen.process.child.kill('SIGCONT');
    await bookUntilDone(estate.entry(second));
    await expectNoLies();
  });

  it('silent link: open connections carry nothing any more', async () => {
    estate.silence(estate.sidecar(third, plain));
    await bookUntilDone(estate.entry(third));
    await expectNoLies();
  });

  it('log outage: serving goes on, publishing waits', async () => {
    await estate.faults({down: true});
    for (const zone of zones) await bookUntilDone(estate.entry(zone));
    expect(await publish('during the outage')).not.toBe(0);
    await estate.faults({down: false});
    expect(await publish('after the outage')).toBe(0);
    await estate.inForce(version);
    await expectNoLies();
  });

  it('two operators race: one wins, everywhere', async () => {
    const before = version;
    const codes = await Promise.all([publish('one'), publish('other')]);
    expect(codes.toSorted()).toEqual([0, 1]);
    expect(version).toBe(before + 1);
    await estate.inForce(version);
    for (const daemon of estate.daemons) {
      expect(await estate.version(daemon)).toBe(version);
    }
  });

  it('zone cut: each side serves what it can', async () => {
    estate.cutZone(third);
    await bookUntilDone(estate.entry(third));
    await bookUntilDone(estate.entry(first));
    expect(await publish('while a zone is cut off')).toBe(0);
    const others = estate.daemons.filter(
      ({vm}) => vm.availabilityZone !== third,
    );
    await estate.inForce(version, others);
    estate.healZone(third);
    await estate.inForce(version);
    await expectNoLies();
  });

  it('freeze and log outage together', async () => {
    const frozen = estate.sidecar(first, plain);
    frozen.process.child.kill('SIGSTOP');
    await estate.faults({down: true});
    await bookUntilDone(estate.entry(first));
    await estate.faults({down: false});
    expect(await publish('while one is frozen')).toBe(0);
    frozen.process.child.kill('SIGCONT');
    await estate.inForce(version);
    await expectNoLies();
  });

  it('zone cut and kill together', async () => {
    estate.cutZone(second);
    const victim = estate.sidecar(third, plain);
    await victim.process.kill('SIGKILL');
    estate.remove(victim);
    await bookUntilDone(estate.entry(second));
    await bookUntilDone(estate.entry(third));
    estate.healZone(second);
    await bookUntilDone(estate.entry(second));
    await expectNoLies();
  });
});
