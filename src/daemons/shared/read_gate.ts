import type {Socket} from 'node:net';

import type {Clock, Millis} from '../../core/index.js';
import {ReadBacklog} from './read_backlog.js';

/**
 * Stops the reading of a connection. Node's HTTP server pauses and resumes sockets
 * for its own reasons, which apply again once the gate is open.
 */
export class ReadGate {
  private isHeld = false;
  /** Whether the HTTP server reads the connection. */
  private isWanted = true;
  private readonly pauseSocket: () => Socket;
  private readonly resumeSocket: () => Socket;
  private readonly backlog: ReadBacklog;

  /**
   * @param socket - the connection
   * @param clock - the clock
   */
  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
  ) {
    this.backlog = new ReadBacklog(socket);
    this.pauseSocket = socket.pause.bind(socket);
    this.resumeSocket = socket.resume.bind(socket);
    socket.pause = () => {
      this.isWanted = false;
      return this.isHeld ? socket : this.pauseSocket();
    };
    socket.resume = () => {
      this.isWanted = true;
      return this.isHeld ? socket : this.resumeSocket();
    };
    socket.on('resume', () => this.onResumed());
  }

  /** Whether the connection is not read. */
  get isClosed(): boolean {
    return this.isHeld;
  }

  /** Stops the reading. */
  close(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    this.backlog.recordPause(this.clock.now());
    this.pauseSocket();
  }

  /** Reads on, unless the HTTP server has paused the connection. */
  open(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.backlog.recordResume(this.clock.now());
    if (this.isWanted) this.resumeSocket();
  }

  /** Leaves the connection to others, which pause and resume it directly. */
  release(): void {
    this.open();
    Reflect.deleteProperty(this.socket, 'pause');
    Reflect.deleteProperty(this.socket, 'resume');
  }

  /** Checks whether what waited while the gate was closed was read. */
  checkBacklog(): void {
    if (!this.isHeld) this.backlog.check(this.clock.now());
  }

  /**
   * Returns the earliest time at which a request may have arrived.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.backlog.earliestArrival(now);
  }

  /** Repeats a pause that came after a resumption and before its event. */
  private onResumed(): void {
    if (this.isHeld) this.socket.emit('pause');
  }
}
