import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {CallerMemory} from './caller_memory.js';
import {IncomingBody} from './incoming_body.js';
import type {BodyTerms} from './incoming_body.js';

/** Part of a body that is read while large bodies wait for memory, bytes. */
const OWN_PART = 64 * 2 ** 10;
/** First part that is reserved for a body without a length, bytes. */
export const FIRST_PART = 16 * 2 ** 10;
/** Bodies that wait for memory at once; each has its own part reserved. */
const MAX_WAITING = 128;
/** Time without progress after which a body that others wait for is rejected. */
const STALL_TIMEOUT: Millis = SECOND;
/** The same while there is no memory for the own part of a further body. */
const CRITICAL_STALL_TIMEOUT: Millis = SECOND / 4;
/**
 * Bodies with costly chunks that may make no progress; with more, each of them waits
 * over a second for its turn. Fewer ordinary clients send such chunks at once.
 */
const MAX_STALLED_COSTLY = 64;
/** Longest time between two checks that counts; more is a pause of the process. */
const MAX_CHECK_GAP: Millis = SECOND / 4;

/** Why a body is rejected: no memory in time, or its caller is too slow. */
export type BodyRejection = 'memory_exhausted' | 'request_timeout';

/** Decision on a body that is not complete. */
export type BodyDecision = 'read' | 'wait' | BodyRejection;

/**
 * Admission control of request bodies by memory. The declared length of a large
 * body is reserved before it is read, so that no body waits with a part in memory
 * for others that do the same. While bodies wait, those that make no progress are
 * rejected and their reservation is released.
 */
export class BodyAdmission<Holder extends object> {
  /** Bodies that are not complete, in order of arrival. */
  private readonly incomplete = new Set<IncomingBody<Holder>>();
  private waiting = 0;
  private reserved = 0;
  private lastCheckAt: Millis = 0;
  /** Time that passed while this process did not run. */
  private pausedTime: Millis = 0;

  /** @param memory - budget of the process */
  constructor(private readonly memory: CallerMemory<Holder>) {}

  /** Number of bodies that are not complete. */
  get incompleteCount(): number {
    return this.incomplete.size;
  }

  /** Number of incomplete bodies whose chunks are so small that they share a turn. */
  get costlyCount(): number {
    let count = 0;
    for (const body of this.incomplete) count += body.isCostly ? 1 : 0;
    return count;
  }

  /** Bytes that bodies hold, complete or not. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /** Number of bodies that wait for memory. */
  get waitingCount(): number {
    return this.waiting;
  }

  /**
   * Registers a body whose head was read.
   * @param now - current time
   * @param holder - its connection
   * @param length - its declared length, bytes; undefined if it has none
   * @param terms - time limits
   * @returns the body, with what to do; one that is rejected holds nothing
   */
  open(
    now: Millis,
    holder: Holder,
    length: number | undefined,
    terms: BodyTerms,
  ): {body: IncomingBody<Holder>; decision: BodyDecision} {
    if (this.incomplete.size === 0) this.lastCheckAt = now;
    const body = new IncomingBody(holder, terms, this.runTime(now));
    const own = Math.min(length ?? FIRST_PART, OWN_PART);
    if (own > 0 && !this.memory.fitsOwnPart(own, this.reserved))
      return {body, decision: 'memory_exhausted'};
    this.charge(body, own);
    this.incomplete.add(body);
    const rest = (length ?? own) - own;
    if (rest === 0) return {body, decision: 'read'};
    const decision = this.reserve(now, body, rest);
    if (decision === 'memory_exhausted') this.reject(body);
    return {body, decision};
  }

  /**
   * Reserves memory for the further bytes of a body without a length.
   * @param now - current time
   * @param body - a body that is read
   * @param bytes - their number
   * @returns what to do; one that is rejected keeps what it holds until `release`
   */
  reserve(
    now: Millis,
    body: IncomingBody<Holder>,
    bytes: number,
  ): 'read' | 'wait' | 'memory_exhausted' {
    if (this.memory.fits(bytes)) {
      this.charge(body, bytes);
      return 'read';
    }
    if (this.waiting >= MAX_WAITING) return 'memory_exhausted';
    body.startWait(now, bytes);
    this.waiting += 1;
    return 'wait';
  }

