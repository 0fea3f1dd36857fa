import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** What the proxy does to the traffic between one entry and the store. */
export type StoreTrouble = 'none' | 'slow' | 'reset' | 'one_way' | 'silence';

/** Delay of each piece in either direction while the store is slow, ms. */
const SLOW_MS = 400;

/** TCP proxy between one entry and the store. */
export class StoreProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private trouble: StoreTrouble = 'none';

  /** @param target - `host:port` of the store */
  constructor(private readonly target: string) {
    this.server = createServer(near => this.accept(near));
  }

  /** Starts listening and returns `host:port`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /**
   * Sets the trouble.
   * @param trouble - the trouble
   */
  set(trouble: StoreTrouble): void {
    const hadLost = this.trouble === 'one_way' || this.trouble === 'silence';
    this.trouble = trouble;
    // A connection on which bytes were lost can't go on.
    if (trouble === 'reset' || hadLost) this.resetAll();
  }

  /** Ends all connections and stops listening. */
  close(): void {
    this.resetAll();
    this.server.close();
  }

  private resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private accept(near: Socket): void {
    near.on('error', () => undefined);
    if (this.trouble === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect(Number(port), host);
    this.pass(near, far, () => this.trouble === 'silence');
    this.pass(far, near, () => ['silence', 'one_way'].includes(this.trouble));
  }

  private pass(from: Socket, to: Socket, isLost: () => boolean): void {
    this.sockets.add(from);
    from.setNoDelay();
    from.on('data', bytes => {
      if (isLost()) return;
      if (this.trouble === 'slow') {
        from.pause();
        setTimeout(() => {
          to.write(bytes);
          from.resume();
        }, SLOW_MS);
      } else to.write(bytes);
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
