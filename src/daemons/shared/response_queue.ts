import type {ServerResponse} from 'node:http';

import {hasBody} from './request_body.js';
import type {TurnScheduler} from './turn_scheduler.js';

/**
 * Open responses of a connection in the order of their requests, with the requests
 * that wait until theirs is the first.
 */
export class ResponseQueue {
  /** Open responses, with the memory that their requests were charged. */
  private readonly charges = new Map<ServerResponse, number>();
  private readonly waiting = new Map<
    ServerResponse,
    (isTurn: boolean) => void
  >();
  private latest: ServerResponse | undefined;
  /** The response whose turn was scheduled last. */
  private scheduled: ServerResponse | undefined;

  /** @param turns - schedules the turns */
  constructor(private readonly turns: TurnScheduler) {}

  /** Number of open responses. */
  get size(): number {
    return this.charges.size;
  }

  /** The open responses, in order. */
  get all(): readonly ServerResponse[] {
    return [...this.charges.keys()];
  }

  /** The response that is sent now. */
  get first(): ServerResponse | undefined {
    const [first] = this.charges.keys();
    return first;
  }

  /** The response that is sent last. */
  get last(): ServerResponse | undefined {
    const {latest} = this;
    if (latest === undefined || this.charges.has(latest)) return latest;
    return this.all.at(-1);
  }

  /**
   * Adds the response of a request whose head was read.
   * @param res - the response
   * @param charge - memory that the request was charged, bytes
   */
  add(res: ServerResponse, charge: number): void {
    this.charges.set(res, charge);
    this.latest = res;
  }

  /**
   * Adds to what the request of an open response is charged.
   * @param res - the response
   * @param bytes - what is added
   */
  addCharge(res: ServerResponse, bytes: number): void {
    const charge = this.charges.get(res);
    if (charge !== undefined) this.charges.set(res, charge + bytes);
  }

  /**
   * Removes a response that was sent or closed.
   * @param res - the response
   * @returns what its request was charged; undefined if it was removed before
   */
  remove(res: ServerResponse): number | undefined {
    const charge = this.charges.get(res);
    if (charge === undefined) return undefined;
    this.charges.delete(res);
    if (this.latest === res && this.size === 0) this.latest = undefined;
    this.resolve(res, false);
    return charge;
  }

  /** Schedules the turn of the first response, if it waits for it. */
  scheduleNext(): void {
    const {first} = this;
    if (first === undefined || first === this.scheduled) return;
    if (!this.waiting.has(first)) return;
    this.scheduled = first;
    this.turns.schedule(() => this.resolve(first, true));
  }

  /**
   * Begins a request, in its turn if it has no body: until then a request that
   * waits behind thousands holds and costs little.
   * @param res - its response
   * @param begin - called with false if the connection ends before its turn
   */
  beginInTurn(res: ServerResponse, begin: (isTurn: boolean) => void): void {
    if (hasBody(res.req) || this.first === res) begin(true);
    else this.waiting.set(res, begin);
  }

  /**
   * Waits until the responses before one were sent. A request that was passed on
   * earlier would be lost if one of them closes the connection.
   * @param res - the response
   * @returns whether it can be sent
   */
  async turnOf(res: ServerResponse): Promise<boolean> {
    if (res.destroyed || !this.charges.has(res)) return false;
    if (this.first === res) return true;
    return new Promise(resolve => this.waiting.set(res, resolve));
  }

  /** Ends the waits for a turn. There may be thousands: only bodies are told. */
  abandonWaiting(): void {
    const waiting = [...this.waiting].filter(([res]) => hasBody(res.req));
    this.waiting.clear();
    for (const [, resolve] of waiting) resolve(false);
  }

  /** Closes responses behind the first; Node closes none that waits for its turn. */
  closeWaiting(): void {
    for (const res of this.charges.keys()) {
      if (res.socket !== null || res.writableFinished) continue;
      res.destroy();
      res.emit('close');
    }
  }

  private resolve(res: ServerResponse, isTurn: boolean): void {
    const begin = this.waiting.get(res);
    this.waiting.delete(res);
    begin?.(isTurn);
  }
}
