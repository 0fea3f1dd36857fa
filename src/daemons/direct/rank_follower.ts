import type {OrderEffect, RankClient} from '../../clients/index.js';
import type {Millis} from '../../core/index.js';
import {applyListChanges, countCopies} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  CutoverOrder,
  ExpertLists,
  MapPatch,
  SuccessionTimer,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {Logger} from '../../observability/index.js';
import type {LocalRank, RankMessage} from './local_rank.js';
import type {NumberedMap} from './prepare_encoder.js';

type Watch = Extract<CutoverMessage, {type: 'cutover_watch'}>;
type Order = Extract<CutoverMessage, {type: 'cutover_order'}>;
type Look = Extract<CutoverMessage, {type: 'cutover_look'}>;

/** Executes orders of the group's coordinator at the local rank. */
export class RankFollower {
  /** Link to the coordinator that this rank follows. */
  private coordinatorLink: Link | undefined;
  /** The map of the last prepare order. */
  private lastPrepared:
    {readonly map: number; readonly experts: number[][][]} | undefined;
  /** The map in use, once another one has been prepared. */
  private lastInUse: NumberedMap | undefined;

  /**
   * @param engine - engine of the local rank
   * @param localRank - that rank
   * @param succession - records the newest coordinator
   * @param initialMap - returns the default map of the group, once known
   * @param copyTime - returns the time to copy one expert to the rank
   * @param logger - for patches whose base map is unknown
   */
  constructor(
    private readonly engine: RankClient,
    private readonly localRank: LocalRank,
    private readonly succession: SuccessionTimer,
    private readonly initialMap: () => NumberedMap | undefined,
    private readonly copyTime: () => Millis,
    private readonly logger: Logger,
  ) {}

  /** Stops following a coordinator, when this sidecar becomes one itself. */
  stopFollowing(): void {
    this.coordinatorLink = undefined;
  }

  /**
   * Sends a report about the rank to the coordinator.
   * @param message - the report
   * @returns whether it was handed to a connection
   */
  sendReport(message: RankMessage): boolean {
    return this.coordinatorLink?.send(message) ?? false;
  }

  /**
   * Accepts the heartbeat of a coordinator, unless a newer one is known.
   * @param now - current time
   * @param from - its link
   * @param watch - the heartbeat, with the data that it requests
   * @returns whether it was accepted
   */
  acceptWatch(now: Millis, from: Link, watch: Watch): boolean {
    const {token, unplaced, counting} = watch;
    if (!this.checkToken(now, from, token)) return false;
    const {rank} = this.localRank.lastReport ?? {};
    const isUnplaced = rank !== undefined && unplaced.includes(rank);
    this.localRank.setSampling(rank !== undefined && counting.includes(rank));
    const isNew = this.coordinatorLink !== from;
    if (isNew || isUnplaced) this.localRank.requestPlacement();
    this.coordinatorLink = from;
    // The group may be held: a new coordinator needs all reports at once.
    if (isNew) this.localRank.pollNow(now);
    return true;
  }

  /**
   * Executes an order at the rank, or reads the effect of one that was sent
   * directly, and acknowledges it.
   * @param now - current time
   * @param from - link of the coordinator
   * @param message - the order
   */
  async executeOrder(
    now: Millis,
    from: Link,
    message: Order | Look,
  ): Promise<void> {
    const {order, token, epoch, group, rank} = message;
    if (!this.checkToken(now, from, token)) return;
    if (message.type === 'cutover_look') {
      this.localRank.expectLoad(now, message);
    }
    const {outcome, report} =
      message.type === 'cutover_look'
        ? {
            outcome: message.outcome,
            report: await this.localRank.readReport(),
          }
        : await this.applyOrder(now, message);
    from.send({
      type: 'cutover_ack',
      group,
      rank,
      token,
      epoch,
      order: order.kind === 'prepare' ? {...order, experts: []} : order,
      outcome,
      report: report ?? null,
    });
  }

  /**
   * Returns the experts of a map that was ordered through this sidecar: the
   * last one, or the one in use.
   * @param map - number of the map
   */
  expertsOf(map: number): ExpertLists | undefined {
    const known = [this.lastPrepared, this.lastInUse];
    return known.find(one => one?.map === map)?.experts;
  }

  /** Sends an order to the engine, unless its map is unknown. */
  private async applyOrder(now: Millis, message: Order): Promise<OrderEffect> {
    const {order, patch, token, epoch, rank} = message;
    if (order.kind !== 'prepare') return this.send(order, token, epoch);
    const {map} = order;
    const experts = patch ? this.applyPatch(map, patch) : order.experts;
    if (experts === undefined) {
      const report = (await this.localRank.readReport()) ?? undefined;
      return {outcome: 'not_given', report};
    }
    const before = this.lastPrepared ?? this.initialMap();
    const copies = before ? countCopies(before.experts, experts, rank) : 0;
    this.localRank.expectLoad(now, message, copies * this.copyTime());
    if (this.lastPrepared?.map === this.localRank.lastReport?.map)
      this.lastInUse = this.lastPrepared;
    this.lastPrepared = {map, experts};
    const whole: CutoverOrder = {kind: 'prepare', map, experts};
    return this.send(whole, token, epoch);
  }

  private async send(
    order: CutoverOrder,
    token: number,
    epoch: number,
  ): Promise<OrderEffect> {
    const effect = await this.engine.sendOrderAndReport(order, token, epoch, 0);
    if (effect.report !== undefined)
      this.localRank.recordOrderReport(effect.report);
    return effect;
  }

  /**
   * Returns the experts of a map that was sent as a patch to another one. The
   * coordinator sends a patch again while its acknowledgement is pending.
   */
  private applyPatch(map: number, patch: MapPatch): number[][][] | undefined {
    if (this.lastPrepared?.map === map) return this.lastPrepared.experts;
    const known = [this.lastPrepared, this.initialMap()];
    const base = known.find(one => one?.map === patch.base);
    if (base !== undefined)
      return applyListChanges(base.experts, patch.changes);
    this.logger.warn('map_base_unknown', {
      map,
      base: patch.base,
      known: known.map(one => one?.map).join(' '),
    });
    return undefined;
  }

  /** Returns whether a token is current; answers its sender otherwise. */
  private checkToken(now: Millis, from: Link, token: number): boolean {
    if (this.succession.recordContact(now, token)) return true;
    const {group = ''} = this.localRank.lastReport ?? {};
    const {highestToken} = this.succession;
    from.send({type: 'cutover_outdated', group, token: highestToken});
    return false;
  }
}
