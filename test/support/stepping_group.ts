import {Chance, SECOND} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';

/** A stream that a group of ranks serves in passes. */
export interface GroupStream {
  /** Rank that runs it. */
  readonly rank: number;
  readonly promptTokens: number;
  /** Number of events, one for each pass. */
  readonly events: number;
  /** Called at the end of each pass that made an event. */
  onEvent(now: Millis, index: number): void;
  /** Called after the last event. */
  onEnd(now: Millis): void;
}

interface RankState {
  readonly queued: GroupStream[];
  /** Prompts that are being prefilled, with the tokens that are left. */
  readonly prefilling: {readonly stream: GroupStream; left: number}[];
  readonly running: {readonly stream: GroupStream; made: number}[];
}

/** Engine parameters of a group. */
export interface GroupShape {
  readonly ranks: number;
  readonly slots: number;
  readonly stepsPerPass: number;
  readonly stepTime: Millis;
  readonly stepTimePerStream: Millis;
  readonly prefillTokensPerMs: number;
  readonly prefillTokensPerPass: number;
  /** Share of the work for tokens that the experts do. */
  readonly expertShare: number;
}

export const TWELVE_RANK_GROUP: GroupShape = {
  ranks: 12,
  slots: 8,
  stepsPerPass: 4,
  stepTime: 10,
  stepTimePerStream: 0.905,
  prefillTokensPerMs: 61.4,
  prefillTokensPerPass: 2_048,
  expertShare: 0.85,
};

/**
 * Model of a group of ranks that execute each pass together. A pass lasts as
 * long as the slowest rank's own part and the most loaded rank's experts, whose
 * load is `skew` times the mean.
 */
export class SteppingGroup {
  private readonly ranks: RankState[];
  private passEndsAt: Millis | undefined;
  private tokensInPass: number[] = [];

  /**
   * @param shape - engine parameters
   * @param skew - returns the load of the most loaded rank over the mean
   * @param isStalled - returns whether no pass begins or ends
   * @param slowdown - returns the factor by which a rank is slower
   */
  constructor(
    private readonly shape: GroupShape,
    private readonly skew: (now: Millis) => number,
    private readonly isStalled: (now: Millis) => boolean = () => false,
    private readonly slowdown: (rank: number, now: Millis) => number = () => 1,
  ) {
    this.ranks = Array.from({length: shape.ranks}, () => ({
      queued: [],
      prefilling: [],
      running: [],
    }));
  }

  /** Adds a stream to the queue of its rank. */
  submit(stream: GroupStream): void {
    this.ranks[stream.rank]!.queued.push(stream);
  }

  /** Advances to `now`; called each millisecond. */
  tick(now: Millis): void {
    if (this.isStalled(now)) {
      this.passEndsAt = undefined;
      return;
    }
    if (this.passEndsAt !== undefined && now < this.passEndsAt) return;
    if (this.passEndsAt !== undefined) this.endPass(now);
    this.beginPass(now);
  }

  private beginPass(now: Millis): void {
    const {shape, ranks} = this;
    this.tokensInPass = ranks.map(rank => {
      const inUse = () => rank.running.length + rank.prefilling.length;
      while (inUse() < shape.slots && rank.queued.length > 0) {
        const stream = rank.queued.shift()!;
        rank.prefilling.push({stream, left: stream.promptTokens});
      }
      const waiting = rank.prefilling.reduce((sum, {left}) => sum + left, 0);
      return Math.min(shape.prefillTokensPerPass, waiting);
    });
    const writers = ranks.map(({running}) => running.length);
    const work = ranks.map(
      (_, i) =>
        shape.stepsPerPass * shape.stepTimePerStream * writers[i]! +
        this.tokensInPass[i]! / shape.prefillTokensPerMs,
    );
    if (work.every(ms => ms === 0)) {
      this.passEndsAt = undefined;
      return;
    }
    const mean = work.reduce((sum, ms) => sum + ms, 0) / work.length;
    const steps = shape.stepsPerPass * shape.stepTime;
    const experts = shape.expertShare * mean * this.skew(now);
    const times = work.map(
      (ms, i) =>
        this.slowdown(i, now) *
        (steps + (1 - shape.expertShare) * ms + experts),
    );
    this.passEndsAt = now + Math.max(...times);
  }

  private endPass(now: Millis): void {
    for (const [i, rank] of this.ranks.entries()) {
      for (const entry of [...rank.running]) this.advance(now, rank, entry);
      let tokens = this.tokensInPass[i]!;
      for (const entry of [...rank.prefilling]) {
        const read = Math.min(tokens, entry.left);
        entry.left -= read;
        tokens -= read;
        if (entry.left > 0) continue;
        rank.prefilling.splice(rank.prefilling.indexOf(entry), 1);
        const started = {stream: entry.stream, made: 0};
        rank.running.push(started);
        this.advance(now, rank, started);
      }
    }
  }

  private advance(
    now: Millis,
    rank: RankState,
    entry: {readonly stream: GroupStream; made: number},
  ): void {
    const {stream} = entry;
    stream.onEvent(now, entry.made);
    entry.made += 1;
    if (entry.made < stream.events) return;
    rank.running.splice(rank.running.indexOf(entry), 1);
    stream.onEnd(now);
  }
}

/**
 * Returns the arrival times of a Poisson process.
 * @param chance - source of the gaps
 * @param perSecond - mean rate
 * @param until - end of the arrivals
 */
export function poissonArrivals(
  chance: Chance,
  perSecond: number,
  until: Millis,
): Millis[] {
  const times: Millis[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - chance.fraction()) * SECOND) / perSecond;
    if (at >= until) return times;
    times.push(at);
  }
}
