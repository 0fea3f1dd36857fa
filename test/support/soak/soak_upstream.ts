import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import type {Chance} from '../../../src/core/index.js';
import {requestIdOf} from '../direct_estate.js';
import {bodyOf, draw, eventOf} from './records.js';
import type {RequestRecord, Run} from './records.js';
import type {Mix, RunEnding} from './mix.js';

/** Longest work before an answer, ms: of large requests, and of others. */
const MAX_LARGE_WORK_MS = 3_000;
const MAX_WORK_MS = 250;
const MAX_BRIEF_WORK_MS = 5;
/** Longest pause between two pieces of an answer, ms. */
const MAX_GAP_MS = 60;
const MAX_PIECES = 6;
/** Longest time until a late second answer, ms. */
const MAX_LATENESS_MS = 120;

/** What an upstream asks and tells the soak. */
export interface UpstreamHost {
  readonly mix: Mix;
  readonly chance: Chance;
  /** Whether runs end in the ways of the mix, or whole. */
  readonly isFailing: boolean;
  /** Returns the request of a path; its first arrival decides what it is. */
  find(path: string): RequestRecord | undefined;
  /** Told of a run when it begins, and before what follows from a change of it. */
  onRun(record: RequestRecord, run: Run): void;
  flag(rule: string, id: string, detail: string): void;
}

/** A connection to an upstream. */
class UpstreamConnection {
  private input = '';
  /** Length that `input` has once the request is whole, as far as it is known. */
  private needed = 0;
  private isBusy = false;
  private run: Run | undefined;
  private record: RequestRecord | undefined;
  /** Whether bytes that belong to no request were sent on this connection. */
  private isStained = false;
  /** Bytes that come before the next answer on this connection. */
  private owed = '';

