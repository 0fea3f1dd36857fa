import {ResultAsync} from 'neverthrow';
import {request} from 'undici';

import {SECOND} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {Fault, asFault} from '../errors/index.js';
import type {ExpertWeights} from '../expert_groups/index.js';

const ANSWER_TIMEOUT: Millis = 10 * SECOND;
const DEFAULT_RETRY_DELAY: Millis = SECOND;

/** The platform's rate-limited store of weights. */
export abstract class WeightStoreClient {
  /**
   * Reads a piece of an expert's weights.
   * @param service - the model service
   * @param load - layer and expert
   * @param offset - first byte
   * @param length - most bytes
   * @returns the piece; `weight_store_unavailable`, with the time after which
   * to come back when the store's limit was met
   */
  abstract read(
    service: string,
    load: ExpertWeights,
    offset: number,
    length: number,
  ): ResultAsync<Uint8Array, Fault>;
}

/** The weight store over HTTP, by range requests. */
export class HttpWeightStoreClient extends WeightStoreClient {
  /** @param url - address of the store */
  constructor(private readonly url: string) {
    super();
  }

  read(
    service: string,
    {layer, expert}: ExpertWeights,
    offset: number,
    length: number,
  ): ResultAsync<Uint8Array, Fault> {
    const url = `${this.url}/weights/${service}/${layer}/${expert}`;
    const range = `bytes=${offset}-${offset + length - 1}`;
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT);
    const answer = request(url, {headers: {range}, signal}).then(async res => {
      const bytes = new Uint8Array(await res.body.arrayBuffer());
      if (res.statusCode === 206) return bytes;
      const after = Number(res.headers['retry-after']) * SECOND;
      const wait = Number.isFinite(after) ? after : DEFAULT_RETRY_DELAY;
      const detail = `HTTP ${res.statusCode}`;
      throw new Fault('weight_store_unavailable', detail, wait);
    });
    return ResultAsync.fromPromise(answer, thrown =>
      asFault(thrown, 'weight_store_unavailable'),
    );
  }
}
