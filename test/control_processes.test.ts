import {once} from 'node:events';
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {Estate} from './support/estate.js';
import type {Daemon} from './support/estate.js';
import {until} from './support/processes.js';

const ZONES = ['dar-kariakoo', 'dar-mikocheni', 'dar-temeke'];
const [FIRST = '', SECOND = '', THIRD = ''] = ZONES;
const DEPOT = 'depot';
const MODEL = 'rounds-assistant';

describe('the configuration in separate processes', () => {
  const estate = new Estate({
    example: 'kivuli.yaml',
    zones: ZONES,
    services: {[MODEL]: 'engine', [DEPOT]: 'plain'},
  });
  let folder = '';
  let version = 0;

  async function run(...args: string[]): Promise<number> {
    const {child} = estate.processes.cli(...args);
    const [code] = (await once(child, 'exit')) as [number];
    return code;
  }

  /** Returns what an entry knows of a daemon. */
  async function memberAt(entry: Daemon, {vm}: Daemon) {
    const status = await estate.status(entry);
    const members = status['members'] as {vm: string; leaving: boolean}[];
    return members.find(known => known.vm === vm.vm);
  }

  /** Returns arguments that publish the example with a unique comment. */
  async function publication(base: number): Promise<string[]> {
    const file = join(folder, `${base}.yaml`);
    const text = await readFile(estate.examplePath, 'utf8');
    await writeFile(file, `# on ${base}\n${text}`);
    const log = ['--log-url', estate.platformUrl];
    return ['publish', file, '--base', String(base), ...log];
  }

  async function publish(): Promise<void> {
    expect(await run(...(await publication(version)))).toBe(0);
    version += 1;
  }

  async function replace(old: Daemon): Promise<Daemon> {
    const {availabilityZone, service} = old.vm;
    await old.process.kill('SIGKILL');
    estate.remove(old);
    const started = service
      ? await estate.startSidecar(availabilityZone, service)
      : await estate.startEntry(availabilityZone);
    await estate.publishVmList();
    return started;
  }

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'baobabspan-'));
    await estate.start();
    await publish();
    await estate.waitForVersion(version);
  });

  afterAll(() => estate.close());

  it('skips to the newest version when a frozen process continues', async () => {
    const frozen = estate.sidecar(SECOND, DEPOT);
    const others = estate.daemons.filter(daemon => daemon !== frozen);
    frozen.process.child.kill('SIGSTOP');
    for (let i = 0; i < 3; i++) {
      await publish();
      await estate.waitForVersion(version, others);
    }
    frozen.process.child.kill('SIGCONT');
    await estate.waitForVersion(version, [frozen]);
    const versions = frozen.process.lines
      .filter(({event}) => event === 'configuration_in_force')
      .map(line => Number(line['version']));
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
    expect(versions.at(-1)).toBe(version);
  });

  it('reaches a zone that is disconnected from the platform only', async () => {
    estate.proxies.get(THIRD)?.cut();
    await publish();
    await estate.waitForVersion(version);
    estate.proxies.get(THIRD)?.heal();
  });

  it('keeps the version while a zone is replaced during a log outage', async () => {
    await estate.setFaults({logDown: true});
    for (const old of [
      estate.sidecar(FIRST, DEPOT),
      estate.entry(FIRST),
      estate.sidecar(FIRST, MODEL),
    ]) {
      const started = await replace(old);
      await estate.waitForVersion(version, [started]);
      const ready = await request(`${started.operators}/readyz`);
      expect([ready.statusCode, await ready.body.text()]).toEqual([
        200,
        'ready\n',
      ]);
    }
    await estate.setFaults({logDown: false});
  });

  it('notifies every entry of a leaving VM, also without the VM list', async () => {
    const leaving = estate.sidecar(SECOND, MODEL);
    estate.proxies.get(THIRD)?.cut();
    const listed = estate.daemons.map(({vm}) =>
      vm === leaving.vm ? {...vm, state: 'leaving'} : vm,
    );
    const body = JSON.stringify(listed);
    await request(`${estate.platformUrl}/vms`, {method: 'PUT', body});
    for (const zone of ZONES) {
      await until(async () => {
        const known = await memberAt(estate.entry(zone), leaving);
        return known?.leaving === true;
      });
    }
    estate.proxies.get(THIRD)?.heal();
    await replace(leaving);
    await estate.waitForVersion(version);
  });

  it('fails while a daemon lags, and can be retried', async () => {
    const frozen = estate.sidecar(SECOND, MODEL);
    const entry = estate.entry(FIRST);
    // A member that is listed as leaving is not waited for.
    await until(async () => {
      const known = await memberAt(entry, frozen);
      return known?.leaving === false;
    });
    frozen.process.child.kill('SIGSTOP');
    const args = [
      ...(await publication(version)),
      ...['--wait', '--wait-timeout', '4', '--operator-url', entry.operators],
    ];
    const first = estate.processes.cli(...args);
    const [code] = (await once(first.child, 'exit')) as [number];
    expect(code).toBe(1);
    version += 1;
    frozen.process.child.kill('SIGCONT');
    await estate.waitForVersion(version);
    await until(async () => (await run(...args)) === 0);
    expect(await estate.version(entry)).toBe(version);
    const status = ['status', '--operator-url', entry.operators, '--estate'];
    expect(await run(...status)).toBe(0);
  });

  it('is not ready until it has a configuration, and reports why', async () => {
    await estate.setFaults({logDown: true});
    const alone = estate.processes.cli(
      ...[
        'entry',
        '--vm',
        'alone',
        '--port',
        '0',
        '--link-key',
        'k'.repeat(16),
      ],
      ...['--availability-zone', FIRST, '--log-url', estate.platformUrl],
      ...['--vm-list-url', estate.platformUrl],
    );
    const {operators} = await alone.waitForEvent('ready');
    await alone.waitForEvent('log_outage');
    const ready = await request(`http://${operators}/readyz`);
    expect(ready.statusCode).toBe(503);
    expect(await ready.body.text()).toContain('no configuration');
    await estate.setFaults({logDown: false});
    await alone.waitForEvent('configuration_in_force');
  });
});
