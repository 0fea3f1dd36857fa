import type {Chance, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {PassEstimator} from './pass_estimator.js';
import {fairShare, fullPass, idlePass} from './pass_model.js';
import type {PacingSettings} from './pass_model.js';

/** Part of the gap target that the longest passes should have; the rest is jitter. */
const WANTED_PART = 0.93;
/** Time by which the length is extrapolated: a stream that is sent starts by then. */
const TREND_HORIZON: Millis = 0.3 * SECOND;
/** Part of the way to the wanted limit that is gone with each pass. */
const GAIN = 0.5;
/** Growth per pass, as a fraction of the equal share, by which limits converge. */
const FAIRNESS_GROWTH = 0.03;
/** EWMA weight of one pass in the number of streams. */
const LOAD_WEIGHT = 0.3;
/**
 * Part of the gap target up to which recent passes may be long while a request
 * that would start late otherwise exceeds the limit.
 */
const URGENT_PART = 0.97;
/** Last passes from which the streams that fit the gap target are known. */
const BOUND_WINDOW = 10;
/** A limit that exceeds the streams by this factor is not needed. */
const RELEASE_FACTOR = 1.25;
/** A limit that is not reached exceeds the streams at most by this factor. */
const MAX_GROWTH = 1.6;
/** Passes shorter than this fraction of the wanted length need no limit. */
const RELEASE_LENGTH = 0.9;
/** Lowest limit, as a fraction of the streams when it began. */
const MIN_FRACTION = 0.5;
/** Time after which a limit that did not shorten the passes is given up. */
const MAX_FUTILE_TIME: Millis = 2 * SECOND;
/** Part of the expected effect below which a limit is futile. */
const MIN_EFFECT = 0.3;
/** Time before a limit is tried again. */
const FUTILE_PAUSE: Millis = 5 * SECOND;
/**
 * Passes longer than those of full ranks with this imbalance don't follow from
 * the number of streams; the most loaded rank had up to twice the mean load, and
 * the expert load of a rank may add as much.
 */
const MAX_IMBALANCE = 4;
/** Streams last some seconds, so a limit is rounded anew at this interval. */
const ROUNDING_INTERVAL: Millis = 2 * SECOND;
/** Reserve for the interval at which a queue is checked. */
const START_RESERVE: Millis = 60;

/** A request that may be sent. */
export interface PacedRequest {
  /** Latest start that is within the latency target. */
  readonly targetAt: Millis;
  readonly promptTokens: number;
}

/** Size of a group and of the set of entries that send to it. */
export interface GroupSize {
  readonly ranks: number;
  readonly entries: number;
}

/** Limit on the streams of one entry at a group. */
export interface StreamLimit {
  /** Number of streams. */
  readonly running: number;
  /** The limit; undefined if there is none at present. */
  readonly value: number | undefined;
  /** Fields for `/status` and logs. */
  readonly status: object;
  /** Returns whether one more stream may be sent, for a request if given. */
  hasCapacity(now: Millis, req?: PacedRequest): boolean;
  recordSent(): void;
  recordEnded(): void;
  /** Records the time between two events of a stream, and the longest in time. */
  recordGap(now: Millis, gap: Millis, target: Millis): void;
}

/** Why a limit has ended: no more need, no effect, or no passes were seen. */
type LimitEnd = 'room' | 'futile' | 'no_passes';

/** Passes and streams when the present pressure began. */
interface Pressure {
  readonly since: Millis;
  readonly length: Millis;
  readonly load: number;
}

/**
 * Limit on the streams of one entry at a group, by the length of the group's
 * passes. All ranks make each pass together and it takes longer the more streams
 * run, by a part that is proportional to their number. So the measured length
 * and the engine's length without streams tell by which factor the streams may
 * grow, or have to shrink, for passes that are somewhat shorter than the gap
 * target. Each entry applies this factor to its own streams; a constant growth
 * that is the same at all entries lets their limits converge to the same value.
 */
export class PassLimiter implements StreamLimit {
  /** Smoothed number of streams, as of the measured passes. */
  private load: number;
  private limit = Infinity;
  /** Limit for requests that would start late if they waited longer. */
  private urgentLimit = Infinity;
  private floor = 1;
  private rounding = 0;
  private roundedAt: Millis = -Infinity;
  /** Streams with which each of the last passes would have fit. */
  private readonly bounds: number[] = [];
  private limitedAt: Millis = -Infinity;
  private adjustedAt: Millis = -Infinity;
  /** Why the last limit has ended. */
  private limitEnd: LimitEnd | undefined;
  private pressure: Pressure | undefined;
  private pausedUntil: Millis = -Infinity;
  private readonly passes: PassEstimator;

  /**
   * @param settings - engine and gap target
   * @param size - returns the size of the group and the number of entries
   * @param chance - rounds limits
   * @param streams - number of streams that run already
   */
  constructor(
    readonly settings: PacingSettings,
    private readonly size: () => GroupSize,
    private readonly chance: Chance,
    private streams = 0,
  ) {
    this.load = streams;
    this.passes = new PassEstimator(idlePass(settings.engine));
  }

  /**
   * Returns whether one more stream may be sent.
   * @param now - current time
   * @param req - the request, which may exceed the limit up to the gap target if
   * it would start late otherwise
   */
  hasCapacity(now: Millis, req?: PacedRequest): boolean {
    if (this.passes.settle(now)) this.adjust(now);
    if (this.passes.estimate === undefined) this.release('no_passes');
    if (!this.isLimiting || this.isBelow(this.limit)) return true;
    return (
      req !== undefined &&
      this.isUrgent(now, req) &&
      this.isBelow(this.urgentLimit)
    );
  }

  /** Whether there is a limit at present. */
  private get isLimiting(): boolean {
    return this.limit !== Infinity;
  }

  /** The limit; undefined if there is none. */
  get value(): number | undefined {
    return this.isLimiting ? this.limit : undefined;
  }

  /** Number of streams. */
  get running(): number {
    return this.streams;
  }

  /** Fields for `/status` and logs. */
  get status(): object {
    const estimate = this.passes.estimate;
    const {gapTarget} = this.settings;
    const round = (value: number) => Math.round(value * 10) / 10;
    return {
      streams: this.streams,
      ...(this.isLimiting
        ? {
            streamLimit: round(this.limit),
            urgentLimit: round(this.urgentLimit),
            limitedMs: Math.round(this.adjustedAt - this.limitedAt),
          }
        : {limitEnd: this.limitEnd}),
      ...(estimate && {
        passMs: round(estimate.length),
        passTail: Math.round(100 * estimate.tail) / 100,
        passTrendMsPerS: round(estimate.trend * SECOND),
        gapPressure: Math.round((100 * estimate.length) / gapTarget) / 100,
      }),
    };
  }

  /** Records that a stream was sent. */
  recordSent(): void {
    this.streams += 1;
  }

  /** Records that a stream that was sent has ended. */
  recordEnded(): void {
    this.streams = Math.max(0, this.streams - 1);
  }

  /**
   * Records the time between two events of a stream and adapts the limit.
   * @param now - current time
   * @param gap - the time
   */
  recordGap(now: Millis, gap: Millis): void {
    if (this.passes.record(now, gap)) this.adjust(now);
  }

  /** Adapts the limit after a pass. */
  private adjust(now: Millis): void {
    this.adjustedAt = now;
    const {length, trend, tail, last} = this.passes.estimate!;
    const {engine, gapTarget} = this.settings;
    const idle = idlePass(engine);
    this.load += LOAD_WEIGHT * (this.streams - this.load);
    const urgentRoom = URGENT_PART * gapTarget - idle;
    this.bounds.push((this.load * urgentRoom) / Math.max(1, last - idle));
    if (this.bounds.length > BOUND_WINDOW) this.bounds.shift();
    const expected = length + Math.max(0, trend) * TREND_HORIZON;
    const room = WANTED_PART * gapTarget - idle;
    // Length with which the longest passes have the wanted part of the target.
    const wanted = idle + Math.max(0, room / tail);
    const ratio = (wanted - idle) / Math.max(1, expected - idle);
    const {ranks, entries} = this.size();
    const share = fairShare(engine, wanted, ranks, entries);
    if (this.isFutile(now, length)) {
      this.release('futile');
      this.pausedUntil = now + FUTILE_PAUSE;
      return;
    }
    if (!this.isLimiting) {
      if (ratio >= 1 || now < this.pausedUntil) return;
      this.limitedAt = now;
      this.limit = Math.max(this.load * ratio, share);
      this.floor = Math.max(1, this.load * MIN_FRACTION);
    } else {
      const target = Math.max(this.load, this.limit) * ratio;
      this.limit += GAIN * (target - this.limit) + FAIRNESS_GROWTH * share;
      const needed = this.load * RELEASE_FACTOR + 1;
      if (this.limit > needed && expected < RELEASE_LENGTH * wanted) {
        this.release('room');
        return;
      }
      // A limit that is not reached must not grow without bound.
      this.limit = Math.min(
        this.limit,
        Math.max(MAX_GROWTH * this.load, share),
      );
    }
    this.limit = Math.max(this.floor, this.limit);
    this.urgentLimit = Math.max(this.limit, this.borne());
    if (now - this.roundedAt < ROUNDING_INTERVAL) return;
    this.roundedAt = now;
    this.rounding = this.chance.fraction();
  }

  /**
   * Returns whether fewer streams don't shorten the passes: they are longer than
   * any number of streams explains, or stayed too long while streams became fewer.
   */
  private isFutile(now: Millis, length: Millis): boolean {
    const {engine, gapTarget} = this.settings;
    const idle = idlePass(engine);
    const streamTime = fullPass(engine) - idle;
    if (length > Math.max(gapTarget, idle + MAX_IMBALANCE * streamTime)) {
      return true;
    }
    if (!this.isLimiting || length <= gapTarget) {
      this.pressure = undefined;
      return false;
    }
    this.pressure ??= {since: now, length, load: this.load};
    const {since, length: before, load} = this.pressure;
    if (now - since < MAX_FUTILE_TIME) return false;
    const expected = 1 - this.load / Math.max(1, load);
    const achieved = 1 - (length - idle) / (before - idle);
    return achieved <= MIN_EFFECT * expected;
  }

  /** Streams with which the longest of the last passes but one would have fit. */
  private borne(): number {
    const sorted = [...this.bounds].sort((a, b) => a - b);
    return sorted[1] ?? Infinity;
  }

  /** Whether a request would start late if it waited until the next check. */
  private isUrgent(
    now: Millis,
    {targetAt, promptTokens}: PacedRequest,
  ): boolean {
    const {promptChunk} = this.settings.engine;
    const passes = 0.5 + Math.max(1, Math.ceil(promptTokens / promptChunk));
    const startTime = passes * (this.passes.estimate?.length ?? 0);
    return now + startTime + START_RESERVE >= targetAt;
  }

  private isBelow(limit: number): boolean {
    return this.streams < Math.floor(limit + this.rounding);
  }

  private release(reason: LimitEnd): void {
    if (this.isLimiting) this.limitEnd = reason;
    this.limit = Infinity;
    this.urgentLimit = Infinity;
    this.pressure = undefined;
  }
}
