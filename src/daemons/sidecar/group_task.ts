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
import {GroupLoads, loadMessage} from './group_loads.js';
import {GroupMaps, mapMessage} from './group_maps.js';
import {GroupMetrics} from './group_metrics.js';
import {GroupStager} from './group_stager.js';

const TICK_EVERY: Millis = SECOND / 10;
const POLL_EVERY: Millis = SECOND / 4;
/** Time that the weights of one change have to load. */
const STAGE_WITHIN: Millis = 30 * MINUTE;

/** Which rank of which group a sidecar is of. */
export interface GroupSettings {
  readonly group: string;
  readonly rank: Rank;
  readonly service: string;
  /** Time between two plans, ms. */
  readonly planEvery: Millis;
}

/** What a group task talks to. */
export interface GroupPorts {
  readonly engine: RankEngineClient;
  readonly store: WeightStoreClient;
  send(to: Incarnation, message: GroupMessage): void;
}

/** The group as the configuration has it. */
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

/** Keeps one rank on the map of its group; at rank 0 it coordinates too. */
export class GroupTask extends Task<Message> {
  private readonly member: RankMember;
  private readonly metrics: GroupMetrics;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly peers = new Map<Rank, Incarnation>();
  private cfg: GroupConfiguration | undefined;
  private coordinator: Coordinator | undefined;
  private maps: GroupMaps | undefined;
  private loads: GroupLoads | undefined;
  private staging: {map: number; stager: GroupStager} | undefined;
  private lastChange: (MapSwitchResult & {bytes: number}) | undefined;
  private request = 0;
  private waiting = false;

