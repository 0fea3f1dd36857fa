import {MINUTE, SECOND} from '../../core/index.js';
import type {Incarnation, Millis} from '../../core/index.js';
import {
  Coordinator,
  DEFAULT_POLICY,
  RankMember,
  withVersion,
} from '../../expert_groups/index.js';
import type {
  MapSwitchResult,
  CoordinatorEffect,
  EngineState,
  GroupMessage,
  GroupShape,
  Plan,
  Rank,
  RankAnswer,
  RankEffect,
  RankOrder,
} from '../../expert_groups/index.js';
import type {Identity} from '../../membership/index.js';
import type {
  EngineLoads,
  RankEngineClient,
  WeightStoreClient,
} from '../../clients/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import {GroupPlanner, encodeLoadMessage} from './group_planner.js';
import {ExpertMapCache, encodeMapMessage} from './expert_map_cache.js';
import {GroupMetrics} from './group_metrics.js';
import {GroupStager} from './group_stager.js';

const TICK_INTERVAL: Millis = SECOND / 10;
const POLL_INTERVAL: Millis = SECOND / 4;
/** Time limit for loading the weights of one map switch. */
const STAGING_TIMEOUT: Millis = 30 * MINUTE;

/** Rank and expert group of the sidecar's upstream. */
export interface GroupSettings {
  readonly group: string;
  readonly rank: Rank;
  readonly service: string;
  /** Interval between plans, ms. */
  readonly planEvery: Millis;
}

/** Clients and links used by a group task. */
export interface GroupPorts {
  readonly engine: RankEngineClient;
  readonly store: WeightStoreClient;
  send(to: Incarnation, message: GroupMessage): void;
}

/** Configuration of an expert group. */
export type GroupConfiguration = GroupShape & {
  readonly weightSkew: number;
  readonly weightCost: number;
};

type Message =
  | {readonly type: 'configured'; readonly cfg: GroupConfiguration}
  | {readonly type: 'up' | 'down'; readonly peer: Identity}
  | {
      readonly type: 'link';
      readonly from: Incarnation;
      readonly message: GroupMessage;
    }
  | {readonly type: 'tick' | 'poll' | 'interval'}
  | {
      readonly type: 'state';
      readonly request: number;
      readonly state: EngineState | undefined;
    }
  | {readonly type: 'loads'; readonly loads: EngineLoads}
  | {readonly type: 'planned'; readonly plan: Plan}
  | {readonly type: 'staged'; readonly map: number};

/** Switches one rank to its group's expert map; rank 0 also coordinates. */
export class GroupTask extends Task<Message> {
  private readonly member: RankMember;
  private readonly metrics: GroupMetrics;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly peers = new Map<Rank, Incarnation>();
  private cfg: GroupConfiguration | undefined;
  private coordinator: Coordinator | undefined;
  private maps: ExpertMapCache | undefined;
  private planner: GroupPlanner | undefined;
  private staging: {map: number; stager: GroupStager} | undefined;
  private lastSwitch: (MapSwitchResult & {bytes: number}) | undefined;
  private latestRequest = 0;
  private isAwaitingEngine = false;

