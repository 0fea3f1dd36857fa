import {setTimeout as sleep} from 'node:timers/promises';

import {SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {ExpertMap, ExpertWeights} from '../../expert_groups/index.js';
import {missingWeights} from '../../expert_groups/index.js';
import type {RankEngineClient, WeightStoreClient} from '../../clients/index.js';

/** Bytes that one request to the weight store asks for. */
const PIECE = 8 * 2 ** 20;
/** Wait after a failure that names no time. */
const RETRY: Millis = SECOND;

/** What a stager needs to know of its rank. */
export interface StagerParts {
  readonly service: string;
  readonly rank: number;
  readonly engine: RankEngineClient;
  readonly store: WeightStoreClient;
  /** Told of each failure that is tried again. */
  readonly failed: (fault: Fault) => void;
}

/**
 * Brings the weights of a map from the store to the engine, beside those in
 * use. The engine keeps what it has, so a new stager goes on from there.
 */
export class GroupStager {
  private stopped = false;
  /** Bytes that were brought. */
  bytes = 0;

  /** @param parts - the rank, its engine and the store */
  constructor(private readonly parts: StagerParts) {}

  /** Gives up; what was brought stays at the engine. */
  stop(): void {
    this.stopped = true;
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
    for (const load of missingWeights(from, to, this.parts.rank)) {
      while (!this.stopped) {
        const have = await this.parts.engine.loaded(load);
        if (have.isErr()) await this.pause(have.error);
        else if (have.value >= size) break;
        else await this.piece(load, have.value, size);
      }
    }
    return !this.stopped;
  }

  private async piece(load: ExpertWeights, offset: number, size: number) {
    const {service, store, engine} = this.parts;
    const length = Math.min(PIECE, size - offset);
    const read = await store.read(service, load, offset, length);
    if (read.isErr()) return this.pause(read.error);
    const put = await engine.putWeights(load, offset, read.value);
    if (put.isErr()) return this.pause(put.error);
    this.bytes += read.value.length;
  }

  private async pause(fault: Fault): Promise<void> {
    this.parts.failed(fault);
    await sleep(fault.retryAfterMs ?? RETRY, undefined, {ref: false});
  }
}
