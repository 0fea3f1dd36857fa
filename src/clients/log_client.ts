import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';

import {offset} from '../core/index.js';
import type {LogPage, LogRecord, Millis, Offset} from '../core/index.js';
import {Fault, asFault} from '../errors/index.js';
import {MAX_PAGE_BYTES, readBounded} from './bounded_body.js';

export type {LogPage, LogRecord};

/** Client of one stream of the platform's append-only log. */
export abstract class LogClient {
  /**
   * Reads records.
   * @param from - offset of the first record
   * @param wait - how long the log may wait for a record, ms
   * @returns the stored records from there, or a `log_unavailable` fault
   */
  abstract read(from: Offset, wait: Millis): ResultAsync<LogPage, Fault>;

  /**
   * Appends a record. After an error it may be in the log nevertheless: read it
   * back by its id before anything depends on it.
   * @param data - the record, with an id chosen by the writer
   * @returns its offset, or a `log_unavailable` fault
   */
  abstract append(data: object): ResultAsync<Offset, Fault>;

  /** Aborts pending requests. */
  close(): void {}
}

const page = z.object({
  earliest: z.int().nonnegative().transform(offset),
  next: z.int().nonnegative().transform(offset),
  records: z.array(
    z.object({offset: z.int().transform(offset), data: z.unknown()}),
  ),
});
const appendResult = z.object({offset: z.int().transform(offset)});

/** Time that the log has to answer, in addition to the wait of a long poll. */
const ANSWER_TIMEOUT: Millis = 5_000;

/** Log client over HTTP. */
export class HttpLogClient extends LogClient {
  private readonly closing = new AbortController();

  /**
   * @param url - address of the log service
   * @param stream - name of the stream
   */
  constructor(
    private readonly url: string,
    private readonly stream: string,
  ) {
    super();
  }

  read(from: Offset, wait: Millis): ResultAsync<LogPage, Fault> {
    const query = `from=${Math.max(0, from)}&wait=${wait}`;
    const timeout = wait + ANSWER_TIMEOUT;
    return this.sendRequest('GET', `?${query}`, timeout, undefined, page);
  }

  append(data: object): ResultAsync<Offset, Fault> {
    const body = JSON.stringify(data);
    return this.sendRequest('POST', '', ANSWER_TIMEOUT, body, appendResult).map(
      answer => answer.offset,
    );
  }

  override close(): void {
    this.closing.abort();
  }

  private sendRequest<T extends z.ZodType>(
    method: Dispatcher.HttpMethod,
    query: string,
    timeout: Millis,
    body: string | undefined,
    schema: T,
  ): ResultAsync<z.output<T>, Fault> {
    const url = `${this.url}/streams/${this.stream}/records${query}`;
    const answer = request(url, {
      method,
      body: body ?? null,
      headers: {'content-type': 'application/json'},
      headersTimeout: timeout,
      bodyTimeout: timeout,
      signal: AbortSignal.any([
        AbortSignal.timeout(timeout),
        this.closing.signal,
      ]),
    }).then(async res => {
      const bytes = await readBounded(res.body, MAX_PAGE_BYTES);
      if (res.statusCode !== 200) throw new Error(`HTTP ${res.statusCode}`);
      return schema.parse(JSON.parse(bytes.toString('utf8')));
    });
    return ResultAsync.fromPromise(answer, thrown =>
      asFault(thrown, 'log_unavailable'),
    );
  }
}
