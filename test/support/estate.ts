import {fileURLToPath} from 'node:url';

import {request} from 'undici';

import {PlatformProxy} from './platform_proxy.js';
import type {TestVm} from './platform_proxy.js';
import {Processes, until} from './processes.js';
import type {TestProcess} from './processes.js';
import {Relay} from './relay.js';

const LINK_KEY = 'test-link-key-0123456789';

/** Composition of a test estate. */
export interface EstatePlan {
  /** File name of the example configuration. */
  readonly example: string;
  readonly zones: readonly string[];
  /** Services, with the kind of stand-in that is their upstream. */
  readonly services: Readonly<Record<string, 'engine' | 'plain'>>;
}

/** A daemon of the estate. */
export interface Daemon {
  readonly vm: TestVm;
  readonly process: TestProcess;
  /** Operator address, `http://host:port`. */
  readonly operators: string;
  /** Caller address of an entry. */
  readonly callers: string;
  /** Address of the upstream of a sidecar. */
  readonly upstreamUrl: string;
}

/** Estate of real processes whose availability zones can be disconnected. */
export class Estate {
  readonly processes = new Processes();
  readonly daemons: Daemon[] = [];
  readonly proxies = new Map<string, PlatformProxy>();
  platformUrl = '';
  private readonly proxyUrls = new Map<string, string>();
  private readonly relays = new Map<string, {relay: Relay; address: string}>();

  constructor(readonly plan: EstatePlan) {}

  /** Path of the example configuration. */
  get examplePath(): string {
    const url = new URL(`../../examples/${this.plan.example}`, import.meta.url);
    return fileURLToPath(url);
  }

  async start(): Promise<void> {
    const platform = this.processes.standin('platform');
    this.platformUrl = (await platform.waitForEvent('ready'))['url'] ?? '';
    for (const zone of this.plan.zones) await this.openProxy(zone);
    for (const zone of this.plan.zones) {
      for (const service of Object.keys(this.plan.services)) {
        await this.startSidecar(zone, service);
      }
    }
    await this.publishVmList();
    for (const zone of this.plan.zones) await this.startEntry(zone);
    await this.publishVmList();
  }

  async close(): Promise<void> {
    await this.processes.close();
    for (const proxy of this.proxies.values()) await proxy.close();
    for (const {relay} of this.relays.values()) await relay.close();
  }

  entry(zone: string): Daemon {
    return this.find('entry', zone, undefined);
  }

  sidecar(zone: string, service: string): Daemon {
    return this.find('sidecar', zone, service);
  }

  /** Stores the daemons in the VM list of the platform. */
  async publishVmList(): Promise<void> {
    const body = JSON.stringify(this.daemons.map(({vm}) => vm));
    await request(`${this.platformUrl}/vms`, {method: 'PUT', body});
  }

  async startSidecar(zone: string, service: string): Promise<Daemon> {
    const kind = this.plan.services[service] ?? 'plain';
    const upstream = this.processes.standin(kind);
    const upstreamUrl = (await upstream.waitForEvent('ready'))['url'] ?? '';
    const vm = `${service}-${zone}`;
    const process = this.processes.cli(
      ...['sidecar', '--vm', vm, '--service', service],
      ...['--upstream-url', upstreamUrl, ...this.commonArgs(zone)],
    );
    return this.add(process, 'sidecar', zone, {vm, service, upstreamUrl});
  }

  async startEntry(zone: string): Promise<Daemon> {
    const vm = `entry-${zone}`;
    const process = this.processes.cli(
      ...['entry', '--vm', vm, '--port', '0', ...this.commonArgs(zone)],
    );
    return this.add(process, 'entry', zone, {vm, upstreamUrl: ''});
  }

  remove(daemon: Daemon): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  /** Stalls open connections to the daemon for good; new ones work. */
  stallConnections(daemon: Daemon): void {
    for (const relay of this.relaysTo(daemon)) relay.stallConnections();
  }

  /** Disconnects a zone from the other zones and from the platform. */
  cutZone(zone: string): void {
    this.proxies.get(zone)?.cut();
    for (const relay of this.relaysAcross(zone)) relay.cut();
  }

  healZone(zone: string): void {
    this.proxies.get(zone)?.heal();
    for (const relay of this.relaysAcross(zone)) relay.heal();
  }

  async setFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    await request(`${this.platformUrl}/control/faults`, {method: 'PUT', body});
  }

  async status(daemon: Daemon): Promise<Record<string, unknown>> {
    const res = await request(`${daemon.operators}/status`);
    return (await res.body.json()) as Record<string, unknown>;
  }

  /** Returns the version in force at a daemon. */
  async version(daemon: Daemon): Promise<number> {
    const status = await this.status(daemon);
    return (status['configuration'] as {version: number}).version;
  }

  /** Waits until a version is in force at all given daemons. */
  async waitForVersion(version: number, daemons = this.daemons): Promise<void> {
    for (const daemon of daemons) {
      await until(async () => (await this.version(daemon)) >= version);
    }
  }

  private commonArgs(zone: string): string[] {
    const proxyUrl = this.proxyUrls.get(zone) ?? '';
    return [
      ...['--availability-zone', zone, '--link-key', LINK_KEY],
      ...['--log-url', proxyUrl, '--vm-list-url', proxyUrl],
    ];
  }

  private async add(
    process: TestProcess,
    role: TestVm['role'],
    zone: string,
    more: {vm: string; service?: string; upstreamUrl: string},
  ): Promise<Daemon> {
    const ready = await process.waitForEvent('ready');
    const {upstreamUrl, ...named} = more;
    const address = ready['links'] ?? '';
    const placed = {availabilityZone: zone, role, address} as const;
    const vm: TestVm = {...named, ...placed, state: 'live'};
    const daemon = {
      vm,
      process,
      operators: `http://${ready['operators']}`,
      callers: `http://${ready['callers']}`,
      upstreamUrl,
    };
    for (const from of this.plan.zones) await this.openRelay(from, vm);
    this.daemons.push(daemon);
    return daemon;
  }

  private async openProxy(zone: string): Promise<void> {
    const proxy = new PlatformProxy(this.platformUrl, vm => {
      const key = `${zone} ${vm.availabilityZone} ${vm.address}`;
      return this.relays.get(key)?.address ?? vm.address;
    });
    this.proxies.set(zone, proxy);
    this.proxyUrls.set(zone, await proxy.listen());
  }

  private async openRelay(from: string, vm: TestVm): Promise<void> {
    const relay = new Relay(vm.address);
    const address = await relay.listen();
    const key = `${from} ${vm.availabilityZone} ${vm.address}`;
    this.relays.set(key, {relay, address});
  }

  private relaysTo({vm}: Daemon): Relay[] {
    return [...this.relays]
      .filter(([key]) => key.endsWith(` ${vm.address}`))
      .map(([, {relay}]) => relay);
  }

  private relaysAcross(zone: string): Relay[] {
    return [...this.relays]
      .filter(([key]) => {
        const [from, to] = key.split(' ');
        return (from === zone) !== (to === zone);
      })
      .map(([, {relay}]) => relay);
  }

  private find(
    role: TestVm['role'],
    zone: string,
    service: string | undefined,
  ): Daemon {
    const found = this.daemons.find(
      ({vm}) =>
        vm.role === role &&
        vm.availabilityZone === zone &&
        vm.service === service,
    );
    if (!found) throw new Error(`no ${role} ${service ?? ''} in ${zone}`);
    return found;
  }
}
