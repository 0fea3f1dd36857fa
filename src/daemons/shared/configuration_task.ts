import {
  CONFIGURATION_STREAM,
  ConfigurationNode,
} from '../../configuration/index.js';
import type {
  Checkpoint,
  Configuration,
  ConfigurationEffect,
  ConfigurationMessage,
  ConfigurationStatus,
  RelayPeer,
} from '../../configuration/index.js';
import type {Incarnation, Millis, Offset, Version} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import {
  DeflateCodec,
  HttpLogClient,
  compressRecord,
  expandRecord,
} from '../../clients/index.js';
import type {LogClient, LogPage} from '../../clients/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const TICK_INTERVAL: Millis = 250;

/** Actions of the task that the daemon carries out. */
export interface ConfigurationPorts {
  /** Called when a version comes into force. */
  onInForce(version: Version, cfg: Configuration): void;
  /** Sends a message to a peer. */
  send(to: Incarnation, message: ConfigurationMessage): void;
  /** Opens links to these addresses. */
  dial(addresses: ReadonlySet<string>): void;
}

type Message =
  | {readonly type: 'tick'}
  | {readonly type: 'page'; readonly page: LogPage}
  | {readonly type: 'read_failed'; readonly fault: Fault}
  | {readonly type: 'append_failed'; readonly fault: Fault}
  | {readonly type: 'members'; readonly peers: readonly RelayPeer[]}
  | {
      readonly type: 'message';
      readonly from: Incarnation;
      readonly message: ConfigurationMessage;
    };

/** Runs the I/O of a configuration node. */
export class ConfigurationTask extends Task<Message> {
  private readonly node: ConfigurationNode;
  private readonly log: LogClient;
  private readonly timer: NodeJS.Timeout;
  private isLogUnavailable = false;

  /**
   * @param context - shared context of the daemon's tasks
   * @param logUrl - address of the platform's log
   * @param ports - actions that the daemon carries out
   */
  constructor(
    private readonly context: DaemonContext,
    logUrl: string,
    private readonly ports: ConfigurationPorts,
  ) {
    super(
      context.system,
      'configuration',
      context.logger.withLabel('configuration'),
    );
    const {self, chance, clock} = context;
    const codec = new DeflateCodec();
    this.node = new ConfigurationNode(clock.now(), self, chance, codec);
    this.log = new HttpLogClient(logUrl, CONFIGURATION_STREAM);
    this.timer = setInterval(() => this.post({type: 'tick'}), TICK_INTERVAL);
    this.post({type: 'tick'});
  }

  /** Returns this task's part of `/status`. */
  status(): ConfigurationStatus {
    return this.node.status(this.context.clock.now());
  }

  /** Returns the peers that this process pulls from, or that pull from it. */
  relayPeers(): Incarnation[] {
    return this.node.relayPeers();
  }

  override stop(): void {
    clearInterval(this.timer);
    this.log.close();
    super.stop();
  }

  protected receive(message: Message): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'tick':
        return this.runEffects(this.node.tick(now));
      case 'page':
        return this.onPage(now, message.page);
      case 'read_failed':
        return this.onReadFailed(now, message.fault);
      case 'append_failed':
        this.countEvent('append_failed');
        return this.node.onAppendFailed();
      case 'members':
        return this.runEffects(this.node.updatePeers(now, message.peers));
      case 'message': {
        const {from, message: sent} = message;
        return this.runEffects(this.node.onMessage(now, from, sent));
      }
    }
  }

  private onPage(now: Millis, page: LogPage): void {
    if (this.isLogUnavailable) this.logger.info('log_recovered');
    this.isLogUnavailable = false;
    const records = page.records.map(({offset, data}) => ({
      offset,
      data: expandRecord(data),
    }));
    this.runEffects(this.node.onPage(now, {...page, records}));
  }

  private onReadFailed(now: Millis, fault: Fault): void {
    if (!this.isLogUnavailable)
      this.logger.warn('log_outage', {detail: fault.detail});
    this.isLogUnavailable = true;
    this.countEvent('read_failed');
    this.runEffects(this.node.onReadFailed(now));
  }

  private runEffects(effects: readonly ConfigurationEffect[]): void {
    for (const effect of effects) this.runEffect(effect);
  }

  private runEffect(effect: ConfigurationEffect): void {
    switch (effect.type) {
      case 'read':
        return this.read(effect.from, effect.wait);
      case 'append':
        return this.append(effect.record);
      case 'send':
        return this.ports.send(effect.to, effect.message);
      case 'dial':
        return this.ports.dial(effect.addresses);
      case 'in_force':
        return this.applyVersion(effect.version, effect.cfg);
      case 'judged': {
        const {id, verdict} = effect;
        if (verdict.accepted) return;
        const {reason, detail} = verdict;
        this.countEvent(`publication_${reason}`);
        this.logger.info('publication_refused', {id, reason, detail});
        return;
      }
      case 'malformed':
        this.countEvent('malformed_record');
        this.logger.warn('malformed_record', {offset: effect.offset});
        return;
      case 'restored':
        this.countEvent('checkpoint_restored');
        this.logger.info('checkpoint_restored', {foldedTo: effect.foldedTo});
        return;
      case 'contradiction':
        this.countEvent('peer_contradicts');
        this.logger.error('peer_contradicts', {peer: effect.from});
        return;
    }
  }

  private read(from: Offset, wait: Millis): void {
    void this.log.read(from, wait).match(
      page => this.post({type: 'page', page}),
      fault => this.post({type: 'read_failed', fault}),
    );
  }

  private append(record: Checkpoint): void {
    const {version, foldedTo} = record;
    this.logger.info('checkpoint_appended', {version, foldedTo});
    this.countEvent('checkpoint_appended');
    void this.log.append(compressRecord(record)).match(
      () => undefined,
      fault => this.post({type: 'append_failed', fault}),
    );
  }

  private applyVersion(version: Version, cfg: Configuration): void {
    this.context.metrics.versionInForce.set(version);
    this.logger.info('configuration_in_force', {version});
    this.ports.onInForce(version, cfg);
  }

  private countEvent(kind: string): void {
    this.context.metrics.logEvents.inc({kind});
  }
}
