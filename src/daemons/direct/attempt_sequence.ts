import type {Millis} from '../../core/index.js';
import type {AttemptFailure} from '../../direct/index.js';
import {CONNECT_TIMEOUT} from './attempt.js';

/** End of an attempt whose connection came after a hold-up of this process. */
export const HELD_UP: AttemptFailure = {kind: 'not_run', reason: 'held_up'};
/** End of an attempt whose connection came after its zone was evacuated. */
export const EVACUATED: AttemptFailure = {kind: 'not_run', reason: 'evacuated'};

/** What an attempt is charged to. */
export type AttemptCharge =
  /** The first of its request: nothing. */
  | 'first'
  /** None before it was sent, as those were unreachable for example: nothing. */
  | 'unsent_before'
  /** The retry budget. */
  | 'retry_budget';

/** An attempt that has begun. */
export interface BegunAttempt {
  /** Its number among the attempts of the request, from 1. */
  readonly tries: number;
  /** Its number among those that were sent, which the route bounds, from 1. */
  readonly number: number;
  readonly charge: AttemptCharge;
  /** Time that is handed on to the upstream. */
  readonly timeLeft: Millis;
  /** Time since the first attempt that was connected. */
  readonly sinceFirst: Millis;
  /** How the attempt before ended; undefined for the first. */
  readonly after: string | undefined;
}

/** State in which the last attempt was given up. */
export type GivenUp = 'sent' | 'unconnected';

/** Counts the attempts of one request, and keeps what its log lines tell. */
export class AttemptSequence {
  /** Upstreams that it was sent to, or that could not be reached. */
  readonly triedIncarnations = new Set<string>();
  private sendCount = 0;
  private queuedAt: Millis = 0;
  private queuedFor: Millis = 0;
  private firstAt: Millis | undefined;
  private begunAt: Millis = 0;
  private begun: BegunAttempt | undefined;
  private upstream: string | undefined;
  private firstTimeLeft: Millis | undefined;
  private lastConnectTime: Millis | undefined;
  private lastFailure: string | undefined;
  private state: GivenUp | undefined;

  /**
   * @param readTime - time in which the request was read and came to its turn
   */
  constructor(readonly readTime: Millis) {}

  /** Number of ended attempts that may have been sent. */
  get sends(): number {
    return this.sendCount;
  }

  /** The latest attempt; undefined before the first. */
  get latest(): BegunAttempt | undefined {
    return this.begun;
  }

  /** Time that the first attempt that was connected handed on. */
  get timeLeft(): Millis | undefined {
    return this.firstTimeLeft;
  }

  /** Time until the latest attempt was connected; undefined if it was not. */
  get connectTime(): Millis | undefined {
    return this.lastConnectTime;
  }

  /** How the last attempt was given up; undefined if it was not. */
  get givenUp(): GivenUp | undefined {
    return this.state;
  }

  /** Time that the request spent in the queue. */
  get queueTime(): Millis {
    return this.queuedFor;
  }

  /**
   * Records that the request looks for an upstream.
   * @param now - current time
   */
  recordQueued(now: Millis): void {
    this.queuedAt = now;
  }

  /**
   * Records the begin of an attempt.
   * @param now - current time
   * @param incarnation - its upstream
   * @param timeLeft - time until the request's deadline
   */
  begin(now: Millis, incarnation: string, timeLeft: Millis): void {
    this.upstream = incarnation;
    this.triedIncarnations.add(incarnation);
    this.queuedFor += now - this.queuedAt;
    this.begunAt = now;
    this.lastConnectTime = undefined;
    const tries = (this.begun?.tries ?? 0) + 1;
    const unsent = tries === 1 ? 'first' : 'unsent_before';
    this.begun = {
      tries,
      number: this.sendCount + 1,
      charge: this.sendCount > 0 ? 'retry_budget' : unsent,
      timeLeft,
      sinceFirst: now - (this.firstAt ?? now),
      after: this.lastFailure,
    };
  }

  /**
   * Records that the latest attempt is connected.
   * @param now - current time
   * @param isEvacuated - whether the zone of its upstream is evacuated by now
   * @returns the attempt as it is sent; undefined if it must not be sent: its zone
   *     is evacuated, or it took longer than a connect may, as this process was held
   *     up: what it was decided by is too old
   */
  connect(now: Millis, isEvacuated = false): BegunAttempt | undefined {
    if (isEvacuated) return undefined;
    const {begun, begunAt} = this;
    if (begun === undefined) return undefined;
    const connectTime = now - begunAt;
    const timeLeft = begun.timeLeft - connectTime;
    if (connectTime > CONNECT_TIMEOUT || timeLeft <= 0) return undefined;
    this.lastConnectTime = connectTime;
    this.firstAt ??= now;
    const sinceFirst = now - this.firstAt;
    this.begun = {...begun, timeLeft, sinceFirst};
    this.firstTimeLeft ??= timeLeft;
    return this.begun;
  }

  /**
   * Records that the latest attempt has failed.
   * @param failure - how
   * @returns the attempt
   */
  recordFailure(failure: AttemptFailure): BegunAttempt | undefined {
    const notRun = failure.kind === 'not_run' ? failure.reason : undefined;
    const isUntried = notRun === 'held_up' || notRun === 'evacuated';
    if (isUntried && this.upstream !== undefined)
      this.triedIncarnations.delete(this.upstream);
    if (!isUntried && notRun !== 'unreachable') this.sendCount += 1;
    this.lastFailure =
      failure.kind === 'failed_answer' ? `${failure.status}` : failure.reason;
    return this.begun;
  }

  /**
   * Records that the latest attempt was given up.
   * @param mayHaveBeenSent - whether bytes of it may have been sent
   */
  recordGivenUp(mayHaveBeenSent: boolean): void {
    this.state = mayHaveBeenSent ? 'sent' : 'unconnected';
  }
}
