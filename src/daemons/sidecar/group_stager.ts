import {setTimeout as sleep} from 'node:timers/promises';

import {SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {ExpertMap, ExpertWeights} from '../../expert_groups/index.js';
import {missingWeights} from '../../expert_groups/index.js';
import type {RankEngineClient, WeightStoreClient} from '../../clients/index.js';

/** Size of one read from the weight store. */
const CHUNK_BYTES = 8 * 2 ** 20;
/** Delay after a failure without a retry time. */
const DEFAULT_RETRY_DELAY: Millis = SECOND;

/** Rank of a stager, and its clients. */
export interface StagerOptions {
  readonly service: string;
  readonly rank: number;
  readonly engine: RankEngineClient;
  readonly store: WeightStoreClient;
  /** Called for each failure that is retried. */
  readonly onRetry: (fault: Fault) => void;
}

/**
 * Copies the expert weights of a map from the weight store to the engine,
 * beside the weights in use. The engine retains loaded bytes, so a new stager
 * resumes.
 */
export class GroupStager {
  private isStopped = false;
  /** Bytes written to the engine. */
  loadedBytes = 0;

  /** @param options - the rank and its clients */
  constructor(private readonly options: StagerOptions) {}

  /** Stops loading; the engine retains the weights loaded so far. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Loads all weights that the rank lacks.
   * @param from - the map in use
   * @param to - the map to switch to
   * @param size - size of one expert, bytes
   * @returns whether all weights are loaded; false if stopped
   */
  async run(
    from: ExpertMap | undefined,
    to: ExpertMap,
    size: number,
  ): Promise<boolean> {
    for (const load of missingWeights(from, to, this.options.rank)) {
      while (!this.isStopped) {
        const loaded = await this.options.engine.loadedBytes(load);
        if (loaded.isErr()) await this.waitToRetry(loaded.error);
        else if (loaded.value >= size) break;
        else await this.loadChunk(load, loaded.value, size);
      }
    }
    return !this.isStopped;
  }

  private async loadChunk(load: ExpertWeights, offset: number, size: number) {
    const {service, store, engine} = this.options;
    const length = Math.min(CHUNK_BYTES, size - offset);
    const read = await store.read(service, load, offset, length);
    if (read.isErr()) return this.waitToRetry(read.error);
    const put = await engine.putWeights(load, offset, read.value);
    if (put.isErr()) return this.waitToRetry(put.error);
    this.loadedBytes += read.value.length;
  }

  private async waitToRetry(fault: Fault): Promise<void> {
    this.options.onRetry(fault);
    await sleep(fault.retryAfterMs ?? DEFAULT_RETRY_DELAY, undefined, {
      ref: false,
    });
  }
}
