import type {CallId, Millis} from '../core/index.js';

const SMOOTHING = 0.1;

interface Prefill {
  readonly blocks: number;
  /** Blocks to prefill until its first token, its own included. */
  readonly blocksUpToEnd: number;
  readonly startedAt: Millis;
}

/**
 * Estimates the prefill backlog of one upstream and the time per prompt block
 * (EWMA).
 */
export class PrefillEstimate {
  private readonly prefills = new Map<CallId, Prefill>();
  private pending = 0;
  private blockTime: Millis = 0;

  /** Prompt blocks of the calls without a first token. */
  get pendingBlocks(): number {
    return this.pending;
  }

  /** Time to prefill one block, ms; 0 if unknown. */
  get msPerBlock(): Millis {
    return this.blockTime;
  }

  /**
   * Records that a call starts.
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
   * Records the first token of a call.
   * @param now - present time
   * @param callId - the call
   * @returns the time per block, ms, or undefined for an unknown call
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
   * Removes a call that ended, with or without a first token.
   * @param callId - the call
   */
  recordEnd(callId: CallId): void {
    const prefill = this.prefills.get(callId);
    if (prefill === undefined) return;
    this.prefills.delete(callId);
    this.pending -= prefill.blocks;
  }
}
