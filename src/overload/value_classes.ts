import type {Millis, OrganisationName} from '../core/index.js';
import {OrganisationTurns} from './organisation_turns.js';
import type {PendingRequest, Waiting} from './pending_request.js';
import type {RankKey} from './ranked_set.js';
import {RateWindow} from './rate_window.js';
import type {Standing, ValueModel} from './value_model.js';
import type {Size} from './work_scale.js';

/** A request in a queue. */
export interface QueuedItem<T extends PendingRequest> extends Waiting<T> {
  readonly organisation: OrganisationName | undefined;
  readonly size: Size;
  /** Unique in the queue. */
  readonly seq: number;
  aheadAtFirst: number;
  standing: Standing;
  /** Place among the requests of its class and organisation. */
  key: RankKey;
}

/** Requests of one value. */
export interface ValueClass<T extends PendingRequest> {
  readonly standing: Standing;
  readonly priority: number;
  readonly turns: OrganisationTurns<QueuedItem<T>>;
  /** Arrivals of requests that had this value as they arrived. */
  readonly arrivals: RateWindow;
}

/** Requests of a queue by value, the most valuable first. */
export class ValueClasses<T extends PendingRequest> {
  private readonly byName = new Map<string, ValueClass<T>>();
  private ordered: ValueClass<T>[] = [];

  /** @param model - values of the requests */
  constructor(private readonly model: ValueModel) {}

  /** The classes in the order of the queue. */
  get inOrder(): readonly ValueClass<T>[] {
    return this.ordered;
  }

  /**
   * Returns the class of a state and priority.
   * @param standing - the state
   * @param priority - the priority
   */
  of(standing: Standing, priority: number): ValueClass<T> {
    const name = `${standing}:${priority}`;
    let known = this.byName.get(name);
    if (known === undefined) {
      const turns = new OrganisationTurns<QueuedItem<T>>();
      known = {standing, priority, turns, arrivals: new RateWindow()};
      this.byName.set(name, known);
      this.sort();
    }
    return known;
  }

  /** Returns the next request. */
  first(): QueuedItem<T> | undefined {
    for (const {turns} of this.ordered) {
      const {first} = turns;
      if (first !== undefined) return first;
    }
    return undefined;
  }

  /**
   * Returns the number of requests that are expected to be ahead of one.
   * @param item - the request
   */
  ahead(item: QueuedItem<T>): number {
    let ahead = 0;
    for (const one of this.ordered) {
      if (one.standing === item.standing && one.priority === item.req.priority)
        return ahead + one.turns.ahead(item);
      ahead += one.turns.size;
    }
    return ahead;
  }

  /**
   * Returns the last late first attempt of the priority of a repeated request,
   * if such requests go before it.
   * @param item - the repeated request
   */
  lateAhead({req}: QueuedItem<T>): QueuedItem<T> | undefined {
    for (const {standing, priority, turns} of this.ordered) {
      if (priority !== req.priority || standing === 'in_time') continue;
      return standing === 'late' ? turns.last : undefined;
    }
    return undefined;
  }

  /**
   * Returns the rate at which requests arrive that go before a class, per ms.
   * @param now - current time
   * @param until - the class; undefined for all
   * @param deviations - standard deviations to add
   */
  arrivalRate(
    now: Millis,
    until: ValueClass<T> | undefined,
    deviations: number,
  ): number {
    let rate = 0;
    for (const one of this.ordered) {
      if (one === until) break;
      rate += one.arrivals.rate(now, deviations);
    }
    return rate;
  }

  /**
   * Returns the request whose rejection costs least.
   * @param owner - only requests of this organisation
   */
  leastCostly(
    owner?: Pick<QueuedItem<T>, 'organisation'>,
  ): QueuedItem<T> | undefined {
    let least: QueuedItem<T> | undefined;
    let lowest = Infinity;
    for (const {standing, priority, turns} of this.ordered) {
      const cost = this.model.rejectionCost(standing, priority);
      // Of equal costs, a late first attempt has the least to lose.
      if (cost > lowest || (cost === lowest && standing !== 'late')) continue;
      const last =
        owner === undefined ? turns.last : turns.lastOf(owner.organisation);
      if (last === undefined) continue;
      [least, lowest] = [last, cost];
    }
    return least;
  }

  private sort(): void {
    const classes = [...this.byName.values()];
    const leastUrgent = Math.max(...classes.map(({priority}) => priority));
    const valueOf = ({standing, priority}: ValueClass<T>) =>
      this.model.startValue(standing, priority, leastUrgent);
    this.ordered = classes.sort(
      (a, b) =>
        valueOf(b) - valueOf(a) ||
        // Of equal value, a repeated request comes first: it is lost if rejected.
        Number(b.standing === 'repeated') - Number(a.standing === 'repeated') ||
        a.priority - b.priority,
    );
  }
}
