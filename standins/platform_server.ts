import {EventEmitter, once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {StandinServer, readText, sendJson} from './http_server.js';

/** Faults that the stand-in platform injects. */
export interface PlatformFaults {
  /** Whether all connections are closed without a response. */
  down: boolean;
  /** Whether the log is unavailable while the list of VMs still responds. */
  logDown: boolean;
  /** Number of next appends that take effect but get no response. */
  loseAnswers: number;
  /** Delay of each response, ms. */
  slowMs: number;
  /** Maximum number of records that a stream retains; older ones expire. */
  retain: number;
}

interface Stream {
  earliest: number;
  readonly records: unknown[];
}

/** Stands in for the platform's log and its list of VMs. */
export class PlatformServer extends StandinServer {
  private readonly streams = new Map<string, Stream>();
  private readonly appendEvents = new EventEmitter().setMaxListeners(0);
  private vms: unknown[] = [];

  /** Active faults; may be modified at any time. */
  readonly faults: PlatformFaults = {
    down: false,
    logDown: false,
    loseAnswers: 0,
    slowMs: 0,
    retain: Infinity,
  };

  /**
   * Replaces the list of VMs.
   * @param vms - new list
   */
  setVms(vms: unknown[]): void {
    this.vms = vms;
  }

  /**
   * Appends a record.
   * @param name - name of the stream
   * @param data - any JSON value
   * @returns offset of the record
   */
  append(name: string, data: unknown): number {
    const stream = this.streamOf(name);
    stream.records.push(data);
    this.expire(stream);
    this.appendEvents.emit(name);
    return stream.earliest + stream.records.length - 1;
  }

  /**
   * Removes records from the start of a stream.
   * @param name - name of the stream
   * @param earliest - first offset that is retained
   */
  truncate(name: string, earliest: number): void {
    const stream = this.streamOf(name);
    const count = Math.max(0, earliest - stream.earliest);
    stream.records.splice(0, count);
    stream.earliest += count;
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    if (url.pathname === '/control/faults') {
      Object.assign(this.faults, JSON.parse(await readText(req)));
      return sendJson(res, this.faults);
    }
    if (url.pathname === '/vms' && req.method === 'PUT') {
      this.setVms(JSON.parse(await readText(req)) as unknown[]);
      return sendJson(res, {});
    }
    if (this.faults.down) {
      res.destroy();
      return;
    }
    await new Promise(resolve => setTimeout(resolve, this.faults.slowMs));
    if (url.pathname === '/vms') return sendJson(res, {vms: this.vms});
    const [, name] = /^\/streams\/([^/]+)\/records$/.exec(url.pathname) ?? [];
    if (name === undefined) return sendJson(res, {}, 404);
    if (this.faults.logDown) {
      res.destroy();
      return;
    }
    if (req.method === 'POST') return this.handleAppend(name, req, res);
    await this.handleRead(name, url.searchParams, res);
  }

  private async handleAppend(
    name: string,
    req: IncomingMessage,
    res: ServerResponse,
  ) {
    const offset = this.append(name, JSON.parse(await readText(req)));
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    sendJson(res, {offset});
  }

  private async handleRead(
    name: string,
    query: URLSearchParams,
    res: ServerResponse,
  ) {
    const from = Number(query.get('from') ?? 0);
    const stream = this.streamOf(name);
    const next = () => stream.earliest + stream.records.length;
    if (from >= next()) {
      await this.waitForAppend(name, Number(query.get('wait') ?? 0));
    }
    if (this.faults.down || this.faults.logDown) {
      res.destroy();
      return;
    }
    const start = Math.max(from, stream.earliest);
    const records = stream.records
      .slice(start - stream.earliest)
      .map((data, index) => ({offset: start + index, data}));
    sendJson(res, {earliest: stream.earliest, next: next(), records});
  }

  private async waitForAppend(name: string, wait: number): Promise<void> {
    const signal = AbortSignal.timeout(wait);
    await once(this.appendEvents, name, {signal}).catch(() => undefined);
  }

  private expire(stream: Stream): void {
    const excess = stream.records.length - this.faults.retain;
    if (excess <= 0) return;
    stream.records.splice(0, excess);
    stream.earliest += excess;
  }

  private streamOf(name: string): Stream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const stream = {earliest: 0, records: []};
    this.streams.set(name, stream);
    return stream;
  }
}
