import {SECOND} from '../core/index.js';
import type {Chance, Millis} from '../core/index.js';
import type {
  ChangeResult,
  CoordinatorEffect,
  CoordinatorPhase,
} from './coordinator_types.js';
import {RankTable} from './rank_table.js';
import type {RankAnswer, RankOrder, UnableReason} from './messages.js';
import type {MapVersion, Rank, Step, Term} from './types.js';

/** Repeats of what was not answered, and of inquiries. */
const REPEAT_EVERY: Millis = SECOND / 2;
/** All ranks must have promised by then, or the change is cancelled. */
const PREPARE_WITHIN: Millis = 5 * SECOND;
/** First wait of a coordinator that was refused, before it asks again. */
const STANDBY_BASE: Millis = SECOND;
const STANDBY_CAP: Millis = 60 * SECOND;
/** Steps that a hold is ahead of the ranks at first. */
const FIRST_MARGIN = 8;
const MAX_MARGIN = 4_096;
/** What is left of the margin after a change. */
const MARGIN_DECAY = 0.9;
/** Maps that one coordinator can number. */
const MAPS_PER_TERM = 2 ** 20;

interface Change {
  readonly from: MapVersion;
  readonly map: MapVersion;
  readonly startedAt: Millis;
  /** By when its staging must have ended. */
  readonly stageBy: Millis;
  preparedAt: Millis;
  step: Step;
  /** The step at which the ranks hold, by the first promise. */
  heldAt: Step | undefined;
}

/**
 * Takes a group from one expert map to the next. It orders only in a term in
 * which every rank has answered it; any rank that comes anew starts another
 * term, so a decision never rests on the word of a rank that is gone.
 */
export class Coordinator {
  private state: CoordinatorPhase = 'standby';
  private term: Term = 0;
  private highest: Term = 0;
  private seq = 0;
  private readonly ranks = new RankTable();
  /** Ranks that answered the present order. */
  private readonly answered = new Set<Rank>();
  private map: MapVersion = 0;
  private change: Change | undefined;
  private numbered = 0;
  private margin = FIRST_MARGIN;
  /** The step from which the map is in use. */
  private settledAt: Step = 0;
  private repeatAt: Millis = 0;
  /** Times it was refused since all ranks of one set last answered it. */
  private refusals = 0;
  /** Whether it asked again at once since it last stood by. */
  private retried = false;
  private standbyUntil: Millis = 0;

  /**
   * @param group - name of the group
   * @param size - how many ranks it has
   * @param chance - spreads the tries of two coordinators
   */
  constructor(
    private readonly group: string,
    private readonly size: number,
    private readonly chance: Chance,
  ) {}

  get phase(): CoordinatorPhase {
    return this.state;
  }

  /** The map of the group, as far as this coordinator decided it. */
  get mapVersion(): MapVersion {
    return this.map;
  }

  /** The term that it claims. */
  get ownTerm(): Term {
    return this.term;
  }

  /** Latest step that each rank was seen at. */
  get steps(): ReadonlyMap<Rank, Step> {
    return this.ranks.steps;
  }

  /** Ranks that have not answered the present order. */
  get missing(): Rank[] {
    if (this.state === 'steady') return [];
    return this.all().filter(rank => !this.answered.has(rank));
  }

  /**
   * Starts a change of map; only a steady coordinator does.
   * @param now - the present time
   * @param stageWithin - time that the weights have to load, ms
   * @returns the number of the new map; nothing when not steady, or when some
   * rank has not come to the step of the last change
   */
  propose(now: Millis, stageWithin: Millis): MapVersion | undefined {
    if (this.state !== 'steady' || !this.ranks.passed(this.settledAt))
      return undefined;
    this.numbered += 1;
    const map = this.term * MAPS_PER_TERM + this.numbered;
    this.change = {
      from: this.map,
      map,
      startedAt: now,
      stageBy: now + stageWithin,
      preparedAt: now,
      step: 0,
      heldAt: undefined,
    };
    this.enter('staging');
    this.repeatAt = now;
    return map;
  }

