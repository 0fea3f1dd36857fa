import type {CallId, Millis} from '../../src/core/index.js';
import {PrefixIndex} from '../../src/routing/index.js';
import type {PromptPrefix} from '../../src/routing/index.js';
import type {VirtualClock} from './clock.js';

/** Speed and cache size of an engine. */
export interface EngineSpeed {
  /** Prefill time per prompt block, ms. */
  readonly msPerBlock: Millis;
  /** Time per token of each running answer without prefill load, ms. */
  readonly msPerToken: Millis;
  /** Capacity of the prefix cache, blocks. */
  readonly cacheBlocks: number;
}

/** Call to an engine. */
export interface EngineCall {
  readonly callId: CallId;
  readonly prefix: PromptPrefix;
  /** Number of tokens in the answer. */
  readonly tokens: number;
  firstToken(): void;
  done(): void;
}

/** Faults of a replica. */
export interface EngineFault {
  /** Factor by which all work is slower. */
  slowdown: number;
  /** Whether new calls never complete. */
  hung: boolean;
  /** Whether calls fail immediately. */
  failing: boolean;
}

/**
 * Queueing model of one engine: prompts are prefilled sequentially, answers
 * are generated concurrently, and an LRU cache of blocks shortens prefill.
 */
export class EngineModel {
  readonly fault: EngineFault = {slowdown: 1, hung: false, failing: false};
  readonly cache: PrefixIndex;
  /** Prompt blocks requested, and those found in the cache. */
  requestedBlocks = 0;
  hitBlocks = 0;
  private readonly prefilling: EngineCall[] = [];
  private isPrefilling = false;
  /** Time spent on prefill, ms. */
  prefillTime: Millis = 0;

  /**
   * @param clock - clock of the run
   * @param speed - speed of the engine
   * @param onCacheChange - called with the stored and evicted blocks
   */
  constructor(
    private readonly clock: VirtualClock,
    private readonly speed: EngineSpeed,
    private readonly onCacheChange: (
      stored: PromptPrefix,
      removed: PromptPrefix,
    ) => void,
  ) {
    const evicted = (hash: number) => this.onCacheChange([], [hash]);
    this.cache = new PrefixIndex(speed.cacheBlocks, evicted, 'keep', 0);
  }

  /**
   * Queues a call for prefill.
   * @param call - call to run
   */
  start(call: EngineCall): void {
    if (this.fault.hung) return;
    this.prefilling.push(call);
    if (!this.isPrefilling) this.prefill();
  }

  /**
   * Removes a call that is waiting for prefill.
   * @param callId - ID of the call
   */
  cancel(callId: CallId): void {
    const index = this.prefilling.findIndex(call => call.callId === callId);
    if (index >= 0) this.prefilling.splice(index, 1);
  }

  private prefill(): void {
    const call = this.prefilling.shift();
    this.isPrefilling = call !== undefined;
    if (call === undefined) return;
    const matched = this.cache.match(call.prefix);
    this.requestedBlocks += call.prefix.length;
    this.hitBlocks += matched;
    this.cache.recordUse(call.prefix);
    this.onCacheChange(call.prefix.slice(matched), []);
    const blocks = Math.max(1, call.prefix.length - matched);
    const work = blocks * this.speed.msPerBlock * this.fault.slowdown;
    this.prefillTime += work;
    this.clock.after(work, () => {
      call.firstToken();
      this.decode(call);
      this.prefill();
    });
  }

  private decode(call: EngineCall): void {
    const msPerToken = this.speed.msPerToken * this.fault.slowdown;
    this.clock.after(call.tokens * msPerToken, () => {
      call.done();
    });
  }
}
