import {once} from 'node:events';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/** Below the ports that the system gives to connections and other listeners. */
const PORTS_START = 20_000;
const PORTS_END = 32_000;
/** Ports of a block; the first one is held by the process that uses the block. */
const BLOCK_SIZE = 50;
const BLOCKS = (PORTS_END - PORTS_START) / BLOCK_SIZE;
/** Blocks that a process takes before it uses the oldest one again. */
const MAX_BLOCKS = 20;
const HOST = '127.0.0.1';

/**
 * Ports for the tests of one process. A port is free when it is returned and bound
 * later, so that another process could take it meanwhile: processes use separate
 * blocks, each with a held port, which the system frees when the process ends.
 */
export class PortBlocks {
  /** Held ports, each followed by the ports of its block; the last is in use. */
  private readonly blocks: number[] = [];
  private offset = BLOCK_SIZE;
  private nextBlock: number;
  private turn: Promise<unknown> = Promise.resolve();

  /** @param firstBlock - number of the block to try first */
  constructor(firstBlock: number) {
    this.nextBlock = firstBlock % BLOCKS;
  }

  /**
   * Returns a port that is free, and that no other process is given. It may be
   * returned again after some 1,000 others.
   * @throws {Error} if other processes hold all blocks
   */
  async take(): Promise<number> {
    const port = this.turn.then(() => this.findPort());
    this.turn = port.catch(() => undefined);
    return port;
  }

  private async findPort(): Promise<number> {
    for (;;) {
      if (this.offset === BLOCK_SIZE) await this.changeBlock();
      const port = this.blocks.at(-1)! + this.offset;
      this.offset += 1;
      const server = await listen(port);
      if (server === undefined) continue;
      server.close();
      await once(server, 'close');
      return port;
    }
  }

  private async changeBlock(): Promise<void> {
    const block =
      this.blocks.length < MAX_BLOCKS
        ? await this.holdBlock()
        : this.blocks.shift()!;
    this.blocks.push(block);
    this.offset = 1;
  }

  /** Takes a block that no process holds; returns its first port. */
  private async holdBlock(): Promise<number> {
    for (let tries = 0; tries < BLOCKS; tries++) {
      const start = PORTS_START + this.nextBlock * BLOCK_SIZE;
      this.nextBlock = (this.nextBlock + 1) % BLOCKS;
      const holder = await listen(start);
      if (holder === undefined) continue;
      holder.unref();
      return start;
    }
    throw new Error('all blocks of ports are held');
  }
}

/** Listens on a port; returns undefined if it is taken. */
async function listen(port: number): Promise<Server | undefined> {
  const server = createServer().listen(port, HOST);
  return new Promise(resolve => {
    server.once('listening', () => resolve(server));
    server.once('error', () => resolve(undefined));
  });
}

const own = new PortBlocks(process.pid);

/** Returns a port that is free, and that no other test process is given. */
export const freePort = () => own.take();
