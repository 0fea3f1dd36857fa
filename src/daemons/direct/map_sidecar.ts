import type {Millis} from '../../core/index.js';
import {SECOND, hostPort} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import {rejectRequest} from '../../links/index.js';
import {Containment} from '../../observability/index.js';
import {ControlServer} from '../shared/control_server.js';
import {OperatorServer} from '../shared/operator_server.js';
import {startContext} from '../shared/start_context.js';
import {bindWhenFree} from './bind_when_free.js';
import type {DirectParts, DirectSettings} from './estate.js';
import {KeyedFollower} from './keyed_follower.js';
import {MapTask} from './map_task.js';
import {RankLinks} from './rank_links.js';
import {RankRegistry} from './rank_registry.js';
import {DependencyHealth} from './dependency_health.js';
import {RankReader} from './rank_reader.js';

/** Interval at which a sidecar retries to read its configuration. */
const PROFILE_RETRY_INTERVAL: Millis = SECOND;
/**
 * Interval of the reads that notice a loss of registrations, which are needed
 * only when another sidecar takes over. They don't wait for new records.
 */
const REGISTRATION_CHECK_INTERVAL: Millis = 10 * SECOND;

/** Sidecar process of a rank; the sidecars manage their group's expert map. */
export class MapSidecar {
  private readonly task: MapTask;
  private readonly links: RankLinks;
  private readonly operatorServer: OperatorServer;
  /** Notices that the store has lost this rank's registration. */
  private readonly registrations: KeyedFollower;
  private readonly port: number;
  private isStopped = false;

  /**
   * @param settings - settings of this process
   * @param parts - clock, randomness, logger, metrics and platform services
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly parts: DirectParts,
  ) {
    const {estate, clock, metrics} = parts;
    const {vm, availabilityZone, ip, upstream, linkKey} = settings;
    if (upstream === undefined)
      throw new Error('settings of a sidecar must name an upstream');
    const {service, address} = upstream;
    const context = startContext(
      'sidecar',
      {vm, availabilityZone, host: ip, service},
      parts,
    );
    [this.port] = settings.internalPorts;
    const linkContext = {self: context.self, key: linkKey, clock, metrics};
    this.links = new RankLinks(
      linkContext,
      (from, message) => this.task.post({type: 'link', from, message}),
      link => this.task.post({type: 'opened', link}),
    );
    const droppedConnections = metrics.counter(
      'baobabspan_rank_connections_dropped_total',
      'Connections to ranks dropped for unexpected responses, by reason',
      ['reason'],
    );
    const createRankClient = (rank: string) =>
      estate.createRankClient(rank, reason => {
        droppedConnections.inc({reason});
        const {logger} = context;
        logger.warn('rank_connection_dropped', {address: rank, reason});
      });
    const engine = createRankClient(address);
    this.task = new MapTask(context, {
      reader: new RankReader(
        engine,
        new DependencyHealth('engine', clock, context.logger, {address}),
      ),
      engine,
      registry: new RankRegistry(estate.store, estate.topics.ranks),
      links: this.links,
      self: {sidecar: hostPort(ip, this.port), engine: address, pace: 1},
      engineAt: createRankClient,
      checksTokens: settings.enginesCheckTokens ?? false,
    });
    this.registrations = new KeyedFollower(
      estate.store,
      {
        topic: estate.topics.ranks,
        wait: 0,
        spacing: REGISTRATION_CHECK_INTERVAL,
      },
      clock,
      {
        onChanges: () => undefined,
        onRecovered: () => undefined,
        onRestored: () => undefined,
      },
      context.logger,
    );
    this.operatorServer = new OperatorServer({
      ...parts,
      notReadyReason: () => undefined,
      status: () => ({vm, service, ...this.task.status}),
    });
  }

  /** Starts the listeners and loads the expert layout. */
  async start(): Promise<void> {
    const {ip, operatorPort} = this.settings;
    const {logger} = this.parts;
    await bindWhenFree(hostPort(ip, this.port), logger, () =>
      this.links.listen(
        ip,
        this.port,
        new ControlServer(this.parts, rejectRequest).enableUpgrades(),
      ),
    );
    // The map of the group is managed without the operators' port.
    const operators = hostPort(ip, operatorPort);
    const containment = new Containment(logger, this.parts.metrics);
    void containment.runAsync('process', {address: operators}, () =>
      bindWhenFree(operators, logger, () =>
        this.operatorServer.listen(ip, operatorPort),
      ),
    );
    const {store} = this.parts.estate;
    store.onRecordsLost(() => this.task.post({type: 'registry_restored'}));
    this.registrations.start();
    void this.loadProfile();
  }

  /** Only logs the reload, as a sidecar has no reloadable settings. */
  reload(): void {
    this.parts.logger.info('reload');
  }

  /** Stops the sidecar; the rank stays on its current map. */
  async drain(): Promise<void> {
    this.isStopped = true;
    this.registrations.stop();
    this.task.stop();
    await this.links.close();
    await this.operatorServer.close();
  }

  /** Reads the configuration until it has an expert layout. */
  private async loadProfile(): Promise<void> {
    const {logger} = this.parts;
    while (!this.isStopped) {
      const profile = await this.readProfile();
      if (typeof profile === 'object') {
        this.task.post({type: 'configured', profile});
        logger.info('expert_layout', {...profile});
        return;
      }
      logger.info('expert_layout_unknown', {reason: profile});
      await new Promise(resolve => setTimeout(resolve, PROFILE_RETRY_INTERVAL));
    }
  }

  private async readProfile(): Promise<ExpertProfile | string> {
    const {store, topics} = this.parts.estate;
    const listing = await store.list(topics.configuration);
    if (listing.isErr()) return describeError(listing.error);
    for (const record of listing.value.records) {
      const read = this.parts.estate.parseConfiguration(record);
      if (read === undefined) continue;
      if (read.isErr()) return read.error.message;
      const {service} = this.settings.upstream ?? {};
      const found = read.value.services.find(({name}) => name === service);
      return (
        found?.experts ?? 'the configuration has no experts for the service'
      );
    }
    return 'the store has no configuration yet';
  }
}
