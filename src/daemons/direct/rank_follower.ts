import type {RankClient} from '../../clients/index.js';
import type {Millis} from '../../core/index.js';
import {applyListChanges, countCopies} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  CutoverOrder,
  MapPatch,
  OrderOutcome,
  SuccessionTimer,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {Logger} from '../../observability/index.js';
import type {LocalRank, RankMessage} from './local_rank.js';
import type {NumberedMap} from './prepare_encoder.js';

type Watch = Extract<CutoverMessage, {type: 'cutover_watch'}>;
type Order = Extract<CutoverMessage, {type: 'cutover_order'}>;
type Look = Extract<CutoverMessage, {type: 'cutover_look'}>;

/** What a sidecar does for the coordinator of its rank's group. */
export class RankFollower {
  /** Link of the coordinator that watches this rank. */
  private coordinatorLink: Link | undefined;
  /** The map that this rank was last ordered to prepare. */
  private lastPrepared:
    {readonly map: number; readonly experts: number[][][]} | undefined;

  /**
   * @param engine - engine of the rank beside
   * @param localRank - looks at that rank
   * @param succession - knows the newest coordinator
   * @param initialMap - the map that the group starts with, once known
   * @param copyTime - tells how long the rank takes to copy an expert
   * @param logger - for orders that are not given
   */
  constructor(
    private readonly engine: RankClient,
    private readonly localRank: LocalRank,
    private readonly succession: SuccessionTimer,
    private readonly initialMap: () => NumberedMap | undefined,
    private readonly copyTime: () => Millis,
    private readonly logger: Logger,
  ) {}

  /** This sidecar coordinates the group itself from now on. */
  stopFollowing(): void {
    this.coordinatorLink = undefined;
  }

  /**
   * Tells the coordinator what was seen of the rank.
   * @param message - what was seen
   * @returns whether it was handed to a connection
   */
  sendReport(message: RankMessage): boolean {
    return this.coordinatorLink?.send(message) ?? false;
  }

  /**
   * A coordinator watches the rank.
   * @param now - present time
   * @param from - its link
   * @param watch - what it wants
   * @returns whether it is the newest one known
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
    // A successor may find the group held: it needs all reports at once.
    if (isNew) this.localRank.pollNow(now);
    return true;
  }

  /**
   * Carries out an order at the rank, or looks what one has done.
   * @param now - present time
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
    const outcome: OrderOutcome =
      message.type === 'cutover_look'
        ? message.outcome
        : await this.applyOrder(now, message);
    const report = await this.localRank.readReport();
    from.send({
      type: 'cutover_ack',
      group,
      rank,
      token,
      epoch,
      order: order.kind === 'prepare' ? {...order, experts: []} : order,
      outcome,
      report,
    });
  }

  /** Gives an order to the engine; one whose map is not known is not given. */
  private async applyOrder(now: Millis, message: Order): Promise<OrderOutcome> {
    const {order, patch, token, epoch, rank} = message;
    if (order.kind !== 'prepare') return this.engine.give(order, token, epoch);
    const {map} = order;
    const experts = patch ? this.applyPatch(map, patch) : order.experts;
    if (experts === undefined) return 'not_given';
    const before = this.lastPrepared ?? this.initialMap();
    const copies = before ? countCopies(before.experts, experts, rank) : 0;
    this.localRank.expectLoad(now, message, copies * this.copyTime());
    this.lastPrepared = {map, experts};
    const whole: CutoverOrder = {kind: 'prepare', map, experts};
    return this.engine.give(whole, token, epoch);
  }

  /**
   * Experts of a map that came as changes to another one. The same changes come
   * again when the coordinator has not heard the answer to the first.
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

  private checkToken(now: Millis, from: Link, token: number): boolean {
    if (this.succession.recordContact(now, token)) return true;
    const {group = ''} = this.localRank.lastReport ?? {};
    const {highestToken} = this.succession;
    from.send({type: 'cutover_outdated', group, token: highestToken});
    return false;
  }
}