  /**
   * @param context - shared context of the daemon's tasks
   * @param settings - rank and group of the upstream
   * @param ports - clients and links
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly settings: GroupSettings,
    private readonly ports: GroupPorts,
  ) {
    super(context.system, 'group', context.logger.withLabel('group'));
    const {group, rank} = settings;
    this.member = new RankMember(group, rank, context.self.incarnation);
    this.metrics = new GroupMetrics(context.metrics);
    this.startTimer(TICK_INTERVAL, 'tick');
    this.startTimer(POLL_INTERVAL, 'poll');
    this.startTimer(settings.planEvery, 'interval');
  }

  override stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.staging?.stager.stop();
    super.stop();
  }

  /** Returns this task's part of `/status`. */
  status(): object {
    const {group, rank} = this.settings;
    const {coordinator, member, lastSwitch} = this;
    return {
      group,
      rank,
      map: member.map,
      term: member.term,
      step: member.lastEngineState?.step,
      changing: member.isSwitching,
      coordinator: coordinator && {
        phase: coordinator.phase,
        term: coordinator.claimedTerm,
        map: coordinator.mapVersion,
        missingRanks: coordinator.missingRanks,
        lastChange: lastSwitch,
        ...this.planner?.status(),
      },
    };
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'configured':
        return this.configure(message.cfg);
      case 'up':
        return this.sendHello(message.peer);
      case 'down':
        return this.onPeerDown(message.peer);
      case 'link':
        return this.onGroupMessage(message.from, message.message);
      case 'tick':
        return this.runCoordinatorEffects(
          this.coordinator?.tick(this.now()) ?? [],
        );
      case 'poll':
        return this.poll();
      case 'interval':
        return this.onPlanInterval();
      case 'state':
        return this.onEngineState(message.request, message.state);
      case 'loads':
        return this.reportLoads(message.loads);
      case 'planned':
        return this.proposePlan(message.plan);
      case 'staged':
        return this.finishStaging(message.map);
    }
  }

  private configure(cfg: GroupConfiguration): void {
    // The sizes of a group are fixed when its engines start.
    if (this.cfg !== undefined) return;
    this.cfg = cfg;
    this.maps = new ExpertMapCache(cfg);
    if (this.settings.rank !== 0) return;
    const {weightSkew, weightCost} = cfg;
    const policy = {...DEFAULT_POLICY, weightSkew, weightCost};
    this.planner = new GroupPlanner(cfg, policy);
    const {group} = this.settings;
    this.coordinator = new Coordinator(group, cfg.ranks, this.context.chance);
  }

  private sendHello(peer: Identity): void {
    if (peer.service !== this.context.self.service) return;
    const {group, rank} = this.settings;
    this.ports.send(peer.incarnation, {type: 'group_hello', group, rank});
  }

  private onPeerDown(peer: Identity): void {
    for (const [rank, incarnation] of this.peers) {
      if (incarnation === peer.incarnation) this.peers.delete(rank);
    }
  }

  private onGroupMessage(from: Incarnation, message: GroupMessage): void {
    if (message.group !== this.settings.group) return;
    switch (message.type) {
      case 'group_hello':
        this.peers.set(message.rank, from);
        return;
      case 'group_load':
        return this.planner?.addLoads(message);
      case 'group_fetch_map':
        return this.sendMap(from, message.map);
      case 'group_map':
        this.maps?.addMessage(message);
        return;
      case 'group_inquire':
      case 'group_stage':
      case 'group_prepare':
      case 'group_decide':
        return this.onOrder(from, message);
      default:
        return this.onAnswer(message);
    }
  }

  private onOrder(from: Incarnation, order: RankOrder): void {
    this.runRankEffects(this.member.receive(from, order));
  }

  private onAnswer(answer: RankAnswer): void {
    this.metrics.recordAnswer(answer);
    this.runCoordinatorEffects(
      this.coordinator?.receive(this.now(), answer) ?? [],
    );
  }

  private runCoordinatorEffects(effects: readonly CoordinatorEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'ended') this.onSwitchEnded(effect.result);
      else this.sendOrder(effect.to, effect.message);
    }
  }

  private sendOrder(rank: Rank, order: RankOrder): void {
    const {self} = this.context;
    if (rank === this.settings.rank) {
      const message = {type: 'link', from: self.incarnation, message: order};
      return this.post(message as Message);
    }
    const to = this.peers.get(rank);
    if (to !== undefined) this.ports.send(to, order);
  }

  private onSwitchEnded(result: MapSwitchResult): void {
    const bytes = this.planner?.lastPlan?.bytes ?? 0;
    this.lastSwitch = {...result, bytes};
    this.metrics.recordSwitch(result);
    this.logger.info('map_change', {...result, bytes});
  }

  private runRankEffects(effects: readonly RankEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'answer') this.sendAnswer(effect.to, effect.message);
      else this.orderEngine(effect);
    }
  }

  private sendAnswer(to: Incarnation, message: RankAnswer): void {
    const {self} = this.context;
    if (to !== self.incarnation) return this.ports.send(to, message);
    this.post({type: 'link', from: to, message});
  }

  private orderEngine(effect: Extract<RankEffect, {type: 'order'}>): void {
    const {order, engine, fence} = effect;
    this.logger.debug('engine_order', {kind: order.kind});
    if (order.kind === 'stage') return this.startStaging(order.map);
    const request = this.beginRequest();
    void this.ports.engine.order(order, engine, fence).match(
      state => this.post({type: 'state', request, state}),
      () => this.post({type: 'state', request, state: undefined}),
    );
  }

  private poll(): void {
    if (this.isAwaitingEngine) return;
    const request = this.beginRequest();
    void this.ports.engine.state().match(
      state => this.post({type: 'state', request, state}),
      () => this.post({type: 'state', request, state: undefined}),
    );
  }

  private beginRequest(): number {
    this.isAwaitingEngine = true;
    this.latestRequest += 1;
    return this.latestRequest;
  }

  private onEngineState(request: number, state: EngineState | undefined): void {
    if (request !== this.latestRequest) return;
    this.isAwaitingEngine = false;
    this.runRankEffects(this.member.observe(state));
    this.metrics.recordMapVersion(this.member);
  }

  /** Loads weights in the background; later polls show when they are staged. */
  private startStaging(version: number): void {
    if (this.staging?.map === version) return;
    const map = this.maps?.get(version);
    if (map === undefined) return this.fetchMap(version);
    this.staging?.stager.stop();
    const {rank, service} = this.settings;
    const {engine, store} = this.ports;
    const onRetry = () => this.metrics.recordRetry();
    const stager = new GroupStager({rank, service, engine, store, onRetry});
    this.staging = {map: version, stager};
    const currentVersion = this.member.lastEngineState?.map ?? null;
    const from =
      currentVersion === null ? undefined : this.maps?.get(currentVersion);
    const size = this.cfg?.expertSize ?? 0;
    void stager.run(from, map, size).then(isComplete => {
      if (isComplete) this.post({type: 'staged', map: version});
    });
  }

  private finishStaging(version: number): void {
    const map = this.maps?.get(version);
    if (this.staging?.map !== version || map === undefined) return;
    this.metrics.recordLoadedBytes(this.staging.stager.loadedBytes);
    this.staging = undefined;
    void this.ports.engine.putMap(map).match(
      () => this.post({type: 'poll'}),
      () => undefined,
    );
  }

  /** Requests a map from all peers and from the engine. */
  private fetchMap(map: number): void {
    const {group} = this.settings;
    const message = {type: 'group_fetch_map', group, map} as const;
    for (const to of this.peers.values()) this.ports.send(to, message);
    void this.ports.engine.map(map).map(found => this.maps?.add(found));
  }

  private sendMap(to: Incarnation, version: number): void {
    const map = this.maps?.get(version);
    if (map) this.ports.send(to, encodeMapMessage(this.settings.group, map));
  }

  private onPlanInterval(): void {
    void this.ports.engine.loads().match(
      loads => this.post({type: 'loads', loads}),
      () => undefined,
    );
    const {coordinator, planner} = this;
    if (coordinator?.phase !== 'steady' || planner === undefined) return;
    const version = coordinator.mapVersion;
    const map = this.maps?.get(version);
    if (map === undefined) return this.fetchMap(version);
    void planner.plan(map).then(plan => {
      if (plan) this.post({type: 'planned', plan});
    });
  }

  private reportLoads(loads: EngineLoads): void {
    const {group, rank} = this.settings;
    if (loads.toStep <= loads.fromStep) return;
    const message = encodeLoadMessage(group, rank, loads);
    if (this.planner) return this.planner.addLoads(message);
    const to = this.peers.get(0);
    if (to !== undefined) this.ports.send(to, message);
  }

  private proposePlan(plan: Plan): void {
    const {coordinator, maps} = this;
    this.metrics.recordPlan(plan);
    if (!coordinator || !maps || plan.moves.length === 0) return;
    // The group has switched its map since the plan was computed.
    if (plan.map.version !== coordinator.mapVersion) return;
    const version = coordinator.propose(this.now(), STAGING_TIMEOUT);
    if (version === undefined) return;
    const map = withVersion(plan.map, version);
    maps.add(map);
    const message = encodeMapMessage(this.settings.group, map);
    for (const to of this.peers.values()) this.ports.send(to, message);
  }

  private now(): Millis {
    return this.context.clock.now();
  }

  private startTimer(period: Millis, type: 'tick' | 'poll' | 'interval'): void {
    this.timers.push(setInterval(() => this.post({type}), period));
  }
}
