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

type Message =
  | {readonly type: 'want'; readonly addresses: ReadonlySet<string>}
  | {readonly type: 'dial'; readonly address: string}
  | {readonly type: 'up'; readonly link: Link; readonly peer: Identity}
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
  private readonly open = new Map<Incarnation, Link>();
  private readonly dialled = new Map<string, Link | undefined>();
  private readonly failures = new Map<string, number>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private wanted: ReadonlySet<string> = new Set();
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
        return this.want(message.addresses);
      case 'dial':
        return this.dialOne(message.address);
      case 'up':
        return this.up(message.link, message.peer);
      case 'closed':
        return this.closed(message.link, message.address, message.reason);
      case 'send': {
        const link = this.open.get(message.to);
        if (link?.send(message.message) !== true) message.unsent?.();
        return;
      }
      case 'broadcast':
        for (const link of this.open.values()) link.send(message.message);
        return;
      case 'finish':
        this.finish();
        return message.finished();
    }
  }

  private finish(): void {
    this.wanted = new Set();
    for (const timer of this.timers) clearTimeout(timer);
    for (const link of this.open.values()) link.finish();
    for (const link of this.dialled.values()) link?.finish();
  }

  private want(addresses: ReadonlySet<string>): void {
    this.wanted = addresses;
    for (const address of addresses) {
      if (!this.dialled.has(address)) this.dialOne(address);
    }
  }

  private dialOne(address: string): void {
    if (!this.wanted.has(address)) {
      this.dialled.delete(address);
      return;
    }
    const link = dial(address, this.linkContext(), this.listener(address));
    this.dialled.set(address, link);
  }

  private up(link: Link, peer: Identity): void {
    this.failures.delete(peer.address);
    const older = this.open.get(peer.incarnation);
    this.open.set(peer.incarnation, link);
    if (older !== undefined && older !== link) older.finish();
    this.logger.info('link_up', {peer: peer.incarnation});
    this.events.up(peer);
  }

  private closed(link: Link, address: string | undefined, reason: Fault): void {
    const peer = link.remote;
    if (peer !== undefined && this.open.get(peer.incarnation) === link) {
      this.open.delete(peer.incarnation);
      this.logger.info('link_down', {
        peer: peer.incarnation,
        reason: reason.detail,
      });
      this.events.down(peer);
    }
    if (address !== undefined) this.redial(address);
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
      open: (link, peer) => this.post({type: 'up', link, peer}),
      closed: (link, reason) =>
        this.post({type: 'closed', link, address, reason}),
      message: (link, message) => {
        if (link.remote) this.events.message(link.remote, message);
      },
    };
  }
}