  /**
   * Repeats what was not answered and gives up what takes too long.
   * @param now - the present time
   */
  tick(now: Millis): CoordinatorEffect[] {
    if (this.state === 'standby') {
      if (now < this.standbyUntil) return [];
      this.retried = false;
      return this.inquire(now);
    }
    const effects = this.expire(now);
    if (now < this.repeatAt) return effects;
    return [...effects, ...this.send(now)];
  }

  /**
   * Takes the answer of a rank.
   * @param now - the present time
   * @param answer - the answer
   */
  receive(now: Millis, answer: RankAnswer): CoordinatorEffect[] {
    if (answer.type === 'group_stale') {
      return this.stale(now, answer.refused, answer.term);
    }
    if (answer.term !== this.term || this.state === 'standby') return [];
    if (answer.rank >= this.size) return [];
    const known = this.ranks.get(answer.rank);
    if (known && known.incarnation !== answer.incarnation) {
      return this.supersede(now);
    }
    if (answer.type === 'group_report') return this.report(now, answer);
    if (known === undefined || answer.seq !== this.seq) return [];
    if (answer.type !== 'group_promised') {
      known.step = Math.max(known.step, answer.step);
    }
    switch (answer.type) {
      case 'group_unable':
        return this.unable(now, answer);
      case 'group_staged':
        return this.gather(now, answer.rank, 'staging');
      case 'group_promised':
        return this.promised(now, answer);
      case 'group_settled':
        known.map = answer.map;
        return this.gather(now, answer.rank, 'settling');
    }
  }

  private report(
    now: Millis,
    answer: Extract<RankAnswer, {type: 'group_report'}>,
  ): CoordinatorEffect[] {
    this.ranks.add(answer);
    return this.gather(now, answer.rank, 'inquiring');
  }

  private gather(
    now: Millis,
    rank: Rank,
    phase: CoordinatorPhase,
  ): CoordinatorEffect[] {
    if (this.state !== phase) return [];
    this.answered.add(rank);
    if (this.answered.size < this.size) return [];
    switch (phase) {
      case 'inquiring':
        return this.resolve(now);
      case 'staging':
        return this.prepare(now);
      case 'preparing':
        return this.decide(now, this.change?.map ?? this.map);
      default:
        return this.settled(now);
    }
  }

  /** Every rank has answered in this term: what was decided before it? */
  private resolve(now: Millis): CoordinatorEffect[] {
    // An engine that was replaced, or one that has not met its successor yet,
    // is no rank of this group. Its next report starts another term.
    if (!this.ranks.joined) return [];
    this.refusals = 0;
    const {maps} = this.ranks;
    if (maps.size > 2) {
      this.enter('inconsistent');
      return [];
    }
    // A map is numbered above the one before it: if any rank was told of the
    // newer one, every rank had promised; if none was, none will be.
    return this.decide(now, Math.max(0, ...maps));
  }

  private prepare(now: Millis): CoordinatorEffect[] {
    const {change} = this;
    if (change === undefined) return [];
    change.step = this.ranks.lastStep + this.margin;
    change.preparedAt = now;
    this.enter('preparing');
    return this.send(now);
  }

  private promised(
    now: Millis,
    {rank, step}: {rank: Rank; step: Step},
  ): CoordinatorEffect[] {
    const {change} = this;
    if (change === undefined || this.state !== 'preparing') return [];
    change.heldAt ??= step;
    if (change.heldAt !== step) return this.cancel(now, 'uneven_hold');
    return this.gather(now, rank, 'preparing');
  }

  private unable(
    now: Millis,
    {reason}: {reason: UnableReason},
  ): CoordinatorEffect[] {
    if (this.state === 'settling') {
      if (reason === 'inconsistent') this.enter('inconsistent');
      return [];
    }
    if (this.state !== 'preparing') return [];
    if (reason === 'step_passed') {
      this.margin = Math.min(2 * this.margin, MAX_MARGIN);
    }
    return this.cancel(now, reason);
  }

  private cancel(
    now: Millis,
    reason: ChangeResult['reason'],
  ): CoordinatorEffect[] {
    const ended = this.end(now, 'cancelled', reason);
    return [...ended, ...this.decide(now, this.map)];
  }

