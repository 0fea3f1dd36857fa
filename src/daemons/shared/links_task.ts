import {SECOND} from '../../core/index.js';
import type {Incarnation, Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import {acceptLinks, dial} from '../../links/index.js';
import type {
  Link,
  LinkContext,
  LinkListener,
  LinkMessage,
  Listening,
} from '../../links/index.js';
import type {Identity} from '../../membership/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const REDIAL_BASE: Millis = 100;
const REDIAL_CAP: Millis = 2 * SECOND;

/** What the daemon hears of its links. */
export interface PeerEvents {
  up(peer: Identity): void;
  down(peer: Identity): void;
  message(peer: Identity, message: LinkMessage): void;
}

/** What links are dialled for. */
export type LinkPurpose = 'calls' | 'control' | 'group' | 'limits';

/** The links of one process, at most one that each side dialled. */
interface PeerLinks {
  readonly peer: Identity;
  /** The link in use first. */
  readonly links: Link[];
}

type Message =
  | {
      readonly type: 'want';
      readonly purpose: LinkPurpose;
      readonly addresses: ReadonlySet<string>;
    }
  | {readonly type: 'dial'; readonly address: string}
  | {
      readonly type: 'up';
      readonly link: Link;
      readonly peer: Identity;
      /** The address that was dialled, if this side did. */
      readonly address: string | undefined;
    }
  | {
      readonly type: 'closed';
      readonly link: Link;
      readonly address: string | undefined;
      readonly reason: Fault;
    }
  | {
      readonly type: 'send';
      readonly to: Incarnation;
      readonly message: LinkMessage;
      /** Called when no link took the message. */
      readonly unsent?: () => void;
    }
  | {readonly type: 'broadcast'; readonly message: LinkMessage}
  | {readonly type: 'finish'; readonly finished: () => void};

/** Owns all links of a process: accepts, dials, redials and sends. */
export class LinksTask extends Task<Message> {
  private readonly open = new Map<Incarnation, PeerLinks>();
  private readonly dialled = new Map<string, Link | undefined>();
  private readonly failures = new Map<string, number>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly wants = new Map<LinkPurpose, ReadonlySet<string>>();
  private listening: Listening | undefined;

  /**
   * @param context - what the daemon's tasks share
   * @param key - the estate's link key
   * @param events - told of links and messages
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly key: string,
    private readonly events: PeerEvents,
  ) {
    super(context.system, 'links', context.logger.labelled('links'));
  }

  /** How this process introduces itself. */
  get self(): Identity {
    return this.context.self;
  }

  /**
   * Starts to accept links.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   * @returns the address that peers dial
   */
  async listen(host: string, port: number): Promise<string> {
    this.listening = await acceptLinks(
      host,
      port,
      () => this.linkContext(),
      this.listener(undefined),
    );
    return this.listening.address;
  }

  /** Lets what was sent leave, then closes everything. */
  async close(): Promise<void> {
    await new Promise<void>(finished => this.post({type: 'finish', finished}));
    this.stop();
    await this.listening?.close();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'want':
        return this.want(message.purpose, message.addresses);
      case 'dial':
        return this.dialOne(message.address);
      case 'up':
        if (message.address !== undefined) {
          this.failures.delete(message.address);
        }
        return this.up(message.link, message.peer);
      case 'closed':
        return this.closed(message.link, message.address, message.reason);
      case 'send': {
        const links = this.open.get(message.to)?.links ?? [];
        // The first may be closing while the second stands.
        const isSent = links.some(link => link.send(message.message));
        if (!isSent) message.unsent?.();
        return;
      }
      case 'broadcast':
        for (const {links} of this.open.values()) {
          links[0]?.send(message.message);
        }
        return;
      case 'finish':
        this.finish();
        return message.finished();
    }
  }

  private finish(): void {
    this.wants.clear();
    for (const timer of this.timers) clearTimeout(timer);
    for (const {links} of this.open.values()) {
      for (const link of links) link.finish();
    }
    for (const link of this.dialled.values()) link?.finish();
  }

  private want(purpose: LinkPurpose, addresses: ReadonlySet<string>): void {
    const before = this.wants.get(purpose) ?? new Set();
    this.wants.set(purpose, addresses);
    for (const address of addresses) {
      if (!this.dialled.has(address)) this.dialOne(address);
    }
    if (purpose !== 'control') return;
    for (const address of before) {
      const link = this.dialled.get(address);
      // Calls run between an entry and a sidecar, whoever dialled.
      const isIdle = link?.remote?.role === this.self.role;
      if (isIdle && !this.isWanted(address)) link.finish();
    }
  }

  private isWanted(address: string): boolean {
    return [...this.wants.values()].some(wanted => wanted.has(address));
  }

  private dialOne(address: string): void {
    if (!this.isWanted(address)) {
      this.dialled.delete(address);
      return;
    }
    const link = dial(address, this.linkContext(), this.listener(address));
    this.dialled.set(address, link);
  }

  private up(link: Link, peer: Identity): void {
    const known = this.open.get(peer.incarnation)?.links ?? [];
    // A peer dials again only once it gave its older link up. A link that the
    // other side dialled stands beside it, so that neither closes the other's.
    const replaced = known.filter(({side}) => side === link.side);
    const others = known.filter(({side}) => side !== link.side);
    const links = [...others, link];
    this.open.set(peer.incarnation, {peer, links});
    for (const older of replaced) if (older !== link) older.finish();
    const event = {peer: peer.incarnation, side: link.side};
    if (known.length === 0) this.logger.info('link_up', event);
    else this.logger.debug('link_added', event);
    this.events.up(peer);
  }

  private closed(link: Link, address: string | undefined, reason: Fault): void {
    if (link.remote !== undefined) this.drop(link, link.remote, reason);
    if (address !== undefined && this.dialled.get(address) === link) {
      this.redial(address);
    }
  }

  private drop(link: Link, peer: Identity, reason: Fault): void {
    const known = this.open.get(peer.incarnation);
    if (!known?.links.includes(link)) return;
    const links = known.links.filter(other => other !== link);
    const {detail} = reason;
    const event = {peer: peer.incarnation, side: link.side, reason: detail};
    if (links.length > 0) {
      this.logger.debug('link_dropped', event);
      this.open.set(peer.incarnation, {peer, links});
      return;
    }
    this.logger.info('link_down', event);
    this.open.delete(peer.incarnation);
    this.events.down(peer);
  }

  private redial(address: string): void {
    const failures = this.failures.get(address) ?? 0;
    this.failures.set(address, failures + 1);
    this.dialled.set(address, undefined);
    const {chance} = this.context;
    const delay = chance.backoff(failures, REDIAL_BASE, REDIAL_CAP);
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      this.post({type: 'dial', address});
    }, delay);
    this.timers.add(timer);
  }

  private linkContext(): LinkContext {
    const {self, clock, metrics} = this.context;
    return {self, clock, metrics, key: this.key};
  }

  private listener(address: string | undefined): LinkListener {
    return {
      open: (link, peer) => this.post({type: 'up', link, peer, address}),
      closed: (link, reason) =>
        this.post({type: 'closed', link, address, reason}),
      message: (link, message) => {
        if (link.remote) this.events.message(link.remote, message);
      },
    };
  }
}
