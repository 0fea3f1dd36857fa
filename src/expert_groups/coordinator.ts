import {SECOND} from '../core/index.js';
import type {Chance, Millis} from '../core/index.js';
import type {
  MapSwitchResult,
  CoordinatorEffect,
  CoordinatorPhase,
} from './coordinator_types.js';
import {RankTable} from './rank_table.js';
import type {RankAnswer, RankOrder, UnableReason} from './messages.js';
import type {MapVersion, Rank, Step, Term} from './types.js';

/** Interval of retries of unanswered orders, and of inquiries. */
const RETRY_INTERVAL: Millis = SECOND / 2;
/** The switch is cancelled unless all ranks have promised within this time. */
const PREPARE_TIMEOUT: Millis = 5 * SECOND;
/** First backoff of a coordinator whose term was rejected. */
const STANDBY_BACKOFF_BASE: Millis = SECOND;
const STANDBY_BACKOFF_CAP: Millis = 60 * SECOND;
/** Initial and minimum steps between the latest step and a hold. */
const MIN_HOLD_MARGIN = 8;
const MAX_HOLD_MARGIN = 4_096;
/** Factor on the margin after each committed switch. */
const HOLD_MARGIN_DECAY = 0.9;
/** Map versions available to each term. */
const MAPS_PER_TERM = 2 ** 20;

interface MapSwitch {
  readonly from: MapVersion;
  readonly map: MapVersion;
  readonly startedAt: Millis;
  /** Deadline of the staging phase. */
  readonly stageDeadline: Millis;
  prepareStartedAt: Millis;
  step: Step;
  /** The step at which the ranks hold, as given by the first promise. */
  heldAt: Step | undefined;
}

/**
 * Two-phase commit coordinator that switches a group between expert maps. It
 * sends orders only in a term in which every rank has reported; a new rank
 * incarnation starts another term, so a decision never relies on the promise
 * of a rank that has been replaced.
 */
export class Coordinator {
  private state: CoordinatorPhase = 'standby';
  private term: Term = 0;
  private highestTerm: Term = 0;
  private seq = 0;
  private readonly ranks = new RankTable();
  /** Ranks that answered the current order. */
  private readonly answeredRanks = new Set<Rank>();
  private map: MapVersion = 0;
  private mapSwitch: MapSwitch | undefined;
  private mapsNumbered = 0;
  private holdMargin = MIN_HOLD_MARGIN;
  /** First step that uses the map. */
  private activeFromStep: Step = 0;
  private retryAt: Millis = 0;
  /** Rejections since all ranks of one communicator last reported. */
  private rejections = 0;
  /** Whether an inquiry was retried immediately since the last standby. */
  private hasRetriedInquiry = false;
  private standbyUntil: Millis = 0;

  /**
   * @param group - name of the group
   * @param size - number of ranks
   * @param chance - randomises the backoff of competing coordinators
   */
  constructor(
    private readonly group: string,
    private readonly size: number,
    private readonly chance: Chance,
  ) {}

  get phase(): CoordinatorPhase {
    return this.state;
  }

  /** Version of the map that this coordinator decided last. */
  get mapVersion(): MapVersion {
    return this.map;
  }

  /** The term that this coordinator claims. */
  get claimedTerm(): Term {
    return this.term;
  }

  /** Latest reported step of each rank. */
  get steps(): ReadonlyMap<Rank, Step> {
    return this.ranks.steps;
  }

  /** Ranks that have not answered the current order; none when steady. */
  get missingRanks(): Rank[] {
    if (this.state === 'steady') return [];
    return this.allRanks().filter(rank => !this.answeredRanks.has(rank));
  }

  /**
   * Starts a map switch if the coordinator is steady.
   * @param now - current time
   * @param stageTimeout - time allowed for loading the weights, ms
   * @returns version of the new map; `undefined` when not steady, or when some
   * rank has not reached the step of the last switch
   */
  propose(now: Millis, stageTimeout: Millis): MapVersion | undefined {
    if (
      this.state !== 'steady' ||
      !this.ranks.haveAllStarted(this.activeFromStep)
    )
      return undefined;
    this.mapsNumbered += 1;
    const map = this.term * MAPS_PER_TERM + this.mapsNumbered;
    this.mapSwitch = {
      from: this.map,
      map,
      startedAt: now,
      stageDeadline: now + stageTimeout,
      prepareStartedAt: now,
      step: 0,
      heldAt: undefined,
    };
    this.enterPhase('staging');
    this.retryAt = now;
    return map;
  }

