import type {Incarnation, Millis} from '../../core/index.js';
import type {LinkMessage} from '../../links/index.js';
import {
  MAX_DEPARTURES,
  MemberTable,
  SelfListing,
} from '../../membership/index.js';
import type {Identity, ListedVm, Member} from '../../membership/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

/** Processes that one piece of news is passed to directly. */
const MAX_TOLD = 512;

/** What the task does through the daemon. */
export interface MembersPorts {
  /** Who is there changed. */
  changed(members: readonly Member[]): void;
  /** A process is known to leave. */
  departed(process: Incarnation): void;
  /** This process has to leave. */
  leave(): void;
  /** The peers that pass on news. */
  relayPeers(): readonly Incarnation[];
  /** Sends to a peer. */
  send(to: Incarnation, message: LinkMessage): void;
}

type Message =
  | {readonly type: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly type: 'up'; readonly peer: Identity}
  | {readonly type: 'down'; readonly peer: Identity}
  | {
      readonly type: 'departures';
      readonly incarnations: readonly Incarnation[];
    };

/** Knows who is there and passes on who leaves. */
export class MembersTask extends Task<Message> {
  private readonly table = new MemberTable();
  private readonly selfListing: SelfListing;

  /**
   * @param context - what the daemon's tasks share
   * @param ports - what the task does through the daemon
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: MembersPorts,
  ) {
    super(context.system, 'members', context.logger.labelled('members'));
    const {self, clock} = context;
    this.selfListing = new SelfListing(self.vm, clock.now());
  }

  /** Everyone known, for `/status`. */
  status(): readonly Member[] {
    return this.table.all();
  }

  protected receive(message: Message): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'listed':
        this.listed(now, message.vms);
        break;
      case 'up':
        this.table.onLinkUp(now, message.peer);
        break;
      case 'down':
        this.table.onLinkDown(now, message.peer.incarnation);
        break;
      case 'departures':
        this.departed(message.incarnations);
        break;
    }
    this.ports.changed(this.table.all());
  }

  private listed(now: Millis, vms: readonly ListedVm[]): void {
    if (this.selfListing.shouldLeave(now, vms)) this.ports.leave();
    this.tell(this.table.applyList(now, vms));
  }

  private departed(incarnations: readonly Incarnation[]): void {
    const {self} = this.context;
    this.tell(incarnations.filter(process => this.table.markLeaving(process)));
    if (incarnations.includes(self.incarnation)) this.ports.leave();
  }

  /** News goes to those who leave, and to the peers that pass it on. */
  private tell(news: readonly Incarnation[]): void {
    if (news.length === 0) return;
    for (const process of news) {
      this.logger.info('departure', {peer: process});
      this.ports.departed(process);
    }
    const incarnations = news.slice(0, MAX_DEPARTURES);
    const peers = this.ports.relayPeers().slice(0, MAX_TOLD);
    for (const to of new Set([...news, ...peers])) {
      if (to === this.context.self.incarnation) continue;
      this.ports.send(to, {
        type: 'departures',
        incarnations: [...incarnations],
      });
    }
  }
}
