import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';

import type {Millis} from '../core/index.js';
import {asFault} from '../errors/index.js';
import type {ErrorName, Fault} from '../errors/index.js';
import {MAX_PAGE_BYTES, readBounded} from './bounded_body.js';

/** One request to a JSON service. */
export interface JsonRequest<T extends z.ZodType> {
  readonly url: string;
  readonly method?: Dispatcher.HttpMethod;
  /** A JSON value, or bytes that are sent unchanged. */
  readonly body?: unknown;
  readonly timeout: Millis;
  /** Schema of the answer. */
  readonly schema: T;
  /** Name of the fault that any failure becomes. */
  readonly failure: ErrorName;
}

/**
 * Sends a request to a JSON service.
 * @param jsonRequest - the request
 * @returns the validated answer, or the fault
 */
export function requestJson<T extends z.ZodType>(
  jsonRequest: JsonRequest<T>,
): ResultAsync<z.output<T>, Fault> {
  const {url, method = 'GET', body, timeout, schema, failure} = jsonRequest;
  const isBinary = body instanceof Uint8Array;
  const text = body === undefined ? null : JSON.stringify(body);
  const answer = request(url, {
    method,
    body: isBinary ? body : text,
    headers: {
      'content-type': isBinary
        ? 'application/octet-stream'
        : 'application/json',
    },
    signal: AbortSignal.timeout(timeout),
  }).then(async res => {
    const received = await readBounded(res.body, MAX_PAGE_BYTES);
    if (res.statusCode !== 200) throw new Error(`HTTP ${res.statusCode}`);
    return schema.parse(JSON.parse(received.toString('utf8')));
  });
  return ResultAsync.fromPromise(answer, thrown => asFault(thrown, failure));
}
