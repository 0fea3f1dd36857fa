import {readFile} from 'node:fs/promises';

import {CONFIGURATION_STREAM} from '../../configuration/index.js';
import {availabilityZone, serviceName, vmName} from '../../core/index.js';
import type {ServiceName} from '../../core/index.js';
import {Entry} from '../../daemons/entry/index.js';
import type {EntryAddresses} from '../../daemons/entry/index.js';
import {Sidecar} from '../../daemons/sidecar/index.js';
import {EngineServer} from '../../../standins/engine_server.js';
import {PlainService} from '../../../standins/plain_service.js';
import {PlatformServer} from '../../../standins/platform_server.js';
import {createDaemonParts} from '../shared/run_daemon.js';

const ZONES = ['dar-kariakoo', 'dar-mikocheni'].map(availabilityZone);
const EXAMPLE = new URL('../../../../examples/kivuli.yaml', import.meta.url);
const LINK_KEY = 'demo-link-key-0123456789';
const HOST = '127.0.0.1';
const SECOND_MS = 1_000;

/** Process of the demo estate. */
export interface DemoMember {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly role: 'entry' | 'sidecar';
  readonly service: string;
  readonly address: string;
}

/** Small estate on loopback that runs in this process. */
export class DemoEstate {
  private readonly platform = new PlatformServer();
  private readonly closeCallbacks: (() => Promise<void>)[] = [];
  private readonly vms: object[] = [];

  /** All sidecars and entries. */
  readonly members: DemoMember[] = [];
  /** Plain services; they record the requests that they executed. */
  readonly depots: PlainService[] = [];
  /** Addresses of the entries. */
  readonly entries: EntryAddresses[] = [];

  /** Starts the stand-ins, the sidecars and the entries. */
  async start(): Promise<void> {
    const platformUrl = await this.platform.listen();
    const text = await readFile(EXAMPLE, 'utf8');
    const record = {kind: 'publication', id: 'demo', base: 0, author: 'demo'};
    this.platform.append(CONFIGURATION_STREAM, {...record, text});
    for (const zone of ZONES) {
      const engine = new EngineServer();
      const depot = new PlainService('depot');
      this.depots.push(depot);
      await this.startSidecar(zone, 'rounds-assistant', engine, platformUrl);
      await this.startSidecar(zone, 'depot', depot, platformUrl);
    }
    this.platform.setVms(this.vms);
    for (const zone of ZONES) await this.startEntry(zone, platformUrl);
  }

  /** Stops the daemons first, then the stand-ins that they connect to. */
  async close(): Promise<void> {
    for (const close of this.closeCallbacks.reverse()) await close();
    await this.platform.close();
  }

  private async startSidecar(
    zone: (typeof ZONES)[number],
    name: string,
    upstream: EngineServer | PlainService,
    platformUrl: string,
  ): Promise<void> {
    const upstreamUrl = await upstream.listen();
    this.closeCallbacks.push(() => upstream.close());
    const service: ServiceName = serviceName(name);
    const vm = vmName(`${name}-${zone}`);
    const sidecar = new Sidecar(
      {...this.commonSettings(vm, zone, platformUrl), service, upstreamUrl},
      createDaemonParts('warn'),
    );
    const {links: address} = await sidecar.start();
    this.closeCallbacks.push(() => sidecar.stop());
    const listed = {vm, availabilityZone: zone, role: 'sidecar', service};
    this.vms.push({...listed, state: 'live', address});
    const role = 'sidecar';
    this.members.push({vm, availabilityZone: zone, role, service, address});
  }

  private async startEntry(
    zone: (typeof ZONES)[number],
    platformUrl: string,
  ): Promise<void> {
    const vm = vmName(`entry-${zone}`);
    const entry = new Entry(
      {...this.commonSettings(vm, zone, platformUrl), port: 0},
      createDaemonParts('warn'),
    );
    const addresses = await entry.start();
    this.entries.push(addresses);
    this.closeCallbacks.push(() => entry.stop());
    this.members.push({
      vm,
      availabilityZone: zone,
      role: 'entry',
      service: '',
      address: addresses.callers,
    });
  }

  private commonSettings(
    vm: ReturnType<typeof vmName>,
    zone: (typeof ZONES)[number],
    platformUrl: string,
  ) {
    return {
      vm,
      availabilityZone: zone,
      host: HOST,
      operatorPort: 0,
      linkPort: 0,
      linkKey: LINK_KEY,
      logUrl: platformUrl,
      vmListUrl: platformUrl,
      drainTimeout: 10 * SECOND_MS,
    };
  }
}