  /**
   * Retries unanswered orders and cancels a switch that has timed out.
   * @param now - current time
   */
  tick(now: Millis): CoordinatorEffect[] {
    if (this.state === 'standby') {
      if (now < this.standbyUntil) return [];
      this.hasRetriedInquiry = false;
      return this.startInquiry(now);
    }
    const effects = this.checkTimeouts(now);
    if (now < this.retryAt) return effects;
    return [...effects, ...this.sendOrders(now)];
  }

  /**
   * Processes the answer of a rank.
   * @param now - current time
   * @param answer - the answer
   */
  receive(now: Millis, answer: RankAnswer): CoordinatorEffect[] {
    if (answer.type === 'group_stale') {
      return this.handleStale(now, answer.refused, answer.term);
    }
    if (answer.term !== this.term || this.state === 'standby') return [];
    if (answer.rank >= this.size) return [];
    const known = this.ranks.get(answer.rank);
    if (known && known.incarnation !== answer.incarnation) {
      return this.restartTerm(now);
    }
    if (answer.type === 'group_report') return this.recordReport(now, answer);
    if (known === undefined || answer.seq !== this.seq) return [];
    if (answer.type !== 'group_promised') {
      known.step = Math.max(known.step, answer.step);
    }
    switch (answer.type) {
      case 'group_unable':
        return this.handleUnable(now, answer);
      case 'group_staged':
        return this.recordAnswer(now, answer.rank, 'staging');
      case 'group_promised':
        return this.recordPromise(now, answer);
      case 'group_settled':
        known.map = answer.map;
        return this.recordAnswer(now, answer.rank, 'settling');
    }
  }

  private recordReport(
    now: Millis,
    answer: Extract<RankAnswer, {type: 'group_report'}>,
  ): CoordinatorEffect[] {
    this.ranks.record(answer);
    return this.recordAnswer(now, answer.rank, 'inquiring');
  }

  private recordAnswer(
    now: Millis,
    rank: Rank,
    phase: CoordinatorPhase,
  ): CoordinatorEffect[] {
    if (this.state !== phase) return [];
    this.answeredRanks.add(rank);
    if (this.answeredRanks.size < this.size) return [];
    switch (phase) {
      case 'inquiring':
        return this.recoverDecision(now);
      case 'staging':
        return this.prepare(now);
      case 'preparing':
        return this.decide(now, this.mapSwitch?.map ?? this.map);
      default:
        return this.completeSettling(now);
    }
  }

  /** Derives the earlier decision once every rank has reported in this term. */
  private recoverDecision(now: Millis): CoordinatorEffect[] {
    // A replaced engine, or one not yet connected to its successor, isn't part
    // of this group. Its next report starts another term.
    if (!this.ranks.sharesCommunicator) return [];
    this.rejections = 0;
    const {maps} = this.ranks;
    if (maps.size > 2) {
      this.enterPhase('inconsistent');
      return [];
    }
    // Versions increase: if any rank received a decision for the newer map,
    // every rank had promised; if none did, none will.
    return this.decide(now, Math.max(0, ...maps));
  }

  private prepare(now: Millis): CoordinatorEffect[] {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return [];
    mapSwitch.step = this.ranks.lastStep + this.holdMargin;
    mapSwitch.prepareStartedAt = now;
    this.enterPhase('preparing');
    return this.sendOrders(now);
  }

  private recordPromise(
    now: Millis,
    {rank, step}: {rank: Rank; step: Step},
  ): CoordinatorEffect[] {
    const {mapSwitch} = this;
    if (mapSwitch === undefined || this.state !== 'preparing') return [];
    mapSwitch.heldAt ??= step;
    if (mapSwitch.heldAt !== step) return this.cancel(now, 'uneven_hold');
    return this.recordAnswer(now, rank, 'preparing');
  }

  private handleUnable(
    now: Millis,
    {reason}: {reason: UnableReason},
  ): CoordinatorEffect[] {
    if (this.state === 'settling') {
      if (reason === 'inconsistent') this.enterPhase('inconsistent');
      return [];
    }
    if (this.state !== 'preparing') return [];
    if (reason === 'step_passed') {
      this.holdMargin = Math.min(2 * this.holdMargin, MAX_HOLD_MARGIN);
    }
    return this.cancel(now, reason);
  }

  private cancel(
    now: Millis,
    reason: MapSwitchResult['reason'],
  ): CoordinatorEffect[] {
    const ended = this.endSwitch(now, 'cancelled', reason);
    return [...ended, ...this.decide(now, this.map)];
  }

