import {ResultAsync} from 'neverthrow';
import {request} from 'undici';

import {SECOND} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {Fault, asFault} from '../errors/index.js';
import type {ExpertWeights} from '../expert_groups/index.js';
import {readBounded} from './bounded_body.js';

const ANSWER_TIMEOUT: Millis = 10 * SECOND;
const DEFAULT_RETRY_DELAY: Millis = SECOND;
/** Size limit of an error response, bytes; a longer range has its own length. */
const MAX_ERROR_BYTES = 64 * 2 ** 10;

/** Client of the platform's rate-limited weight store. */
export abstract class WeightStoreClient {
  /**
   * Reads a chunk of an expert's weights.
   * @param service - the model service
   * @param load - layer and expert
   * @param offset - first byte
   * @param length - most bytes
   * @returns the chunk, or a `weight_store_unavailable` fault with the delay
   *   before a retry if the store's rate limit was reached
   */
  abstract read(
    service: string,
    load: ExpertWeights,
    offset: number,
    length: number,
  ): ResultAsync<Uint8Array, Fault>;
}

/** Weight store client over HTTP range requests. */
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
      const limit = Math.max(length, MAX_ERROR_BYTES);
      const bytes = await readBounded(res.body, limit);
      if (res.statusCode === 206) return bytes;
      const requestedMs = Number(res.headers['retry-after']) * SECOND;
      const retryAfterMs = Number.isFinite(requestedMs)
        ? requestedMs
        : DEFAULT_RETRY_DELAY;
      const detail = `HTTP ${res.statusCode}`;
      throw new Fault('weight_store_unavailable', detail, retryAfterMs);
    });
    return ResultAsync.fromPromise(answer, thrown =>
      asFault(thrown, 'weight_store_unavailable'),
    );
  }
}