  constructor(
    private readonly name: string,
    private readonly host: UpstreamHost,
    private readonly socket: Socket,
  ) {
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      this.input += bytes.toString('latin1');
      this.readRequest();
    });
    socket.on('close', () => this.end());
  }

  /** Records that the upstream itself ends the connection. */
  breakOff(): void {
    if (this.run !== undefined) this.run.isUnsound = true;
    this.report();
    this.socket.resetAndDestroy();
  }

  private report(): void {
    const {record, run} = this;
    if (record !== undefined && run !== undefined) this.host.onRun(record, run);
  }

  private end(): void {
    if (this.run !== undefined) this.run.endedAt ??= performance.now();
    this.report();
    this.run = undefined;
  }

  private readRequest(): void {
    if (this.isBusy || this.input.length < this.needed) return;
    const end = this.input.indexOf('\r\n\r\n');
    if (end === -1) return;
    const head = this.input.slice(0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? '0');
    this.needed = end + 4 + length;
    if (this.input.length < this.needed) return;
    this.needed = 0;
    const body = this.input.slice(end + 4, end + 4 + length);
    this.input = this.input.slice(end + 4 + length);
    const id = requestIdOf(head);
    const record = this.host.find(head.split(' ', 2)[1]!);
    if (record?.id !== id) {
      this.host.flag('UNASKED', id, head.split('\r\n', 1)[0]!);
      this.socket.resetAndDestroy();
      return;
    }
    const line = `POST ${record.path} HTTP/1.1`;
    if (!head.startsWith(line) || !record.hasBody(body)) {
      this.host.flag(
        'UNASKED',
        id,
        `${head.split('\r\n', 1)[0]!} ${body.slice(0, 200)}`,
      );
    }
    this.isBusy = true;
    void this.answer(record, head);
  }

  private async answer(record: RequestRecord, head: string): Promise<void> {
    const {chance, mix} = this.host;
    // One that breaks off ends its connection, with all that waits behind it.
    const isFailing = this.host.isFailing && !record.isBrief;
    const ending = isFailing ? draw(chance, mix.endings) : 'whole';
    const last = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? '0');
    const run: Run = {
      seal: `${record.id}.${this.name}.${record.runs.length}`,
      upstream: this.name,
      arrivedAt: performance.now(),
      deadlineMs: Number(/deadline-ms: (\d+)/i.exec(head)?.[1] ?? '0'),
      firstEvent: last + 1,
      status: 0,
      hasRun: ending !== 'refusal',
      isUnsound:
        this.isStained ||
        this.owed !== '' ||
        ending === 'reset' ||
        ending === 'closed' ||
        (record.framing === 'close' && ending.startsWith('twice')),
      endedAt: undefined,
    };
    record.runs.push(run);
    this.run = run;
    this.record = record;
    this.report();
    if (this.owed !== '') {
      this.isStained = true;
      this.socket.write(this.owed, 'latin1');
      this.owed = '';
    }
    await pause(chance.between(0, ending === 'refusal' ? 5 : workOf(record)));
    if (this.socket.destroyed) return;
    const isOver = await this.writeAnswer(record, run, ending);
    run.endedAt ??= performance.now();
    this.host.onRun(record, run);
    this.run = undefined;
    this.isBusy = false;
    if (!isOver) this.readRequest();
  }

  /** Returns whether the connection is over. */
  private async writeAnswer(
    record: RequestRecord,
    run: Run,
    ending: RunEnding,
  ): Promise<boolean> {
    const {chance} = this.host;
    const failure = FAILURES[ending];
    if (failure !== undefined) {
      run.status = Number(failure.slice(0, 3));
      this.host.onRun(record, run);
      this.socket.write(this.failureOf(record, run, failure));
      return false;
    }
    run.status = 200;
    this.host.onRun(record, run);
    const pieces = this.piecesOf(record, run);
    // An orderly close amid a body without a length is its end, to any reader.
    const isCut = ending === 'reset' || ending === 'closed';
    const kept = isCut
      ? pieces.slice(0, chance.between(0, pieces.length - 1))
      : pieces;
    for (const piece of kept) {
      this.socket.write(piece);
      const hasGap = pieces.length > 1 && !record.isBrief;
      if (hasGap) await pause(chance.between(0, MAX_GAP_MS));
      if (this.socket.destroyed) return true;
    }
    if (isCut) {
      const isOrderly = ending === 'closed' && record.framing !== 'close';
      if (isOrderly) this.socket.end();
      else this.socket.resetAndDestroy();
      return true;
    }
    run.endedAt = performance.now();
    this.host.onRun(record, run);
    const again = () => {
      const second = {...run, seal: `${run.seal}x`};
      return Buffer.concat(this.piecesOf(record, second));
    };
    this.isStained ||= ending === 'twice' || ending === 'twice_late';
    if (ending === 'twice') this.socket.write(again());
    if (ending === 'twice_late') {
      await pause(chance.between(5, MAX_LATENESS_MS));
      if (!this.socket.destroyed) this.socket.write(again());
    }
    if (record.framing === 'close') {
      this.socket.end();
      return true;
    }
    if (ending === 'twice_next') this.owed = again().toString('latin1');
    return false;
  }

  private failureOf(record: RequestRecord, run: Run, status: string): string {
    const body = `failed ${run.seal}`;
    const refusal = run.hasRun ? '' : 'Not-Executed: 1\r\n';
    return (
      `HTTP/1.1 ${status}\r\nRequest-Id: ${record.id}\r\n${refusal}` +
      `Response-Seal: ${run.seal}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`
    );
  }

  /** Returns the answer in the pieces in which it is written. */
  private piecesOf(record: RequestRecord, run: Run): Buffer[] {
    const {chance} = this.host;
    const {framing} = record;
    const parts: Buffer[] = [];
    if (record.isStream) {
      for (let i = run.firstEvent; i <= record.bytes; i++) {
        parts.push(Buffer.from(eventOf(run.seal, i)));
      }
    } else {
      const body = bodyOf(run.seal, record.bytes);
      const most = record.isBrief ? 1 : MAX_PIECES;
      const size = Math.ceil(body.length / chance.between(1, most));
      for (let i = 0; i < body.length; i += size) {
        parts.push(body.subarray(i, i + size));
      }
    }
    const total = parts.reduce((sum, part) => sum + part.length, 0);
    const lines = {
      length: `Content-Length: ${total}`,
      chunks: 'Transfer-Encoding: chunked',
      close: 'Connection: close',
    };
    const head = Buffer.from(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${record.id}\r\n` +
        `Response-Seal: ${run.seal}\r\n${lines[framing]}\r\n\r\n`,
    );
    if (framing === 'chunks') {
      return [head, ...parts.map(chunkOf), Buffer.from('0\r\n\r\n')];
    }
    const [first = Buffer.alloc(0), ...rest] = parts;
    return [Buffer.concat([head, first]), ...rest];
  }
}

const FAILURES: Readonly<Partial<Record<RunEnding, string>>> = {
  error: '500 Failed',
  busy: '503 Busy',
  refusal: '503 Full',
};

function workOf({isBrief, fillerBytes}: RequestRecord): number {
  if (isBrief) return MAX_BRIEF_WORK_MS;
  return fillerBytes > 0 ? MAX_LARGE_WORK_MS : MAX_WORK_MS;
}

const chunkOf = (part: Buffer) =>
  Buffer.concat([
    Buffer.from(`${part.length.toString(16)}\r\n`),
    part,
    Buffer.from('\r\n'),
  ]);

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Upstream of the soak, which answers in the ways of its seed's mix. */
export class SoakUpstream {
  private readonly server: Server;
  private readonly connections = new Map<Socket, UpstreamConnection>();
  private isPaused = false;
  /**
   * @param name - its id
   * @param host - the soak
   */
  constructor(
    readonly name: string,
    host: UpstreamHost,
  ) {
    this.server = createServer(socket => {
      this.connections.set(socket, new UpstreamConnection(name, host, socket));
      if (this.isPaused) socket.pause();
      socket.on('close', () => this.connections.delete(socket));
    });
  }

  /** Starts listening and returns `host:port`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /**
   * Reads nothing for a time.
   * @param ms - the time
   */
  async pauseReading(ms: number): Promise<void> {
    this.isPaused = true;
    for (const socket of this.connections.keys()) socket.pause();
    await pause(ms);
    this.isPaused = false;
    for (const socket of this.connections.keys()) socket.resume();
  }

  /** Resets its connections and stops listening. */
  close(): void {
    for (const connection of this.connections.values()) connection.breakOff();
    this.server.close();
  }
}
