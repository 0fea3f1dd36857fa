import type {Server} from 'node:http';

import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {cutoverMessages} from '../../expert_groups/index.js';
import type {CutoverMessage} from '../../expert_groups/index.js';
import {acceptLinks, dial} from '../../links/index.js';
import type {
  Link,
  LinkContext,
  LinkMessage,
  LinkServer,
} from '../../links/index.js';

/** Minimum time between two dials of the same sidecar. */
const REDIAL_DELAY: Millis = SECOND / 2;

const MESSAGE_TYPES: ReadonlySet<string> = new Set(
  cutoverMessages.map(({shape}) => shape.type.value),
);

function isCutoverMessage(message: LinkMessage): message is CutoverMessage {
  return MESSAGE_TYPES.has(message.type);
}

interface DialledLink {
  readonly link: Link;
  readonly at: Millis;
}

/** Links between the sidecars of a group; its coordinator dials the others. */
export class RankLinks {
  private readonly dialled = new Map<string, DialledLink>();
  private listening: LinkServer | undefined;

  /**
   * @param context - context shared by all links
   * @param onMessage - called with each message and its link, over which any
   * answer is sent, since two processes may have dialled each other
   * @param onOpen - called with each dialled link once it is open
   */
  constructor(
    private readonly context: LinkContext,
    private readonly onMessage: (from: Link, message: CutoverMessage) => void,
    private readonly onOpen: (link: Link) => void,
  ) {}

  /**
   * Starts to accept links.
   * @param host - IP address
   * @param port - port
   * @param http - HTTP server whose connections become links
   */
  async listen(host: string, port: number, http: Server): Promise<void> {
    this.listening = await acceptLinks(
      host,
      port,
      () => this.context,
      this.listener(),
      http,
    );
  }

  /**
   * Dials a sidecar, unless its link is open or was dialled recently.
   * @param address - `host:port` of the other sidecar
   */
  dial(address: string): void {
    const now = this.context.clock.now();
    const known = this.dialled.get(address);
    if (known !== undefined && now - known.at < REDIAL_DELAY) return;
    if (known !== undefined && known.link.remote !== undefined) return;
    const link = dial(address, this.context, this.listener(address));
    this.dialled.set(address, {link, at: now});
  }

  /**
   * Sends a message over the dialled link to a sidecar.
   * @param address - `host:port` of the other sidecar
   * @param message - the message
   * @returns whether it was handed to a connection
   */
  sendTo(address: string, message: CutoverMessage): boolean {
    return this.dialled.get(address)?.link.send(message) ?? false;
  }

  /**
   * Sends a message over all dialled links.
   * @param message - the message
   */
  broadcast(message: CutoverMessage): void {
    for (const {link} of this.dialled.values()) link.send(message);
  }

  /** Closes the dialled links. */
  disconnect(): void {
    for (const {link} of this.dialled.values()) link.closeGracefully();
    this.dialled.clear();
  }

  /** Closes all links and stops to accept new ones. */
  async close(): Promise<void> {
    this.disconnect();
    await this.listening?.close();
  }

  private listener(address?: string) {
    return {
      open: (link: Link) => {
        if (address !== undefined) this.onOpen(link);
      },
      message: (link: Link, message: LinkMessage) => {
        if (isCutoverMessage(message)) this.onMessage(link, message);
      },
      closed: (link: Link) => {
        if (address === undefined) return;
        const known = this.dialled.get(address);
        if (known?.link === link) this.dialled.delete(address);
      },
    };
  }
}