  /** Broadcasts the decision; from here on this term has one outcome. */
  private decide(now: Millis, map: MapVersion): CoordinatorEffect[] {
    this.map = map;
    this.enterPhase('settling');
    return this.sendOrders(now);
  }

  private completeSettling(now: Millis): CoordinatorEffect[] {
    this.enterPhase('steady');
    this.activeFromStep =
      this.ranks.pendingSwitchTo(this.map)?.step ?? this.mapSwitch?.heldAt ?? 0;
    this.holdMargin = Math.max(
      MIN_HOLD_MARGIN,
      Math.ceil(this.holdMargin * HOLD_MARGIN_DECAY),
    );
    return this.endSwitch(now, 'committed', '');
  }

  private endSwitch(
    now: Millis,
    outcome: MapSwitchResult['outcome'],
    reason: MapSwitchResult['reason'],
  ): CoordinatorEffect[] {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return [];
    this.mapSwitch = undefined;
    const {map, startedAt} = mapSwitch;
    const took = now - startedAt;
    return [{type: 'ended', result: {map, outcome, reason, took}}];
  }

  private checkTimeouts(now: Millis): CoordinatorEffect[] {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return [];
    if (this.state === 'staging' && now > mapSwitch.stageDeadline) {
      // No rank has promised yet, so there is nothing to roll back.
      this.enterPhase('steady');
      return this.endSwitch(now, 'cancelled', 'late');
    }
    const late = now > mapSwitch.prepareStartedAt + PREPARE_TIMEOUT;
    if (this.state === 'preparing' && late) return this.cancel(now, 'late');
    return [];
  }

  /** Starts a new term after a rank was replaced; earlier answers are void. */
  private restartTerm(now: Millis): CoordinatorEffect[] {
    const ended = this.endSwitch(now, 'superseded', 'new_rank');
    return [...ended, ...this.startInquiry(now)];
  }

  private handleStale(now: Millis, rejectedTerm: Term, highestTerm: Term) {
    this.highestTerm = Math.max(this.highestTerm, highestTerm);
    if (rejectedTerm !== this.term || this.state === 'standby') return [];
    if (this.state === 'inquiring' && !this.hasRetriedInquiry) {
      // The claimed term was too low; no switch was in progress.
      this.hasRetriedInquiry = true;
      return this.startInquiry(now);
    }
    const ended = this.endSwitch(now, 'superseded', '');
    this.enterPhase('standby');
    const {rejections, chance} = this;
    this.standbyUntil =
      now +
      chance.backoff(rejections, STANDBY_BACKOFF_BASE, STANDBY_BACKOFF_CAP);
    this.rejections += 1;
    return ended;
  }

  private startInquiry(now: Millis): CoordinatorEffect[] {
    this.term = Math.max(this.term, this.highestTerm) + 1;
    this.seq = 0;
    this.mapsNumbered = 0;
    this.ranks.clear();
    this.enterPhase('inquiring');
    return this.sendOrders(now);
  }

  private enterPhase(phase: CoordinatorPhase): void {
    this.state = phase;
    this.seq += 1;
    this.answeredRanks.clear();
  }

  private sendOrders(now: Millis): CoordinatorEffect[] {
    this.retryAt = now + RETRY_INTERVAL;
    const effects: CoordinatorEffect[] = [];
    const {group, term, state} = this;
    const inquiry = {type: 'group_inquire', group, term} as const;
    const isBroadcast = state === 'inquiring' || state === 'steady';
    for (const to of isBroadcast ? this.allRanks() : this.missingRanks) {
      const message = this.orderFor(to) ?? inquiry;
      effects.push({type: 'send', to, message});
    }
    return effects;
  }

  private orderFor(to: Rank): RankOrder | undefined {
    const rank = this.ranks.get(to);
    if (rank === undefined) return undefined;
    const {group, term, seq, mapSwitch} = this;
    const common = {group, term, seq, to: rank.incarnation};
    switch (this.state) {
      case 'settling':
        return {
          type: 'group_decide',
          ...common,
          map: this.map,
          pending: this.ranks.pendingSwitchTo(this.map),
        };
      case 'staging':
        return (
          mapSwitch && {type: 'group_stage', ...common, map: mapSwitch.map}
        );
      case 'preparing': {
        if (mapSwitch === undefined) return undefined;
        const {from, map, step} = mapSwitch;
        return {type: 'group_prepare', ...common, from, map, step};
      }
      default:
        return undefined;
    }
  }

  private allRanks(): Rank[] {
    return Array.from({length: this.size}, (_, rank) => rank);
  }
}
