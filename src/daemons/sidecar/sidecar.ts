import type {LinkMessage} from '../../links/index.js';
import type {Identity} from '../../membership/index.js';
import {ConfigurationTask} from '../shared/configuration_task.js';
import type {DaemonContext} from '../shared/context.js';
import {configurationPorts, membersPorts} from '../shared/control_ports.js';
import {LinksTask} from '../shared/links_task.js';
import {MembersTask} from '../shared/members_task.js';
import {OperatorServer} from '../shared/operator_server.js';
import {startContext} from '../shared/start_context.js';
import type {DaemonParts} from '../shared/start_context.js';
import {VmListTask} from '../shared/vm_list_task.js';
import {CacheEventsTask} from './cache_events_task.js';
import {CallsTask} from './calls_task.js';
import type {GroupTask} from './group_task.js';
import {
  configureGroup,
  dialGroup,
  createGroupTask,
  isGroupMessage,
} from './group_wiring.js';
import type {SidecarSettings} from './types.js';

/** Addresses of a running sidecar, each `host:port`. */
export interface SidecarAddresses {
  readonly operators: string;
  readonly links: string;
}

/** Daemon beside one upstream, through which all its calls pass. */
export class Sidecar {
  private readonly context: DaemonContext;
  private readonly links: LinksTask;
  private readonly calls: CallsTask;
  private readonly members: MembersTask;
  private readonly group: GroupTask | undefined;
  private readonly operators: OperatorServer;
  private configuration: ConfigurationTask | undefined;
  private vmList: VmListTask | undefined;
  private cacheEvents: CacheEventsTask | undefined;
  private isLeaving = false;
  private stopping: Promise<void> | undefined;

  /**
   * @param settings - the daemon's settings
   * @param parts - clock, random source, logger and metrics
   */
  constructor(
    private readonly settings: SidecarSettings,
    parts: DaemonParts,
  ) {
    this.context = startContext('sidecar', settings, parts);
    const {context} = this;
    this.links = new LinksTask(context, settings.linkKey, {
      onPeerUp: peer => {
        this.members.post({type: 'up', peer});
        this.group?.post({type: 'up', peer});
        this.sendLeaving(peer);
      },
      onPeerDown: peer => {
        this.members.post({type: 'down', peer});
        this.group?.post({type: 'down', peer});
      },
      onCallsLinkUp: () => {},
      onCallsLinkDown: (peer, before) =>
        this.calls.post({type: 'entry_lost', entry: peer.incarnation, before}),
      onMessage: (peer, message) => this.onMessage(peer, message),
    });
    this.calls = new CallsTask(context, settings, (to, message) =>
      this.links.post({type: 'send', to, message}),
    );
    this.group = createGroupTask(context, settings, this.links);
    this.members = new MembersTask(
      context,
      membersPorts(this.links, () => this.configuration, {
        onDeparture: () => undefined,
        leave: () => this.startLeaving(),
      }),
    );
    this.operators = new OperatorServer({
      ...context,
      notReadyReason: () => this.notReadyReason(),
      status: () => this.status(),
    });
  }

  /** Number of calls that run or wait. */
  get openCalls(): number {
    return this.calls.openCalls;
  }

  /**
   * Starts the daemon.
   * @returns its addresses once all listeners are open
   */
  async start(): Promise<SidecarAddresses> {
    const {host, operatorPort, linkPort, service} = this.settings;
    const links = await this.links.listen(host, linkPort);
    this.context.self.address = links;
    const operators = await this.operators.listen(host, operatorPort);
    this.context.self.operators = operators;
    this.configuration = new ConfigurationTask(
      this.context,
      this.settings.logUrl,
      configurationPorts(this.links, (_version, cfg) => {
        if (cfg.services[service]?.kind === 'model') this.startCacheEvents();
        const limits = cfg.services[service]?.limits;
        if (limits !== undefined) this.calls.post({type: 'limits', limits});
        configureGroup(this.group, cfg.services[service]);
      }),
    );
    this.vmList = new VmListTask(this.context, this.settings.vmListUrl, vms => {
      this.members.post({type: 'listed', vms});
      if (this.group) dialGroup(this.links, this.settings, vms);
    });
    this.context.logger.info('ready', {operators, links});
    return {operators, links};
  }

  private startCacheEvents(): void {
    const {upstreamUrl} = this.settings;
    this.cacheEvents ??= new CacheEventsTask(
      this.context,
      upstreamUrl,
      message => {
        this.calls.post({type: 'cache', message});
        this.links.post({type: 'broadcast', message, role: 'entry'});
      },
    );
  }

  /** Rejects new calls, waits for the accepted ones, then stops. */
  async drain(): Promise<void> {
    this.startLeaving();
    await new Promise<void>(resolve => {
      this.calls.post({type: 'drain', onIdle: resolve});
      setTimeout(resolve, this.settings.drainTimeout).unref();
    });
    await this.stop();
  }

  /** Stops at once and notifies the entries of aborted calls. */
  stop(): Promise<void> {
    this.stopping ??= this.stopAll();
    return this.stopping;
  }

  private async stopAll(): Promise<void> {
    this.startLeaving();
    await new Promise<void>(onDone => this.calls.post({type: 'cut', onDone}));
    this.configuration?.stop();
    this.vmList?.stop();
    this.cacheEvents?.stop();
    this.members.stop();
    this.group?.stop();
    this.calls.stop();
    await this.links.close();
    await this.operators.close();
    this.context.logger.info('stopped');
  }

  private startLeaving(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.context.logger.info('leaving');
    this.calls.post({type: 'close'});
    this.links.post({type: 'broadcast', message: {type: 'leaving'}});
  }

  private sendLeaving(peer: Identity): void {
    if (!this.isLeaving) return;
    const message = {type: 'leaving'} as const;
    this.links.post({type: 'send', to: peer.incarnation, message});
  }

  private onMessage(peer: Identity, message: LinkMessage): void {
    switch (message.type) {
      case 'call':
      case 'cancel':
      case 'credit':
      case 'settle': {
        const from = peer.incarnation;
        const receivedAt = this.context.clock.now();
        return this.calls.post({type: 'request', from, message, receivedAt});
      }
      case 'leaving': {
        const incarnations = [peer.incarnation];
        return this.members.post({type: 'departures', incarnations});
      }
      case 'departures':
        return this.members.post(message);
      case 'configuration_pull':
      case 'configuration_state': {
        const from = peer.incarnation;
        this.configuration?.post({type: 'message', from, message});
        return;
      }
      default:
        if (!isGroupMessage(message)) return;
        this.group?.post({type: 'link', from: peer.incarnation, message});
    }
  }

  private notReadyReason(): string | undefined {
    if (this.isLeaving) return 'leaving';
    const version = this.configuration?.status().version ?? 0;
    return version === 0 ? 'no configuration' : undefined;
  }

  private status(): object {
    const {incarnation, availabilityZone, service, program} = this.context.self;
    return {
      role: 'sidecar',
      incarnation,
      availabilityZone,
      service,
      program,
      ready: this.notReadyReason() ?? true,
      configuration: this.configuration?.status(),
      calls: this.calls.status(),
      members: this.members.status(),
      group: this.group?.status(),
    };
  }
}
