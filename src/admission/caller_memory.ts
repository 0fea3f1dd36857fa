/** Limits of the memory that a process holds for its callers, bytes. */
export interface CallerMemoryLimits {
  /** Use from which on connections above their own part are not read further. */
  readonly pauseAt: number;
  /** Use from which on no connection is read, and the largest are closed. */
  readonly closeAt: number;
  /** Part of a connection that is read up to `closeAt`. */
  readonly ownPart: number;
  /** Part of a connection's requests beyond which it counts as pipelining. */
  readonly pipeliningFrom: number;
}

/** For the smallest VM with 256 MB, beside the responses that are buffered. */
const DEFAULT_LIMITS: CallerMemoryLimits = {
  pauseAt: 32 * 2 ** 20,
  closeAt: 48 * 2 ** 20,
  ownPart: 64 * 2 ** 10,
  pipeliningFrom: 32 * 2 ** 10,
};
/** Maximum size of one read of a connection, bytes. */
const READ_BYTES = 64 * 2 ** 10;

/**
 * What bytes are charged for: requests, with their heads, or bodies. Bodies are
 * admitted within the budget, so only requests that were read already exceed it.
 */
export type ChargeKind = 'requests' | 'bodies';

/** Bytes that a connection holds, by kind. */
type Holding = Record<ChargeKind, number>;

/**
 * Memory budget of what callers hand in: heads, bodies, and requests that wait
 * behind others. Backpressure keeps the rest in the callers' sockets; whoever
 * holds most is closed where bytes that were read already exceed the budget.
 */
export class CallerMemory<Holder extends object> {
  private readonly held = new Map<Holder, Holding>();
  private readonly paused = new Map<Holder, () => void>();
  private used = 0;

  /** @param limits - limits of the budget */
  constructor(private readonly limits = DEFAULT_LIMITS) {}

  /** Bytes that all connections hold. */
  get usedBytes(): number {
    return this.used;
  }

  /** Number of connections that are not read until the budget allows it. */
  get pausedCount(): number {
    return this.paused.size;
  }

  /**
   * Returns the bytes that a connection holds.
   * @param holder - the connection
   */
  heldBy(holder: Holder): number {
    const holding = this.held.get(holder);
    return holding === undefined ? 0 : totalOf(holding);
  }

  /**
   * Charges bytes that were read.
   * @param holder - their connection
   * @param bytes - their number
   * @param kind - what they are charged for
   */
  add(holder: Holder, bytes: number, kind: ChargeKind = 'requests'): void {
    const holding = this.held.get(holder) ?? {requests: 0, bodies: 0};
    holding[kind] += bytes;
    this.held.set(holder, holding);
    this.used += bytes;
  }

  /**
   * Returns bytes that are no longer held, and resumes connections.
   * @param holder - their connection
   * @param bytes - their number; what the holder has been charged at most
   * @param kind - what they were charged for
   */
  remove(holder: Holder, bytes: number, kind: ChargeKind = 'requests'): void {
    const holding = this.held.get(holder);
    if (holding !== undefined) {
      const removed = Math.min(bytes, holding[kind]);
      holding[kind] -= removed;
      this.used -= removed;
      if (totalOf(holding) === 0) this.held.delete(holder);
    }
    if (this.paused.size === 0) return;
    if (this.mayRead(holder)) this.resume(holder);
    this.resumePaused();
  }

  /**
   * Returns all that a closed connection has held.
   * @param holder - the connection
   */
  removeHolder(holder: Holder): void {
    this.paused.delete(holder);
    this.used -= this.heldBy(holder);
    this.held.delete(holder);
    this.resumePaused();
  }

  /**
   * Returns whether a connection may be read further.
   * @param holder - the connection
   */
  mayRead(holder: Holder): boolean {
    const {pauseAt, closeAt, ownPart} = this.limits;
    if (this.used < pauseAt) return true;
    return this.used < closeAt && this.heldBy(holder) < ownPart;
  }

  /**
   * Returns whether a large part fits below the use from which on reading pauses.
   * @param bytes - its size
   */
  fits(bytes: number): boolean {
    return this.used + bytes <= this.limits.pauseAt;
  }

  /**
   * Returns whether a connection's own part of a body fits. The upper half of what
   * is left to own parts is for the heads of requests, and they don't take the rest.
   * @param bytes - its size
   * @param bodyBytes - bytes that bodies hold
   */
  fitsOwnPart(bytes: number, bodyBytes: number): boolean {
    const {pauseAt, closeAt} = this.limits;
    const isWithinBodies = bodyBytes + bytes <= (pauseAt + closeAt) / 2;
    return isWithinBodies && this.used + bytes <= closeAt;
  }

  /**
   * Registers a connection that is not read until the budget allows it.
   * @param holder - the connection
   * @param onResume - called once when it may be read again
   */
  pause(holder: Holder, onResume: () => void): void {
    this.paused.set(holder, onResume);
  }

  /**
   * Unregisters a connection that is read again for another reason.
   * @param holder - the connection
   */
  unpause(holder: Holder): void {
    this.paused.delete(holder);
  }

  /**
   * Resumes paused connections in order, as many as can be read once within the
   * budget. To be called from time to time: those resumed last may bring nothing.
   */
  resumePaused(): void {
    const free = this.limits.pauseAt - this.used;
    if (free <= 0) return;
    let count = Math.ceil(free / READ_BYTES);
    for (const holder of this.paused.keys()) {
      if (count-- === 0) return;
      this.resume(holder);
    }
  }

  /**
   * Returns the connection to close: of those that pipeline the one whose requests
   * hold most, or else the one that holds most. A large body under way is not
   * closed for the pipelined requests of others.
   * @returns undefined within the budget
   */
  get excessHolder(): Holder | undefined {
    if (this.used <= this.limits.closeAt) return undefined;
    let largest: Holder | undefined;
    let most = 0;
    for (const [holder, holding] of this.held) {
      const rank = this.excessRank(holding);
      if (rank <= most) continue;
      largest = holder;
      most = rank;
    }
    return largest;
  }

  /** Ranks all holdings of pipelined requests above the others. */
  private excessRank(holding: Holding): number {
    const {pipeliningFrom} = this.limits;
    const {requests} = holding;
    return requests > pipeliningFrom ? this.used + requests : totalOf(holding);
  }

  private resume(holder: Holder): void {
    const onResume = this.paused.get(holder);
    this.paused.delete(holder);
    onResume?.();
  }
}

function totalOf({requests, bodies}: Holding): number {
  return requests + bodies;
}
