import type {IncomingMessage, ServerResponse} from 'node:http';

import {StandinServer, sendJson} from './http_server.js';

interface Entry {
  readonly key: string;
  readonly value: Buffer;
}

const LENGTH_BYTES = 4;
const HEAD_BYTES = 8;
const GONE = 410;

/** Copy of a store's topics. */
export type StoreCopy = ReadonlyMap<string, readonly Entry[]>;

/** Stands in for the platform's store: keyed topics with one partition each. */
export class KeyedLogServer extends StandinServer {
  /** HTTP status that every request fails with while this is set. */
  failureStatus: number | undefined;
  private topics: ReadonlyMap<string, readonly Entry[]> = new Map();
  /** Number of this life of the store, sent in all responses. */
  private era = 1;
  private waiters: (() => void)[] = [];

  /**
   * Appends a record on behalf of another writer.
   * @param topic - topic of the record
   * @param key - key of the record
   * @param value - any JSON value; undefined writes a tombstone
   */
  put(topic: string, key: string, value?: unknown): void {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.putBytes(topic, key, Buffer.from(text));
  }

  /**
   * Appends a record of any content on behalf of another writer.
   * @param topic - topic of the record
   * @param key - key of the record
   * @param value - the bytes; none write a tombstone
   */
  putBytes(topic: string, key: string, value: Buffer): void {
    this.append(topic, {key, value});
  }

  /** Returns a copy of all topics, to restore later. */
  copy(): StoreCopy {
    return this.topics;
  }

  /**
   * Comes back from a copy: what was appended since is lost, and its offsets are
   * given out again.
   * @param copy - the copy
   */
  restore(copy: StoreCopy): void {
    this.topics = copy;
    this.era += 1;
    this.wakeReaders();
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    const topic = url.searchParams.get('Topic') ?? '';
    const records = this.topics.get(topic) ?? [];
    res.setHeader('Store-Era', this.era);
    if (this.failureStatus !== undefined) {
      res.writeHead(this.failureStatus).end();
      return;
    }
    switch (url.pathname) {
      case '/api/log-newest':
        return sendJson(res, newestRecords(records));
      case '/api/log-read': {
        const from = Number(url.searchParams.get('From'));
        const wait = Number(url.searchParams.get('WaitMs'));
        if (from === records.length) await this.waitForAppend(wait);
        res.setHeader('Store-Era', this.era);
        const present = this.topics.get(topic) ?? [];
        if (from > present.length) res.writeHead(GONE).end('{"First":0}');
        else res.end(encodePage(present, from));
        return;
      }
      case '/api/log-append': {
        const chunks: Buffer[] = [];
        for await (const chunk of req) chunks.push(chunk as Buffer);
        const content = Buffer.concat(chunks).subarray(LENGTH_BYTES);
        const end = 1 + (content[0] ?? 0);
        const key = content.subarray(1, end).toString();
        this.append(topic, {key, value: content.subarray(end)});
        const at = (this.topics.get(topic)?.length ?? 1) - 1;
        return sendJson(res, {Offset: at, End: at + 1});
      }
      default:
        res.writeHead(404).end();
    }
  }

  private append(topic: string, entry: Entry): void {
    const records = [...(this.topics.get(topic) ?? []), entry];
    this.topics = new Map(this.topics).set(topic, records);
    this.wakeReaders();
  }

  private wakeReaders(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  private waitForAppend(wait: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, wait);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

function newestRecords(records: readonly Entry[]): object {
  const newest = new Map(records.map((entry, at) => [entry.key, {entry, at}]));
  return {
    Items: [...newest.values()]
      .filter(({entry}) => entry.value.length > 0)
      .map(({entry, at}) => ({
        Key: entry.key,
        Value: entry.value.toString('base64'),
        Offset: at,
      })),
    HasMore: false,
    End: records.length,
  };
}

function encodePage(records: readonly Entry[], from: number): Buffer {
  const head = Buffer.alloc(2 * HEAD_BYTES);
  head.writeBigUInt64BE(BigInt(records.length));
  const framed = records.slice(from).map(({key, value}) => {
    const name = Buffer.from(key);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(1 + name.length + value.length);
    return Buffer.concat([length, Buffer.from([name.length]), name, value]);
  });
  return Buffer.concat([head, ...framed]);
}
