import type {CallId, Millis} from '../core/index.js';

const SMOOTHING = 0.1;

interface Prefill {
  readonly blocks: number;
  /** Blocks that had to be prefilled up to its end, its own included. */
  readonly ahead: number;
  readonly startedAt: Millis;
}

/** What one upstream has yet to prefill and how long a block takes. */
export class PrefillEstimate {
  private readonly prefills = new Map<CallId, Prefill>();
  private pending = 0;
  private perBlock: Millis = 0;

  /** Blocks of calls that have no first token yet. */
  get pendingBlocks(): number {
    return this.pending;
  }

  /** Time to prefill one block, ms; 0 when not known. */
  get msPerBlock(): Millis {
    return this.perBlock;
  }

  /**
   * A call starts.
   * @param now - present time
   * @param callId - the call
   * @param blocks - prompt blocks to prefill, at least 1
   */
  start(now: Millis, callId: CallId, blocks: number): void {
    this.pending += blocks;
    this.prefills.set(callId, {blocks, ahead: this.pending, startedAt: now});
  }

  /**
   * The first token of a call came.
   * @param now - present time
   * @param callId - the call
   * @returns the time that a block took, or undefined for an unknown call
   */
  firstToken(now: Millis, callId: CallId): Millis | undefined {
    const prefill = this.prefills.get(callId);
    if (prefill === undefined) return undefined;
    this.end(callId);
    const took = (now - prefill.startedAt) / prefill.ahead;
    if (this.perBlock === 0) this.perBlock = took;
    this.perBlock += SMOOTHING * (took - this.perBlock);
    return took;
  }

  /**
   * A call ended, with or without a first token.
   * @param callId - the call
   */
  end(callId: CallId): void {
    const prefill = this.prefills.get(callId);
    if (prefill === undefined) return;
    this.prefills.delete(callId);
    this.pending -= prefill.blocks;
  }
}
