import type {CallId, Millis} from '../../src/core/index.js';
import {PrefixIndex} from '../../src/routing/index.js';
import type {PromptPrefix} from '../../src/routing/index.js';
import type {VirtualClock} from './clock.js';

/** How fast an engine is. */
export interface EngineSpeed {
  /** Prefill of one block of a prompt, ms. */
  readonly msPerBlock: Millis;
  /** One token of each running answer, ms, with an idle prefill. */
  readonly msPerToken: Millis;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
}

/** A call at an engine. */
export interface EngineCall {
  readonly callId: CallId;
  readonly prefix: PromptPrefix;
  /** Tokens of the answer. */
  readonly tokens: number;
  firstToken(): void;
  done(): void;
}

/** How a replica misbehaves. */
export interface EngineFault {
  /** Everything takes this many times as long. */
  slowdown: number;
  /** Nothing that starts now ends. */
  hung: boolean;
  /** Calls fail at once. */
  failing: boolean;
}

/**
 * A queueing model of one engine: prompts are prefilled one after the other,
 * answers are generated side by side, and a cache of blocks, the least recently
 * used out first, shortens prefill.
 */
export class EngineModel {
  readonly fault: EngineFault = {slowdown: 1, hung: false, failing: false};
  readonly cache: PrefixIndex;
  /** Blocks asked for and found in the cache. */
  requestedBlocks = 0;
  hitBlocks = 0;
  private readonly prefilling: EngineCall[] = [];
  private isPrefilling = false;
  /** Time spent on prefill, ms. */
  prefillTime: Millis = 0;

  /**
   * @param clock - the run's clock
   * @param speed - how fast it is
   * @param onCacheChange - told of blocks that were stored or evicted
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
   * Runs a call.
   * @param call - the call
   */
  start(call: EngineCall): void {
    if (this.fault.hung) return;
    this.prefilling.push(call);
    if (!this.isPrefilling) this.prefill();
  }

  /**
   * Drops a call that is not prefilled yet.
   * @param callId - the call
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
