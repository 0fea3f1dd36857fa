import type {CallId, Millis} from '../core/index.js';

const SMOOTHING = 0.1;

interface Prefill {
  readonly blocks: number;
  /** Blocks that had to be prefilled up to its end, its own included. */
  readonly blocksUpToEnd: number;
  readonly startedAt: Millis;
}

/** What one upstream has yet to prefill and how long a block takes. */
export class PrefillEstimate {
  private readonly prefills = new Map<CallId, Prefill>();
  private pending = 0;
  private blockTime: Millis = 0;

  /** Blocks of calls that have no first token yet. */
  get pendingBlocks(): number {
    return this.pending;
  }

  /** Time to prefill one block, ms; 0 when not known. */
  get msPerBlock(): Millis {
    return this.blockTime;
  }

  /**
   * A call starts.
   * @param now - present time
   * @param callId - the call
   * @param blocks - prompt blocks to prefill, at least 1
   */
  recordStart(now: Millis, callId: CallId, blocks: number): void {
    this.pending += blocks;
    this.prefills.set(callId, {
      blocks,
      blocksUpToEnd: this.pending,
      startedAt: now,
    });
  }

  /**
   * The first token of a call came.
   * @param now - present time
   * @param callId - the call
   * @returns the time that a block took, or undefined for an unknown call
   */
  recordFirstToken(now: Millis, callId: CallId): Millis | undefined {
    const prefill = this.prefills.get(callId);
    if (prefill === undefined) return undefined;
    this.recordEnd(callId);
    const blockTime = (now - prefill.startedAt) / prefill.blocksUpToEnd;
    if (this.blockTime === 0) this.blockTime = blockTime;
    this.blockTime += SMOOTHING * (blockTime - this.blockTime);
    return blockTime;
  }

  /**
   * A call ended, with or without a first token.
   * @param callId - the call
   */
  recordEnd(callId: CallId): void {
    const prefill = this.prefills.get(callId);
    if (prefill === undefined) return;
    this.prefills.delete(callId);
    this.pending -= prefill.blocks;
  }
}
