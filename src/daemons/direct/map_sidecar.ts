import type {Millis} from '../../core/index.js';
import {SECOND, hostPort} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {describe} from '../../errors/index.js';
import {OperatorServer} from '../shared/operator_server.js';
import {startContext} from '../shared/start_context.js';
import type {DirectParts, DirectSettings} from './estate.js';
import {MapTask} from './map_task.js';
import {RankLinks} from './rank_links.js';
import {RankRegistry} from './rank_registry.js';
import {Contact} from './contact.js';
import {RankWatch} from './rank_watch.js';

/** How often a sidecar asks for a configuration that it lacks. */
const ASK_EVERY: Millis = SECOND;

/** The process beside a rank that keeps the group's expert maps. */
export class MapSidecar {
  private readonly task: MapTask;
  private readonly links: RankLinks;
  private readonly operators: OperatorServer;
  private readonly port: number;
  private isStopped = false;

  /**
   * @param settings - the settings of this process
   * @param parts - clock, chance, logs and the services around
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly parts: DirectParts,
  ) {
    const {estate, clock, metrics} = parts;
    const {vm, availabilityZone, ip, upstream, linkKey} = settings;
    if (upstream === undefined) throw new Error('a sidecar needs an upstream');
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
    const engine = estate.rankAt(address);
    this.task = new MapTask(context, {
      watch: new RankWatch(
        engine,
        new Contact('engine', clock, context.logger, {address}),
      ),
      engine,
      registry: new RankRegistry(estate.store, estate.topics.ranks),
      links: this.links,
      self: {sidecar: hostPort(ip, this.port), engine: address, pace: 1},
      engineAt: at => estate.rankAt(at),
    });
    this.operators = new OperatorServer({
      metrics,
      notReadyReason: () => undefined,
      status: () => ({vm, service, ...this.task.status}),
    });
  }

  /** Starts to listen and to watch the rank. */
  async start(): Promise<void> {
    const {ip, operatorPort} = this.settings;
    await this.links.listen(ip, this.port);
    await this.operators.listen(ip, operatorPort);
    void this.learn();
  }

  /** Nothing of a sidecar's settings can change while it runs. */
  reload(): void {
    this.parts.logger.info('reload');
  }

  /** Ends; the rank goes on with the map that it has. */
  async drain(): Promise<void> {
    this.isStopped = true;
    this.task.stop();
    await this.links.close();
    await this.operators.close();
  }

  /** Asks for the layout of the experts until it is known. */
  private async learn(): Promise<void> {
    const {logger} = this.parts;
    while (!this.isStopped) {
      const profile = await this.profile();
      if (typeof profile === 'object') {
        this.task.post({type: 'configured', profile});
        logger.info('expert_layout', {...profile});
        return;
      }
      logger.info('expert_layout_unknown', {reason: profile});
      await new Promise(resolve => setTimeout(resolve, ASK_EVERY));
    }
  }

  private async profile(): Promise<ExpertProfile | string> {
    const {store, topics} = this.parts.estate;
    const listing = await store.list(topics.configuration);
    if (listing.isErr()) return describe(listing.error);
    for (const record of listing.value.records) {
      const read = this.parts.estate.configurationOf(record);
      if (read === undefined) continue;
      if (read.isErr()) return read.error.message;
      const {service} = this.settings.upstream ?? {};
      const found = read.value.services.find(({name}) => name === service);
      return found?.experts ?? 'the service has no experts';
    }
    return 'no configuration yet';
  }
}
