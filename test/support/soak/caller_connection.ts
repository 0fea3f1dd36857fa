import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {filler} from './records.js';
import type {RequestRecord, Seen} from './records.js';
import {ResponseReader} from './response_reader.js';
import type {ReadHead} from './response_reader.js';

/** How fast a caller reads. */
export interface ReadPace {
  /** Pause after each piece that was read, ms. */
  readonly pauseMs: number;
  /** Time for which it stops reading after its first piece, ms. */
  readonly stallMs: number;
}

/** Told what comes on a connection. */
export interface ConnectionEvents {
  onSeen(record: RequestRecord, seen: Seen): void;
  flag(rule: string, id: string, detail: string): void;
}

interface Waiting {
  readonly record: RequestRecord;
  readonly done: () => void;
}

/** Raw connection of a caller to an entry. */
export class CallerConnection {
  private readonly socket: Socket;
  private readonly reader: ResponseReader;
  private readonly waiting: Waiting[] = [];
  private end: Seen['end'] = 'none';
  private lastId = '';
  private closesAfter = false;
  private hasStalled = false;
  private isHalfClosed = false;
  /** Number of turns of the event loop that read data, to tell them apart. */
  private turn = 0;
  private turnOfData = -1;

  private constructor(
    port: number,
    private readonly pace: ReadPace,
    private readonly events: ConnectionEvents,
    onOpen: (isOpen: boolean) => void,
  ) {
    this.reader = new ResponseReader({
      onHead: head => this.onHead(head),
      onWhole: (head, body) => this.onWhole(head, body),
      onDefect: bytes => {
        const text = JSON.stringify(bytes.toString('latin1').slice(0, 120));
        this.flag('MIXED', `bytes that are no answer: ${text}`);
        this.leave();
      },
    });
    // The caller decides when it closes its sending half.
    this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    this.socket.setNoDelay(true);
    this.socket.once('connect', () => onOpen(true));
    this.socket.on('data', bytes => this.onData(bytes));
    this.socket.on('end', () => {
      if (this.end !== 'none') return;
      this.end = this.isResetBehindData ? 'reset' : 'closed';
      if (this.end === 'closed') this.reader.endInOrder();
      this.socket.destroy();
    });
    this.socket.on('error', () => {
      if (this.end === 'none') this.end = 'reset';
    });
    this.socket.on('close', () => {
      onOpen(false);
      this.settleAll();
    });
  }

  /**
   * Opens a connection.
   * @param port - port of the entry
   * @param pace - how fast the caller reads
   * @param events - told what comes
   */
  static open(
    port: number,
    pace: ReadPace,
    events: ConnectionEvents,
  ): Promise<CallerConnection | undefined> {
    return new Promise(resolve => {
      const connection: CallerConnection = new CallerConnection(
        port,
        pace,
        events,
        isOpen => resolve(isOpen ? connection : undefined),
      );
    });
  }

  /** Whether another request may be sent. */
  get isUsable(): boolean {
    return this.end === 'none' && !this.closesAfter && !this.socket.destroyed;
  }

  /**
   * Sends a request, or its rest, and waits for the end of its response.
   * @param record - the request
   * @param bytes - what is still to be sent of it
   */
  send(record: RequestRecord, bytes = record.bytesToSend): Promise<void> {
    record.sentAt = performance.now();
    return new Promise(resolve => {
      this.waiting.push({record, done: resolve});
      this.write(bytes);
      if (this.socket.destroyed) this.settleAll();
    });
  }

  /**
   * Sends requests behind one another and waits for none.
   * @param records - the requests
   */
  sendAll(records: readonly RequestRecord[]): void {
    for (const record of records)
      this.waiting.push({record, done: () => undefined});
    this.write(records.map(one => one.bytesToSend).join(''));
    const {fillerBytes = 0} = records.at(-1) ?? {};
    if (fillerBytes > 0) this.write(filler(fillerBytes));
    if (this.socket.destroyed) this.settleAll();
  }

  /**
   * Writes bytes that complete no request.
   * @param bytes - octets, also as Latin-1 text
   */
  write(bytes: string | Buffer): void {
    if (this.socket.writable) this.socket.write(bytes, 'latin1');
  }

  /** Closes the sending half. */
  halfClose(): void {
    this.markLeft();
    this.isHalfClosed = true;
    this.socket.end();
  }

  /** Closes the connection, as a caller does that gives up. */
  leave(): void {
    if (this.socket.destroyed) return;
    this.markLeft();
    if (this.end === 'none') this.end = 'left';
    this.socket.destroy();
  }

  /**
   * Whether the connection was reset: Node reports an orderly end for a reset that
   * it reads in one turn with data, but the system no longer knows a peer then.
   */
  private get isResetBehindData(): boolean {
    return this.isHalfClosed
      ? this.turnOfData === this.turn
      : this.socket.remoteAddress === undefined;
  }

  private markLeft(): void {
    for (const {record} of this.waiting) record.leftAt ??= performance.now();
  }

  private onData(bytes: Buffer): void {
    const turn = this.turn;
    this.turnOfData = turn;
    setImmediate(() => (this.turn = turn + 1));
    this.reader.push(bytes);
    const {pauseMs, stallMs} = this.pace;
    const ms = stallMs > 0 && !this.hasStalled ? stallMs : pauseMs;
    this.hasStalled = true;
    if (ms === 0) return;
    this.socket.pause();
    setTimeout(() => this.socket.resume(), ms);
  }

  private onHead(head: ReadHead): void {
    this.closesAfter ||=
      head.framing === 'close' ||
      head.headers.get('connection')?.toLowerCase() === 'close';
    if (this.waiting.length === 0 && head.status < 300) {
      this.flag('MIXED', `${head.status} with no request waiting`);
    }
  }

  private onWhole(head: ReadHead, body: Buffer): void {
    this.settle(head, body, true);
    if (!this.closesAfter) return;
    for (const {record} of this.waiting) record.crossesClose = true;
  }

  private settleAll(): void {
    if (this.end === 'none') this.end = 'reset';
    const {head, partialBody} = this.reader;
    const [first, ...behind] = this.waiting;
    for (const {record} of behind) record.behindBroken = first?.record;
    if (first !== undefined) this.settle(head, partialBody, false);
    while (this.waiting.length > 0)
      this.settle(undefined, Buffer.alloc(0), false);
  }

  private settle(
    head: ReadHead | undefined,
    body: Buffer,
    isWhole: boolean,
  ): void {
    const next = this.waiting.shift();
    if (next === undefined) return;
    this.lastId = next.record.id;
    this.events.onSeen(next.record, {
      status: head?.status ?? 0,
      seal: head?.headers.get('response-seal'),
      framing: head?.framing,
      body,
      isWhole,
      end: this.end,
      at: performance.now(),
    });
    next.done();
  }

  private flag(rule: string, detail: string): void {
    const id = this.waiting[0]?.record.id ?? this.lastId;
    this.events.flag(rule, id, detail);
  }
}
