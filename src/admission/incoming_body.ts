import type {Millis} from '../core/index.js';

/** Bytes that count as progress of a body that other bodies wait for. */
const PROGRESS_STEP = 64 * 2 ** 10;

/** Time limits of a body. */
export interface BodyTerms {
  /** Time from which its request cannot be served. */
  readonly expiresAt: Millis;
  /** Longest time that it waits for memory. */
  readonly patience: Millis;
  /** Longest time without a byte. */
  readonly idleTimeout: Millis;
  /** Returns whether its chunks are so small that its connection is read in turns. */
  readonly isCostly?: () => boolean;
}

/** Bytes that a body waits for. */
interface Wait {
  readonly bytes: number;
  readonly since: Millis;
}

/** Request body that is being read. */
export class IncomingBody<Holder extends object> {
  private reservedBytes = 0;
  private wait: Wait | undefined;
  private lastByteAt: Millis;
  private lastProgressAt: Millis;
  private bytesSinceProgress = 0;

  /**
   * @param holder - connection that its bytes are charged to
   * @param terms - time limits
   * @param startedAt - time of its head
   */
  constructor(
    readonly holder: Holder,
    private readonly terms: BodyTerms,
    startedAt: Millis,
  ) {
    this.lastByteAt = startedAt;
    this.lastProgressAt = startedAt;
  }

  /** Bytes of the budget that it holds. */
  get reserved(): number {
    return this.reservedBytes;
  }

  /** Bytes that it waits for; undefined while it is read. */
  get wanted(): number | undefined {
    return this.wait?.bytes;
  }

  /** Whether its chunks are so small that its connection is read in turns. */
  get isCostly(): boolean {
    return this.terms.isCostly?.() === true;
  }

  /** Whether it waits for memory. */
  get isWaiting(): boolean {
    return this.wait !== undefined;
  }

  /**
   * Adds bytes to what it holds.
   * @param bytes - their number; negative if they are returned
   */
  addReserved(bytes: number): void {
    this.reservedBytes += bytes;
  }

  /**
   * Stops the reading until memory is free.
   * @param now - current time
   * @param bytes - bytes that it waits for
   */
  startWait(now: Millis, bytes: number): void {
    this.wait = {bytes, since: now};
  }

  /** Ends the wait for memory. */
  endWait(): void {
    this.wait = undefined;
  }

  /**
   * Records bytes that were read.
   * @param at - time of the process at which they were
   * @param bytes - their number
   */
  recordBytes(at: Millis, bytes: number): void {
    this.lastByteAt = at;
    this.bytesSinceProgress += bytes;
    if (this.bytesSinceProgress < PROGRESS_STEP) return;
    this.bytesSinceProgress = 0;
    this.lastProgressAt = at;
  }

  /**
   * Starts its timeouts anew, as it is read on.
   * @param at - time of the process
   */
  restartTimeouts(at: Millis): void {
    this.lastByteAt = at;
    this.lastProgressAt = at;
  }

  /**
   * Returns whether its caller is too slow.
   * @param now - current time
   * @param at - time of the process, without its pauses
   * @param stallTimeout - longest time without progress
   */
  isTooSlow(now: Millis, at: Millis, stallTimeout: Millis): boolean {
    if (this.isWaiting) return false;
    const {expiresAt, idleTimeout} = this.terms;
    if (now >= expiresAt || at - this.lastByteAt >= idleTimeout) return true;
    return at - this.lastProgressAt >= stallTimeout;
  }

  /**
   * Returns whether it has waited for memory for as long as it may.
   * @param now - current time
   */
  hasWaitedTooLong(now: Millis): boolean {
    if (this.wait === undefined) return false;
    const {patience, expiresAt} = this.terms;
    return now - this.wait.since >= patience || now >= expiresAt;
  }
}
