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
const MAX_NOTIFIED_PEERS = 512;

/** What the task does through the daemon. */
export interface MembersPorts {
  /** Who is there changed. */
  onMembersChanged(members: readonly Member[]): void;
  /** A process is known to leave. */
  onDeparture(process: Incarnation): void;
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
        this.onVmList(now, message.vms);
        break;
      case 'up':
        this.table.linkUp(now, message.peer);
        break;
      case 'down':
        this.table.linkDown(now, message.peer.incarnation);
        break;
      case 'departures':
        this.onDepartures(message.incarnations);
        break;
    }
    this.ports.onMembersChanged(this.table.all());
  }

  private onVmList(now: Millis, vms: readonly ListedVm[]): void {
    if (this.selfListing.shouldLeave(now, vms)) this.ports.leave();
    this.announceDepartures(this.table.list(now, vms));
  }

  private onDepartures(incarnations: readonly Incarnation[]): void {
    const {self} = this.context;
    this.announceDepartures(
      incarnations.filter(process => this.table.leave(process)),
    );
    if (incarnations.includes(self.incarnation)) this.ports.leave();
  }

  /** News goes to those who leave, and to the peers that pass it on. */
  private announceDepartures(departed: readonly Incarnation[]): void {
    if (departed.length === 0) return;
    for (const process of departed) {
      this.logger.info('departure', {peer: process});
      this.ports.onDeparture(process);
    }
    const incarnations = departed.slice(0, MAX_DEPARTURES);
    const peers = this.ports.relayPeers().slice(0, MAX_NOTIFIED_PEERS);
    for (const to of new Set([...departed, ...peers])) {
      if (to === this.context.self.incarnation) continue;
      this.ports.send(to, {
        type: 'departures',
        incarnations: [...incarnations],
      });
    }
  }
}
