import {Agent, request} from 'undici';

import {readBounded, withTimeout} from '../../clients/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {DependencyHealth} from './dependency_health.js';

/** A peer that does not respond for this long misses the message. */
const RESPONSE_TIMEOUT: Millis = 400;
/** Size limit of a response; a batch of reports takes some kilobytes. */
const MAX_RESPONSE_BYTES = 2 ** 20;
const OK = 200;

/** Channel for messages to all other entries. */
export class PeerChannel {
  private readonly agent = new Agent({
    connections: 1,
    pipelining: 1,
    connectTimeout: RESPONSE_TIMEOUT,
  });
  private readonly health = new Map<string, DependencyHealth>();
  private peers: readonly string[] = [];

  /**
   * @param clock - the clock
   * @param logger - logs peers that do not respond
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Closes the connections to peers. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /**
   * Replaces the peers.
   * @param peers - `host:port` of each other entry
   */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
    for (const peer of this.health.keys()) {
      if (!peers.includes(peer)) this.health.delete(peer);
    }
  }

  /**
   * Sends a message to all peers.
   * @param path - path of the message's receiver
   * @param body - the message
   * @param decode - decodes a response; throws if it has another format
   * @returns the responses of the peers that responded in time
   */
  async broadcast<T>(
    path: string,
    body: Buffer,
    decode: (response: Buffer) => T,
  ): Promise<T[]> {
    const responses = await Promise.all(
      this.peers.map(peer => this.send(peer, path, body, decode)),
    );
    return responses.flatMap(one => (one === undefined ? [] : [one]));
  }

  private async send<T>(
    peer: string,
    path: string,
    body: Buffer,
    decode: (response: Buffer) => T,
  ): Promise<T | undefined> {
    const health = this.healthOf(peer);
    try {
      const response = await withTimeout(RESPONSE_TIMEOUT, async signal => {
        const res = await request(`http://${peer}${path}`, {
          method: 'POST',
          body,
          dispatcher: this.agent,
          signal,
        });
        const bytes = await readBounded(res.body, MAX_RESPONSE_BYTES);
        if (res.statusCode !== OK) {
          throw new Error(`responded with status ${res.statusCode}`);
        }
        return decode(bytes);
      });
      health.recordSuccess();
      return response;
    } catch (thrown) {
      health.recordFailure(describeError(thrown));
      return undefined;
    }
  }

  private healthOf(peer: string): DependencyHealth {
    let health = this.health.get(peer);
    if (health === undefined) {
      health = new DependencyHealth('peer', this.clock, this.logger, {peer});
      this.health.set(peer, health);
    }
    return health;
  }
}
