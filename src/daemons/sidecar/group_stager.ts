import {setTimeout as sleep} from 'node:timers/promises';

import {SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {ExpertMap, ExpertWeights} from '../../expert_groups/index.js';
import {missingWeights} from '../../expert_groups/index.js';
import type {RankEngineClient, WeightStoreClient} from '../../clients/index.js';

/** Bytes that one request to the weight store asks for. */
const CHUNK_BYTES = 8 * 2 ** 20;
/** Wait after a failure that names no time. */
const DEFAULT_RETRY_DELAY: Millis = SECOND;

/** What a stager needs to know of its rank. */
export interface StagerOptions {
  readonly service: string;
  readonly rank: number;
  readonly engine: RankEngineClient;
  readonly store: WeightStoreClient;
  /** Told of each failure that is tried again. */
  readonly onRetry: (fault: Fault) => void;
}

/**
 * Brings the weights of a map from the store to the engine, beside those in
 * use. The engine keeps what it has, so a new stager goes on from there.
 */
export class GroupStager {
  private isStopped = false;
  /** Bytes that were brought. */
  loadedBytes = 0;

  /** @param options - the rank, its engine and the store */
  constructor(private readonly options: StagerOptions) {}

  /** Gives up; what was brought stays at the engine. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Brings all that the rank lacks.
   * @param from - the map in use
   * @param to - the map to come
   * @param size - bytes of one expert
   * @returns whether all is there
   */
  async run(
    from: ExpertMap | undefined,
    to: ExpertMap,
    size: number,
  ): Promise<boolean> {
    for (const load of missingWeights(from, to, this.options.rank)) {
      while (!this.isStopped) {
        const loaded = await this.options.engine.loaded(load);
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
