import {readFile} from 'node:fs/promises';

import {build} from 'hdr-histogram-js';
import {request} from 'undici';

import {
  Chance,
  SECOND,
  availabilityZone,
  serviceName,
  vmName,
} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Entry} from '../../src/daemons/entry/index.js';
import {Sidecar} from '../../src/daemons/sidecar/index.js';
import {Metrics} from '../../src/observability/index.js';
import type {Fields, Logger} from '../../src/observability/index.js';
import {SystemClock} from '../../src/observability/clock.js';
import {PlatformServer} from '../../standins/platform_server.js';

const ZONES = ['dar-kariakoo', 'dar-mikocheni', 'dar-temeke'];
const ENTRIES_PER_ZONE = 3;
const SIDECARS_PER_ZONE = 8;
const SETTLING_TIME: Millis = 5 * SECOND;
const CHANGE_INTERVAL: Millis = SECOND;
const POLL_INTERVAL: Millis = 20;
const IDLE_PERIOD: Millis = 10 * SECOND;

/** Notifies a callback when a version takes effect at one process. */
class InForceLogger implements Logger {
  constructor(private readonly onInForce: (version: number) => void) {}

  info(event: string, fields: Fields = {}): void {
    if (event !== 'configuration_in_force') return;
    this.onInForce(Number(fields['version']));
  }

  warn(): void {}
  error(): void {}
  debug(): void {}

  withLabel(): Logger {
    return this;
  }
}

const pause = (ms: Millis) => new Promise(wake => setTimeout(wake, ms));

/**
 * Measures the delay of publications at 9 entries and 24 sidecars, which run
 * in one process over loopback with the stand-in platform.
 * @param changes - number of publications to measure
 */
export async function measureLive(changes: number): Promise<string[]> {
  const platform = new PlatformServer();
  const platformUrl = await platform.listen();
  const example = new URL('../../../examples/kivuli.yaml', import.meta.url);
  const text = await readFile(example, 'utf8');
  const inForceAt = new Map<number, number[]>();
  const recordInForce = (version: number) => {
    const times = inForceAt.get(version) ?? [];
    times.push(performance.now());
    inForceAt.set(version, times);
  };
  const parts = (seed: number) => ({
    clock: new SystemClock(),
    chance: new Chance(seed),
    logger: new InForceLogger(recordInForce),
    metrics: new Metrics(),
  });
  const acceptedAt: number[] = [];
  const publish = (base: number) => {
    const record = {kind: 'publication', id: `p${base}`, base, author: 'bench'};
    acceptedAt[base + 1] = performance.now();
    platform.append('configuration', {...record, text: `${text}# ${base}\n`});
  };
  publish(0);
  const daemons: (Entry | Sidecar)[] = [];
  const vms: object[] = [];
  const operators: string[] = [];
  for (const zone of ZONES) {
    const perZone = ENTRIES_PER_ZONE + SIDECARS_PER_ZONE;
    for (let i = 0; i < perZone; i++) {
      const isEntry = i < ENTRIES_PER_ZONE;
      const settings = settingsOf(zone, i, isEntry, platformUrl);
      const service = serviceName('depot');
      const upstreamUrl = platformUrl;
      const seed = daemons.length + 1;
      const daemon = isEntry
        ? new Entry({...settings, port: 0}, parts(seed))
        : new Sidecar({...settings, service, upstreamUrl}, parts(seed));
      daemons.push(daemon);
      const {links: address, operators: operatorAddress} = await daemon.start();
      if (isEntry) operators.push(operatorAddress);
      const role = isEntry ? 'entry' : 'sidecar';
      const {vm, availabilityZone: az} = settings;
      const listed = {vm, availabilityZone: az, address, role, state: 'live'};
      vms.push(isEntry ? listed : {...listed, service});
    }
  }
  platform.setVms(vms);
  await pause(SETTLING_TIME);
  const idle = await cpuShare(IDLE_PERIOD, daemons.length);
  const cpuBefore = process.cpuUsage();
  for (let base = 1; base <= changes; base++) {
    publish(base);
    await pause(CHANGE_INTERVAL);
  }
  const {user, system} = process.cpuUsage(cpuBefore);
  await pause(SETTLING_TIME);
  const delays = build();
  const last = build();
  let complete = 0;
  for (let version = 2; version <= changes + 1; version++) {
    const times = inForceAt.get(version) ?? [];
    const from = acceptedAt[version] ?? 0;
    times.forEach(at => delays.recordValue(Math.round((at - from) * 10)));
    last.recordValue(Math.round((Math.max(...times) - from) * 10));
    if (times.length === daemons.length) complete += 1;
  }
  const departure = await measureDeparture(platform, vms, operators);
  for (const daemon of daemons) await daemon.stop();
  await platform.close();
  const share = (user + system) / 10 / (changes * CHANGE_INTERVAL);
  const ms = (histogram: typeof delays, percentile: number) =>
    `${histogram.getValueAtPercentile(percentile) / 10} ms`;
  return [
    `${daemons.length} daemons, ${changes} changes, ${complete} in force at all`,
    `each process: p50 ${ms(delays, 50)}, p99 ${ms(delays, 99)}`,
    `all processes: p50 ${ms(last, 50)}, p99 ${ms(last, 99)}`,
    `CPU a daemon: ${idle.toFixed(2)}% of a core idle, ` +
      `${(share / daemons.length).toFixed(2)}% at one change a second`,
    departure,
  ];
}

function settingsOf(
  zone: string,
  index: number,
  isEntry: boolean,
  platformUrl: string,
) {
  return {
    vm: vmName(`${isEntry ? 'entry' : 'upstream'}-${zone}-${index}`),
    availabilityZone: availabilityZone(zone),
    host: '127.0.0.1',
    operatorPort: 0,
    linkPort: 0,
    linkKey: 'bench-link-key-0123456789',
    logUrl: platformUrl,
    vmListUrl: platformUrl,
    drainTimeout: SECOND,
  };
}

/** Measures how soon entries show that a listed upstream is leaving. */
async function measureDeparture(
  platform: PlatformServer,
  vms: readonly object[],
  operators: readonly string[],
): Promise<string> {
  const last = vms.at(-1) as {vm: string};
  const from = performance.now();
  platform.setVms([...vms.slice(0, -1), {...last, state: 'leaving'}]);
  const times = await Promise.all(
    operators.map(async address => {
      while (!(await showsLeaving(address, last.vm))) {
        await pause(POLL_INTERVAL);
      }
      return performance.now() - from;
    }),
  );
  times.sort((a, b) => a - b);
  const [first, slowest] = [times[0], times.at(-1)].map(t => t?.toFixed(0));
  return `listed as leaving: first entry ${first} ms, last ${slowest} ms`;
}

async function showsLeaving(address: string, vm: string): Promise<boolean> {
  const res = await request(`http://${address}/status`);
  const {members} = (await res.body.json()) as {
    members: {vm: string; leaving: boolean}[];
  };
  return members.some(member => member.vm === vm && member.leaving);
}

/** Returns the processor time per daemon, in per cent of a core. */
async function cpuShare(span: Millis, daemons: number): Promise<number> {
  const before = process.cpuUsage();
  await pause(span);
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 10 / span / daemons;
}
