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

/** Peers that are notified directly of a departure. */
const MAX_NOTIFIED_PEERS = 512;

/** Actions of the task that the daemon carries out. */
export interface MembersPorts {
  /** Called when the set of members may have changed. */
  onMembersChanged(members: readonly Member[]): void;
  /** Called when a process is leaving. */
  onDeparture(process: Incarnation): void;
  /** Starts the departure of this process. */
  leave(): void;
  /** Returns the peers that relay departures. */
  relayPeers(): readonly Incarnation[];
  /** Sends a message to a peer. */
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

/** Tracks the members of the estate and relays departures. */
export class MembersTask extends Task<Message> {
  private readonly table = new MemberTable();
  private readonly selfListing: SelfListing;

  /**
   * @param context - shared context of the daemon's tasks
   * @param ports - actions that the daemon carries out
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: MembersPorts,
  ) {
    super(context.system, 'members', context.logger.withLabel('members'));
    const {self, clock} = context;
    this.selfListing = new SelfListing(self.vm, clock.now());
  }

  /** Returns all known members, for `/status`. */
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
        this.table.onLinkUp(now, message.peer);
        break;
      case 'down':
        this.table.onLinkDown(now, message.peer.incarnation);
        break;
      case 'departures':
        this.onDepartures(message.incarnations);
        break;
    }
    this.ports.onMembersChanged(this.table.all());
  }

  private onVmList(now: Millis, vms: readonly ListedVm[]): void {
    if (this.selfListing.shouldLeave(now, vms)) this.ports.leave();
    this.announceDepartures(this.table.applyList(now, vms));
  }

  private onDepartures(incarnations: readonly Incarnation[]): void {
    const {self} = this.context;
    this.announceDepartures(
      incarnations.filter(process => this.table.markLeaving(process)),
    );
    if (incarnations.includes(self.incarnation)) this.ports.leave();
  }

  /** Notifies the leaving processes and the peers that relay departures. */
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