  /** From here on this term has one outcome. */
  private decide(now: Millis, map: MapVersion): CoordinatorEffect[] {
    this.map = map;
    this.enter('settling');
    return this.send(now);
  }

  private settled(now: Millis): CoordinatorEffect[] {
    this.enter('steady');
    this.settledAt =
      this.ranks.pending(this.map)?.step ?? this.change?.heldAt ?? 0;
    this.margin = Math.max(FIRST_MARGIN, Math.ceil(this.margin * MARGIN_DECAY));
    return this.end(now, 'committed', '');
  }

  private end(
    now: Millis,
    outcome: ChangeResult['outcome'],
    reason: ChangeResult['reason'],
  ): CoordinatorEffect[] {
    const {change} = this;
    if (change === undefined) return [];
    this.change = undefined;
    const {map, startedAt} = change;
    const took = now - startedAt;
    return [{type: 'ended', result: {map, outcome, reason, took}}];
  }

  private expire(now: Millis): CoordinatorEffect[] {
    const {change} = this;
    if (change === undefined) return [];
    if (this.state === 'staging' && now > change.stageBy) {
      // Nothing was promised, so there is nothing to undo.
      this.enter('steady');
      return this.end(now, 'cancelled', 'late');
    }
    const late = now > change.preparedAt + PREPARE_WITHIN;
    if (this.state === 'preparing' && late) return this.cancel(now, 'late');
    return [];
  }

  /** A rank came anew: nobody's earlier word counts. */
  private supersede(now: Millis): CoordinatorEffect[] {
    const ended = this.end(now, 'superseded', 'new_rank');
    return [...ended, ...this.inquire(now)];
  }

  private stale(now: Millis, refused: Term, highest: Term) {
    this.highest = Math.max(this.highest, highest);
    if (refused !== this.term || this.state === 'standby') return [];
    if (this.state === 'inquiring' && !this.retried) {
      // It asked with too low a term, not in the middle of a change.
      this.retried = true;
      return this.inquire(now);
    }
    const ended = this.end(now, 'superseded', '');
    this.enter('standby');
    const {refusals, chance} = this;
    this.standbyUntil =
      now + chance.backoff(refusals, STANDBY_BASE, STANDBY_CAP);
    this.refusals += 1;
    return ended;
  }

  private inquire(now: Millis): CoordinatorEffect[] {
    this.term = Math.max(this.term, this.highest) + 1;
    this.seq = 0;
    this.numbered = 0;
    this.ranks.clear();
    this.enter('inquiring');
    return this.send(now);
  }

  private enter(phase: CoordinatorPhase): void {
    this.state = phase;
    this.seq += 1;
    this.answered.clear();
  }

  private send(now: Millis): CoordinatorEffect[] {
    this.repeatAt = now + REPEAT_EVERY;
    const effects: CoordinatorEffect[] = [];
    const {group, term, state} = this;
    const inquiry = {type: 'group_inquire', group, term} as const;
    const asksAll = state === 'inquiring' || state === 'steady';
    for (const to of asksAll ? this.all() : this.missing) {
      const message = this.orderFor(to) ?? inquiry;
      effects.push({type: 'send', to, message});
    }
    return effects;
  }

  private orderFor(to: Rank): RankOrder | undefined {
    const rank = this.ranks.get(to);
    if (rank === undefined) return undefined;
    const {group, term, seq, change} = this;
    const common = {group, term, seq, to: rank.incarnation};
    switch (this.state) {
      case 'settling':
        return {
          type: 'group_decide',
          ...common,
          map: this.map,
          pending: this.ranks.pending(this.map),
        };
      case 'staging':
        return change && {type: 'group_stage', ...common, map: change.map};
      case 'preparing': {
        if (change === undefined) return undefined;
        const {from, map, step} = change;
        return {type: 'group_prepare', ...common, from, map, step};
      }
      default:
        return undefined;
    }
  }

  private all(): Rank[] {
    return Array.from({length: this.size}, (_, rank) => rank);
  }
}
