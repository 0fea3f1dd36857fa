import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

interface ConnectionPair {
  readonly near: Socket;
  readonly far: Socket;
  isStalled: boolean;
}

/** TCP relay that can be disconnected or stall its open connections. */
export class Relay {
  private readonly server: Server;
  private readonly pairs = new Set<ConnectionPair>();
  private isCut = false;

  /** @param target - destination, `host:port` */
  constructor(private readonly target: string) {
    this.server = createServer(near => this.accept(near));
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Keeps open connections open but drops their data; new ones work. */
  stallConnections(): void {
    for (const pair of this.pairs) pair.isStalled = true;
  }

  /** Destroys open connections and closes new ones at once. */
  cut(): void {
    this.isCut = true;
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  heal(): void {
    this.isCut = false;
  }

  async close(): Promise<void> {
    this.cut();
    await new Promise(resolve => this.server.close(resolve));
  }

  private accept(near: Socket): void {
    if (this.isCut) {
      near.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect(Number(port), host);
    for (const socket of [near, far]) socket.setNoDelay();
    const pair = {near, far, isStalled: false};
    this.pairs.add(pair);
    this.pass(pair, near, far);
    this.pass(pair, far, near);
  }

  private pass(pair: ConnectionPair, from: Socket, to: Socket): void {
    from.on('data', chunk => {
      if (!pair.isStalled) to.write(chunk);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      if (pair.isStalled) return;
      this.pairs.delete(pair);
      to.destroy();
    });
  }
}
