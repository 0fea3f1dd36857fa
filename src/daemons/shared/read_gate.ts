import type {Socket} from 'node:net';

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

  /** @param socket - the connection */
  constructor(private readonly socket: Socket) {
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
    this.pauseSocket();
  }

  /** Reads on, unless the HTTP server has paused the connection. */
  open(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    if (this.isWanted) this.resumeSocket();
  }

  /** Repeats a pause that came after a resumption and before its event. */
  private onResumed(): void {
    if (this.isHeld) this.socket.emit('pause');
  }
}
