import type {Socket} from 'node:net';

import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/** Time in which what waited in the system's buffers is read. */
const CATCH_UP_TIME: Millis = SECOND;
/** The same, if nothing was read since the last check. */
const IDLE_TIME: Millis = SECOND / 10;

/**
 * Time for which bytes may wait in the system's buffers while a connection is not
 * read: the deadlines of their requests do not start when they are read.
 */
export class ReadBacklog {
  private startedAt: Millis | undefined;
  private resumedAt: Millis = 0;
  private bytesAtCheck = 0;

  /** @param socket - the connection */
  constructor(private readonly socket: Socket) {}

  /**
   * Records that the connection is not read from now on.
   * @param now - current time
   */
  recordPause(now: Millis): void {
    this.startedAt ??= now;
  }

  /**
   * Records that it is read again.
   * @param now - current time
   */
  recordResume(now: Millis): void {
    this.resumedAt = now;
  }

  /**
   * Checks whether all that has waited was read; to be called while it is read.
   * @param now - current time
   */
  check(now: Millis): void {
    if (this.startedAt === undefined) return;
    const {bytesRead} = this.socket;
    const isIdle = bytesRead === this.bytesAtCheck;
    this.bytesAtCheck = bytesRead;
    const readFor = now - this.resumedAt;
    if (readFor >= (isIdle ? IDLE_TIME : CATCH_UP_TIME))
      this.startedAt = undefined;
  }

  /**
   * Returns the earliest time at which a request may have arrived.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.startedAt ?? now;
  }
}
