import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {cutoverMessages} from '../../expert_groups/index.js';
import type {CutoverMessage} from '../../expert_groups/index.js';
import {acceptLinks, dial} from '../../links/index.js';
import type {
  Link,
  LinkContext,
  LinkMessage,
  Listening,
} from '../../links/index.js';

/** A link that did not open, or broke, is dialled again after this time. */
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

/** Links between the sidecars of a group: its coordinator dials the others. */
export class RankLinks {
  private readonly dialled = new Map<string, DialledLink>();
  private listening: Listening | undefined;

  /**
   * @param context - what every link needs
   * @param onMessage - takes each message; what it answers goes over the same
   * link, since two processes may have dialled each other
   * @param onOpen - told of each link that was dialled and is open
   */
  constructor(
    private readonly context: LinkContext,
    private readonly onMessage: (from: Link, message: CutoverMessage) => void,
    private readonly onOpen: (link: Link) => void,
  ) {}

  /**
   * Accepts links.
   * @param host - IP address
   * @param port - port
   */
  async listen(host: string, port: number): Promise<void> {
    this.listening = await acceptLinks(
      host,
      port,
      () => this.context,
      this.listener(),
    );
  }

  /**
   * Opens a link unless there is one, or one failed just now.
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
   * Sends over the link that was dialled.
   * @param address - `host:port` of the other sidecar
   * @param message - the message
   * @returns whether it was handed to a connection
   */
  sendTo(address: string, message: CutoverMessage): boolean {
    return this.dialled.get(address)?.link.send(message) ?? false;
  }

  /**
   * Sends over all links that were dialled.
   * @param message - the message
   */
  broadcast(message: CutoverMessage): void {
    for (const {link} of this.dialled.values()) link.send(message);
  }

  /** Closes the links that were dialled. */
  disconnect(): void {
    for (const {link} of this.dialled.values()) link.finish();
    this.dialled.clear();
  }

  /** Closes everything. */
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
