import {callMessages} from '../../calls/index.js';
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
import type {Identity, Role} from '../../membership/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const REDIAL_BASE: Millis = 100;
/** A link that works is heard from more often than this. */
const FRESH_WITHIN: Millis = 1_500;
const FINISH_WITHIN: Millis = 2 * SECOND;
const REDIAL_CAP: Millis = 2 * SECOND;

/** What the daemon hears of its links. */
export interface PeerEvents {
  /** The first link to the process opened. */
  up(peer: Identity): void;
  /** No link to the process is left. */
  down(peer: Identity): void;
  /** The first link that carries calls opened, or another one took over. */
  callsUp(peer: Identity): void;
  /**
   * A link that carried calls is lost, and with it what was on it.
   * @param at - when: what came later came over another link
   */
  callsDown(peer: Identity, at: Millis): void;
  message(peer: Identity, message: LinkMessage): void;
}

/** What links are dialled for. */
export type LinkPurpose = 'calls' | 'claims' | 'control' | 'group' | 'limits';

/** The open links to one process, whichever side dialled. */
interface PeerLinks {
  readonly peer: Identity;
  /** The oldest first. */
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
      readonly at: Millis;
    }
  | {
      readonly type: 'send';
      readonly to: Incarnation;
      readonly message: LinkMessage;
      /** Called when no link took the message. */
      readonly unsent?: () => void;
    }
  | {
      readonly type: 'broadcast';
      readonly message: LinkMessage;
      /** Who gets it; everyone when left out. */
      readonly role?: Role;
    }
  | {readonly type: 'finish'; readonly finished: () => void};

type Closed = Extract<Message, {type: 'closed'}>;

/** Types of the messages about calls. */
const CALL_TYPES: ReadonlySet<string> = new Set(
  callMessages.map(({shape}) => shape.type.value),
);

/** Owns all links of a process: accepts, dials, redials and sends. */
export class LinksTask extends Task<Message> {
  private readonly open = new Map<Incarnation, PeerLinks>();
  private readonly dialled = new Map<string, Link | undefined>();
  private readonly failures = new Map<string, number>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly wants = new Map<LinkPurpose, ReadonlySet<string>>();
  private listening: Listening | undefined;
  private finished: (() => void) | undefined;

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
        return this.closed(message);
      case 'send':
        if (!this.send(message.to, message.message)) message.unsent?.();
        return;
      case 'broadcast':
        for (const {peer, links} of this.open.values()) {
          const isMeant =
            message.role === undefined || peer.role === message.role;
          if (isMeant) this.pick(links)?.send(message.message);
        }
        return;
      case 'finish':
        return this.finish(message.finished);
    }
  }

  private send(to: Incarnation, message: LinkMessage): boolean {
    const links = this.open.get(to)?.links ?? [];
    const fitting = CALL_TYPES.has(message.type)
      ? links.filter(link => this.carriesCalls(link))
      : links;
    return this.pick(fitting)?.send(message) ?? false;
  }

  /**
   * Calls travel over links that the entry dialled, and over no other, so that
   * a link of the relay neither reorders their frames nor hides a loss.
   */
  private carriesCalls({side, remote}: Link): boolean {
    const {role} = this.self;
    if (remote === undefined || remote.role === role) return false;
    return side === (role === 'entry' ? 'dial' : 'accept');
  }

  /** The first link that is heard from: one may be dead and not closed yet. */
  private pick(links: readonly Link[]): Link | undefined {
    const now = this.context.clock.now();
    const isFresh = (link: Link) => now - link.lastHeard < FRESH_WITHIN;
    return links.find(isFresh) ?? links[0];
  }

  /** Peers have some time to take what was sent, whoever dialled. */
  private finish(finished: () => void): void {
    this.finished = finished;
    setTimeout(finished, FINISH_WITHIN).unref();
    this.wants.clear();
    for (const timer of this.timers) clearTimeout(timer);
    for (const {links} of this.open.values()) {
      for (const link of links) link.finish();
    }
    for (const link of this.dialled.values()) link?.finish();
    if (this.open.size === 0) finished();
  }

  private want(purpose: LinkPurpose, addresses: ReadonlySet<string>): void {
    const before = this.wants.get(purpose) ?? new Set();
    this.wants.set(purpose, addresses);
    for (const address of addresses) {
      if (!this.dialled.has(address)) this.dialOne(address);
    }
    if (purpose === 'calls') return;
    for (const address of before) {
      const link = this.dialled.get(address);
      const isIdle = link !== undefined && !this.carriesCalls(link);
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
    // Each side may have dialled, under more than one address: links stand
    // beside each other until they are closed or silent, and none closes another.
    this.open.set(peer.incarnation, {peer, links: [...known, link]});
    this.logger.info('link_up', {peer: peer.incarnation, side: link.side});
    if (known.length === 0) this.events.up(peer);
    const isFirst = !known.some(other => this.carriesCalls(other));
    if (isFirst && this.carriesCalls(link)) this.events.callsUp(peer);
  }

  private closed({link, address, reason, at}: Closed): void {
    if (link.remote !== undefined) this.drop(link, link.remote, reason, at);
    if (address !== undefined && this.dialled.get(address) === link) {
      this.redial(address);
    }
  }

  private drop(link: Link, peer: Identity, reason: Fault, at: Millis): void {
    const known = this.open.get(peer.incarnation);
    if (!known?.links.includes(link)) return;
    const links = known.links.filter(other => other !== link);
    const {incarnation} = peer;
    const {detail} = reason;
    const event = {peer: incarnation, side: link.side, reason: detail};
    this.logger.info('link_down', event);
    if (links.length > 0) this.open.set(incarnation, {peer, links});
    else this.open.delete(incarnation);
    if (this.carriesCalls(link)) {
      this.events.callsDown(peer, at);
      const left = links.some(other => this.carriesCalls(other));
      if (left) this.events.callsUp(peer);
    }
    if (links.length === 0) this.events.down(peer);
    if (this.open.size === 0) this.finished?.();
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
      closed: (link, reason) => {
        const at = this.context.clock.now();
        this.post({type: 'closed', link, address, reason, at});
      },
      message: (link, message) => {
        if (link.remote) this.events.message(link.remote, message);
      },
    };
  }
}
