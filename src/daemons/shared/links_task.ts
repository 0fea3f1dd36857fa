import {callMessages} from '../../calls/index.js';
import {SECOND} from '../../core/index.js';
import type {Incarnation, Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import {acceptLinks, dial, rejectRequest} from '../../links/index.js';
import type {
  Link,
  LinkContext,
  LinkListener,
  LinkMessage,
  LinkServer,
} from '../../links/index.js';
import type {Identity, Role} from '../../membership/index.js';
import type {DaemonContext} from './context.js';
import {ControlServer} from './control_server.js';
import {Task} from './task.js';

const REDIAL_BASE: Millis = 100;
/** Maximum time since last contact of a live link; heartbeats come sooner. */
const LIVENESS_WINDOW: Millis = 1_500;
const FLUSH_TIMEOUT: Millis = 2 * SECOND;
const REDIAL_CAP: Millis = 2 * SECOND;

/** Callbacks for the links of a daemon. */
export interface PeerListener {
  /** The first link to the process opened. */
  onPeerUp(peer: Identity): void;
  /** No link to the process is left. */
  onPeerDown(peer: Identity): void;
  /** The first link for calls opened, or another one replaces a lost one. */
  onCallsLinkUp(peer: Identity): void;
  /**
   * A link for calls is lost, together with the messages in transit.
   * @param at - time of the loss; later messages arrived over another link
   */
  onCallsLinkDown(peer: Identity, at: Millis): void;
  onMessage(peer: Identity, message: LinkMessage): void;
}

/** Reason to dial an address. */
export type LinkPurpose = 'calls' | 'claims' | 'control' | 'group' | 'limits';

/** The open links to one process, whichever side dialled. */
interface PeerLinks {
  readonly peer: Identity;
  /** Ordered from oldest to newest. */
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
      /** The dialled address, if this side dialled. */
      readonly address: string | undefined;
    }
  | {
      readonly type: 'closed';
      readonly link: Link;
      readonly address: string | undefined;
      readonly reason: Fault;
      readonly at: Millis;
    }
  | {
      readonly type: 'send';
      readonly to: Incarnation;
      readonly message: LinkMessage;
      /** Called if no link accepted the message. */
      readonly onSendFailed?: () => void;
    }
  | {
      readonly type: 'broadcast';
      readonly message: LinkMessage;
      /** Role of the recipients; all peers if omitted. */
      readonly role?: Role;
    }
  | {readonly type: 'finish'; readonly onFinished: () => void};

type Closed = Extract<Message, {type: 'closed'}>;

/** Types of the messages that belong to calls. */
const CALL_TYPES: ReadonlySet<string> = new Set(
  callMessages.map(({shape}) => shape.type.value),
);

/** Owns all links of a process: accepts, dials, redials and sends. */
export class LinksTask extends Task<Message> {
  private readonly openPeers = new Map<Incarnation, PeerLinks>();
  private readonly dialled = new Map<string, Link | undefined>();
  private readonly failures = new Map<string, number>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly wantedAddresses = new Map<
    LinkPurpose,
    ReadonlySet<string>
  >();
  private listening: LinkServer | undefined;
  private onFinished: (() => void) | undefined;

  /**
   * @param context - shared context of the daemon's tasks
   * @param key - the estate's link key
   * @param listener - callbacks for links and messages
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly key: string,
    private readonly listener: PeerListener,
  ) {
    super(context.system, 'links', context.logger.withLabel('links'));
  }

  /** Identity that this process sends to its peers. */
  get self(): Identity {
    return this.context.self;
  }

  /**
   * Starts accepting links.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   * @returns the address for peers to dial
   */
  async listen(host: string, port: number): Promise<string> {
    this.listening = await acceptLinks(
      host,
      port,
      () => this.linkContext(),
      this.createListener(undefined),
      new ControlServer(this.context, rejectRequest).enableUpgrades(),
    );
    return this.listening.address;
  }

  /** Flushes the links, then closes them. */
  async close(): Promise<void> {
    await new Promise<void>(onFinished =>
      this.post({type: 'finish', onFinished}),
    );
    this.stop();
    await this.listening?.close();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'want':
        return this.setWanted(message.purpose, message.addresses);
      case 'dial':
        return this.dialAddress(message.address);
      case 'up':
        if (message.address !== undefined) {
          this.failures.delete(message.address);
        }
        return this.onLinkUp(message.link, message.peer);
      case 'closed':
        return this.onLinkClosed(message);
      case 'send':
        if (!this.send(message.to, message.message)) message.onSendFailed?.();
        return;
      case 'broadcast':
        for (const {peer, links} of this.openPeers.values()) {
          const isRecipient =
            message.role === undefined || peer.role === message.role;
          if (isRecipient) this.pickLink(links)?.send(message.message);
        }
        return;
      case 'finish':
        return this.finish(message.onFinished);
    }
  }

  private send(to: Incarnation, message: LinkMessage): boolean {
    const links = this.openPeers.get(to)?.links ?? [];
    const eligible = CALL_TYPES.has(message.type)
      ? links.filter(link => this.carriesCalls(link))
      : links;
    return this.pickLink(eligible)?.send(message) ?? false;
  }

  /**
   * Returns whether the link carries calls. Only links that the entry dialled
   * do, so that a link of the relay neither reorders their frames nor hides a
   * loss.
   */
  private carriesCalls({side, remote}: Link): boolean {
    const {role} = this.self;
    if (remote === undefined || remote.role === role) return false;
    return side === (role === 'entry' ? 'dial' : 'accept');
  }

  /** Returns the oldest live link; a dead one may not be closed yet. */
  private pickLink(links: readonly Link[]): Link | undefined {
    const now = this.context.clock.now();
    const isFresh = (link: Link) => now - link.lastSeenAt < LIVENESS_WINDOW;
    return links.find(isFresh) ?? links[0];
  }

  /** Flushes all links, whichever side dialled, with a time limit. */
  private finish(onFinished: () => void): void {
    this.onFinished = onFinished;
    setTimeout(onFinished, FLUSH_TIMEOUT).unref();
    this.wantedAddresses.clear();
    for (const timer of this.timers) clearTimeout(timer);
    for (const {links} of this.openPeers.values()) {
      for (const link of links) link.closeGracefully();
    }
    for (const link of this.dialled.values()) link?.closeGracefully();
    if (this.openPeers.size === 0) onFinished();
  }

  private setWanted(
    purpose: LinkPurpose,
    addresses: ReadonlySet<string>,
  ): void {
    const before = this.wantedAddresses.get(purpose) ?? new Set();
    this.wantedAddresses.set(purpose, addresses);
    for (const address of addresses) {
      if (!this.dialled.has(address)) this.dialAddress(address);
    }
    if (purpose === 'calls') return;
    for (const address of before) {
      const link = this.dialled.get(address);
      const isIdle = link !== undefined && !this.carriesCalls(link);
      if (isIdle && !this.isWanted(address)) link.closeGracefully();
    }
  }

  private isWanted(address: string): boolean {
    return [...this.wantedAddresses.values()].some(wanted =>
      wanted.has(address),
    );
  }

  private dialAddress(address: string): void {
    if (!this.isWanted(address)) {
      this.dialled.delete(address);
      return;
    }
    const link = dial(
      address,
      this.linkContext(),
      this.createListener(address),
    );
    this.dialled.set(address, link);
  }

  private onLinkUp(link: Link, peer: Identity): void {
    const known = this.openPeers.get(peer.incarnation)?.links ?? [];
    // Both sides may dial, under more than one address. Parallel links stay
    // open until closed or timed out; a new link never closes another one.
    this.openPeers.set(peer.incarnation, {peer, links: [...known, link]});
    this.logger.info('link_up', {peer: peer.incarnation, side: link.side});
    if (known.length === 0) this.listener.onPeerUp(peer);
    const isFirst = !known.some(other => this.carriesCalls(other));
    if (isFirst && this.carriesCalls(link)) this.listener.onCallsLinkUp(peer);
  }

  private onLinkClosed({link, address, reason, at}: Closed): void {
    if (link.remote !== undefined) this.remove(link, link.remote, reason, at);
    if (address !== undefined && this.dialled.get(address) === link) {
      this.redial(address);
    }
  }

  private remove(link: Link, peer: Identity, reason: Fault, at: Millis): void {
    const known = this.openPeers.get(peer.incarnation);
    if (!known?.links.includes(link)) return;
    const links = known.links.filter(other => other !== link);
    const {incarnation} = peer;
    const {detail} = reason;
    const event = {peer: incarnation, side: link.side, reason: detail};
    this.logger.info('link_down', event);
    if (links.length > 0) this.openPeers.set(incarnation, {peer, links});
    else this.openPeers.delete(incarnation);
    if (this.carriesCalls(link)) {
      this.listener.onCallsLinkDown(peer, at);
      const hasCallsLink = links.some(other => this.carriesCalls(other));
      if (hasCallsLink) this.listener.onCallsLinkUp(peer);
    }
    if (links.length === 0) this.listener.onPeerDown(peer);
    if (this.openPeers.size === 0) this.onFinished?.();
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

  private createListener(address: string | undefined): LinkListener {
    return {
      open: (link, peer) => this.post({type: 'up', link, peer, address}),
      closed: (link, reason) => {
        const at = this.context.clock.now();
        this.post({type: 'closed', link, address, reason, at});
      },
      message: (link, message) => {
        if (link.remote) this.listener.onMessage(link.remote, message);
      },
    };
  }
}