  /**
   * @param context - what the daemon's tasks share
   * @param settings - which rank this is
   * @param ports - what it talks to
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly settings: GroupSettings,
    private readonly ports: GroupPorts,
  ) {
    super(context.system, 'group', context.logger.labelled('group'));
    const {group, rank} = settings;
    this.member = new RankMember(group, rank, context.self.incarnation);
    this.metrics = new GroupMetrics(context.metrics);
    this.every(TICK_EVERY, 'tick');
    this.every(POLL_EVERY, 'poll');
    this.every(settings.planEvery, 'interval');
  }

  override stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.staging?.stager.stop();
    super.stop();
  }

  /** What `/status` shows. */
  status(): object {
    const {group, rank} = this.settings;
    const {coordinator, member, lastChange} = this;
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
        lastChange,
        ...this.loads?.status(),
      },
    };
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'configured':
        return this.configure(message.cfg);
      case 'up':
        return this.greet(message.peer);
      case 'down':
        return this.lose(message.peer);
      case 'link':
        return this.take(message.from, message.message);
      case 'tick':
        return this.coordinate(this.coordinator?.tick(this.now()) ?? []);
      case 'poll':
        return this.poll();
      case 'interval':
        return this.interval();
      case 'state':
        return this.observe(message.request, message.state);
      case 'loads':
        return this.report(message.loads);
      case 'planned':
        return this.propose(message.plan);
      case 'staged':
        return this.finishStaging(message.map);
    }
  }

  private configure(cfg: GroupConfiguration): void {
    // A group keeps the sizes that its engines were started with.
    if (this.cfg !== undefined) return;
    this.cfg = cfg;
    this.maps = new GroupMaps(cfg);
    if (this.settings.rank !== 0) return;
    const {weightSkew, weightCost} = cfg;
    const policy = {...DEFAULT_POLICY, weightSkew, weightCost};
    this.loads = new GroupLoads(cfg, policy);
    const {group} = this.settings;
    this.coordinator = new Coordinator(group, cfg.ranks, this.context.chance);
  }

  private greet(peer: Identity): void {
    if (peer.service !== this.context.self.service) return;
    const {group, rank} = this.settings;
    this.ports.send(peer.incarnation, {type: 'group_hello', group, rank});
  }

  private lose(peer: Identity): void {
    for (const [rank, incarnation] of this.peers) {
      if (incarnation === peer.incarnation) this.peers.delete(rank);
    }
  }

  private take(from: Incarnation, message: GroupMessage): void {
    if (message.group !== this.settings.group) return;
    switch (message.type) {
      case 'group_hello':
        this.peers.set(message.rank, from);
        return;
      case 'group_load':
        return this.loads?.add(message);
      case 'group_fetch_map':
        return this.giveMap(from, message.map);
      case 'group_map':
        this.maps?.receive(message);
        return;
      case 'group_inquire':
      case 'group_stage':
      case 'group_prepare':
      case 'group_decide':
        return this.obey(from, message);
      default:
        return this.hear(message);
    }
  }

  private obey(from: Incarnation, order: RankOrder): void {
    this.act(this.member.receive(from, order));
  }

  private hear(answer: RankAnswer): void {
    this.metrics.heard(answer);
    this.coordinate(this.coordinator?.receive(this.now(), answer) ?? []);
  }

  private coordinate(effects: readonly CoordinatorEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'ended') this.ended(effect.result);
      else this.tell(effect.to, effect.message);
    }
  }

  private tell(rank: Rank, order: RankOrder): void {
    const {self} = this.context;
    if (rank === this.settings.rank) {
      const message = {type: 'link', from: self.incarnation, message: order};
      return this.post(message as Message);
    }
    const to = this.peers.get(rank);
    if (to !== undefined) this.ports.send(to, order);
  }

  private ended(result: MapSwitchResult): void {
    const bytes = this.loads?.last?.bytes ?? 0;
    this.lastChange = {...result, bytes};
    this.metrics.ended(result);
    this.logger.info('map_change', {...result, bytes});
  }

  private act(effects: readonly RankEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'answer') this.answer(effect.to, effect.message);
      else this.order(effect);
    }
  }

  private answer(to: Incarnation, message: RankAnswer): void {
    const {self} = this.context;
    if (to !== self.incarnation) return this.ports.send(to, message);
    this.post({type: 'link', from: to, message});
  }

  private order(effect: Extract<RankEffect, {type: 'order'}>): void {
    const {order, engine, fence} = effect;
    this.logger.debug('engine_order', {kind: order.kind});
    if (order.kind === 'stage') return this.stage(order.map);
    const request = this.begin();
    void this.ports.engine.order(order, engine, fence).match(
      state => this.post({type: 'state', request, state}),
      () => this.post({type: 'state', request, state: undefined}),
    );
  }

  private poll(): void {
    if (this.waiting) return;
    const request = this.begin();
    void this.ports.engine.state().match(
      state => this.post({type: 'state', request, state}),
      () => this.post({type: 'state', request, state: undefined}),
    );
  }

  private begin(): number {
    this.waiting = true;
    this.request += 1;
    return this.request;
  }

  private observe(request: number, state: EngineState | undefined): void {
    if (request !== this.request) return;
    this.waiting = false;
    this.act(this.member.observe(state));
    this.metrics.observe(this.member);
  }

  /** Loads weights in the background; the next polls tell when it is done. */
  private stage(version: number): void {
    if (this.staging?.map === version) return;
    const map = this.maps?.get(version);
    if (map === undefined) return this.fetchMap(version);
    this.staging?.stager.stop();
    const {rank, service} = this.settings;
    const {engine, store} = this.ports;
    const failed = () => this.metrics.retried();
    const stager = new GroupStager({rank, service, engine, store, failed});
    this.staging = {map: version, stager};
    const using = this.member.lastEngineState?.map ?? null;
    const from = using === null ? undefined : this.maps?.get(using);
    const size = this.cfg?.expertSize ?? 0;
    void stager.run(from, map, size).then(whole => {
      if (whole) this.post({type: 'staged', map: version});
    });
  }

  private finishStaging(version: number): void {
    const map = this.maps?.get(version);
    if (this.staging?.map !== version || map === undefined) return;
    this.metrics.loaded(this.staging.stager.bytes);
    this.staging = undefined;
    void this.ports.engine.putMap(map).match(
      () => this.post({type: 'poll'}),
      () => undefined,
    );
  }

  /** Whoever knows the placement sends it. */
  private fetchMap(map: number): void {
    const {group} = this.settings;
    const message = {type: 'group_fetch_map', group, map} as const;
    for (const to of this.peers.values()) this.ports.send(to, message);
    void this.ports.engine.map(map).map(found => this.maps?.add(found));
  }

  private giveMap(to: Incarnation, version: number): void {
    const map = this.maps?.get(version);
    if (map) this.ports.send(to, mapMessage(this.settings.group, map));
  }

  private interval(): void {
    void this.ports.engine.loads().match(
      loads => this.post({type: 'loads', loads}),
      () => undefined,
    );
    const {coordinator, loads} = this;
    if (coordinator?.phase !== 'steady' || loads === undefined) return;
    const version = coordinator.mapVersion;
    const map = this.maps?.get(version);
    if (map === undefined) return this.fetchMap(version);
    void loads.plan(map).then(plan => {
      if (plan) this.post({type: 'planned', plan});
    });
  }

  private report(loads: EngineLoads): void {
    const {group, rank} = this.settings;
    if (loads.toStep <= loads.fromStep) return;
    const message = loadMessage(group, rank, loads);
    if (this.loads) return this.loads.add(message);
    const to = this.peers.get(0);
    if (to !== undefined) this.ports.send(to, message);
  }

  private propose(plan: Plan): void {
    const {coordinator, maps} = this;
    this.metrics.planned(plan);
    if (!coordinator || !maps || plan.moves.length === 0) return;
    // The plan was made on a map that is no longer the group's.
    if (plan.map.version !== coordinator.mapVersion) return;
    const version = coordinator.propose(this.now(), STAGE_WITHIN);
    if (version === undefined) return;
    const map = withVersion(plan.map, version);
    maps.add(map);
    const message = mapMessage(this.settings.group, map);
    for (const to of this.peers.values()) this.ports.send(to, message);
  }

  private now(): Millis {
    return this.context.clock.now();
  }

  private every(period: Millis, type: 'tick' | 'poll' | 'interval'): void {
    this.timers.push(setInterval(() => this.post({type}), period));
  }
}