  /**
   * Records bytes of a body.
   * @param now - current time
   * @param body - the body
   * @param bytes - their number
   */
  recordBytes(now: Millis, body: IncomingBody<Holder>, bytes: number): void {
    body.recordBytes(this.runTime(now), bytes);
  }

  /**
   * Removes a body that is complete or has failed; it holds its memory further.
   * @param body - the body
   */
  close(body: IncomingBody<Holder>): void {
    if (!this.incomplete.delete(body)) return;
    this.stopWaiting(body);
  }

  /**
   * Returns memory of a body to the budget.
   * @param body - the body
   * @param bytes - their number; all of it by default
   */
  release(body: IncomingBody<Holder>, bytes = body.reserved): void {
    body.addReserved(-bytes);
    this.reserved -= bytes;
    this.memory.remove(body.holder, bytes, 'bodies');
  }

  /**
   * Decides on the bodies that are not complete.
   * @param now - current time
   * @returns those that can be read now, and those that are rejected
   */
  check(now: Millis): Map<IncomingBody<Holder>, BodyDecision> {
    const decisions = new Map<IncomingBody<Holder>, BodyDecision>();
    this.recordCheck(now);
    const stallTimeout = this.stallTimeout;
    const at = this.runTime(now);
    // Those that share processor time are not to hold it for good.
    const costlyTimeout =
      this.costlyCount > MAX_STALLED_COSTLY
        ? Math.min(stallTimeout, STALL_TIMEOUT)
        : stallTimeout;
    for (const body of this.incomplete) {
      const timeout = body.isCostly ? costlyTimeout : stallTimeout;
      if (!body.isTooSlow(now, at, timeout)) continue;
      this.reject(body);
      decisions.set(body, 'request_timeout');
    }
    for (const body of this.admitWaiting(now)) decisions.set(body, 'read');
    for (const body of this.incomplete) {
      if (!body.hasWaitedTooLong(now)) continue;
      this.reject(body);
      decisions.set(body, 'memory_exhausted');
    }
    return decisions;
  }

  /**
   * Admits waiting bodies as far as the budget allows.
   * @param now - current time
   * @returns the bodies that can be read now
   */
  admitWaiting(now: Millis): readonly IncomingBody<Holder>[] {
    const admitted: IncomingBody<Holder>[] = [];
    if (this.waiting === 0) return admitted;
    for (const body of this.incomplete) {
      const {wanted} = body;
      if (wanted === undefined || !this.memory.fits(wanted)) continue;
      this.charge(body, wanted);
      this.stopWaiting(body);
      body.restartTimeouts(this.runTime(now));
      admitted.push(body);
    }
    return admitted;
  }

  /** Time without progress after which bodies are rejected. */
  private get stallTimeout(): Millis {
    if (this.waiting > 0) return STALL_TIMEOUT;
    // Their end does not help where heads or responses hold the memory.
    if (2 * this.reserved < this.memory.usedBytes) return Infinity;
    if (!this.memory.fitsOwnPart(OWN_PART, this.reserved))
      return CRITICAL_STALL_TIMEOUT;
    return this.memory.fits(0) ? Infinity : STALL_TIMEOUT;
  }

  private charge(body: IncomingBody<Holder>, bytes: number): void {
    body.addReserved(bytes);
    this.reserved += bytes;
    this.memory.add(body.holder, bytes, 'bodies');
  }

  private reject(body: IncomingBody<Holder>): void {
    this.close(body);
    this.release(body);
  }

  private stopWaiting(body: IncomingBody<Holder>): void {
    if (!body.isWaiting) return;
    body.endWait();
    this.waiting -= 1;
  }

  /** Time in which this process ran: what arrived in a pause is not read yet. */
  private runTime(now: Millis): Millis {
    return now - this.pausedTime;
  }

  private recordCheck(now: Millis): void {
    const gap = now - this.lastCheckAt;
    this.lastCheckAt = now;
    this.pausedTime += Math.max(0, gap - MAX_CHECK_GAP);
  }
}
