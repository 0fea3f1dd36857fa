import {OpenCalls, SharedLimits} from '../../admission/index.js';
import type {
  LimitVerdict,
  LoanMessage,
  OutgoingLoanMessage,
} from '../../admission/index.js';
import type {CallRequest} from '../../calls/index.js';
import type {Organisation} from '../../configuration/index.js';
import type {
  Incarnation,
  Millis,
  OrganisationName,
  VmName,
} from '../../core/index.js';
import type {LinkMessage} from '../../links/index.js';
import type {Identity, ListedVm} from '../../membership/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {ConfigurationInForce} from './types.js';

const BORROW_INTERVAL: Millis = 250;
/** Entries that each entry dials: its successors in the order of VM names. */
const MAX_DIALLED_ENTRIES = 4;

/** Services of the daemon that the task uses. */
export interface LimitsPorts {
  /** The configuration in force, if there is one. */
  inForce(): ConfigurationInForce | undefined;
  /** Sends a message to another entry. */
  send(to: Incarnation, message: LinkMessage): void;
  /** Sets the link addresses of the entries to keep links to. */
  dial(addresses: ReadonlySet<string>): void;
}

type Message =
  | {readonly type: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly type: 'up'; readonly peer: Identity}
  | {readonly type: 'down'; readonly peer: Identity}
  | {
      readonly type: 'loan';
      readonly from: Incarnation;
      readonly message: LoanMessage;
    }
  | {readonly type: 'tick'};

/** Enforces organisation limits; borrows from and lends to other entries. */
export class LimitsTask extends Task<Message> {
  private readonly limits = new SharedLimits();
  private readonly openCalls = new OpenCalls();
  private readonly peers = new Map<Incarnation, VmName>();
  private listedEntries: readonly ListedVm[] = [];
  private readonly borrowTimer: NodeJS.Timeout;

  /**
   * @param context - state shared by the daemon's tasks
   * @param ports - services of the daemon
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: LimitsPorts,
  ) {
    super(context.system, 'limits', context.logger.withLabel('limits'));
    this.borrowTimer = setInterval(
      () => this.post({type: 'tick'}),
      BORROW_INTERVAL,
    );
  }

  /**
   * Admits or rejects a request by its organisation's limits. Runs outside the
   * inbox, so that a request over its limit never waits behind other messages.
   * @param limits - the limits of the organisation
   * @param call - the call
   * @param isAnswered - whether the answer has begun
   */
  admit(
    limits: Organisation['limits'],
    call: CallRequest,
    isAnswered: () => boolean,
  ): LimitVerdict {
    const now = this.context.clock.now();
    const {organisation: name, service, cost = 1, deadlineAt, callId} = call;
    const stuck = this.openCalls.countStuck(now, name, service);
    const request = {cost, deadlineAt, stuck};
    const verdict = this.limits.admit(now, name, limits, request);
    if (verdict.allowed) {
      const startedAt = now;
      const openCall = {organisation: name, service, startedAt, isAnswered};
      this.openCalls.add(callId, openCall);
    } else {
      const {limit, retryAfterMs} = verdict;
      const organisation = name;
      const fields = {organisation, service, limit, stuck, retryAfterMs};
      this.logger.info('over_limit', fields);
    }
    return verdict;
  }

  /**
   * Releases what an admitted request holds, after its end.
   * @param call - the call
   */
  release({organisation, callId}: CallRequest): void {
    this.openCalls.remove(callId);
    this.limits.release(organisation);
  }

  override stop(): void {
    clearInterval(this.borrowTimer);
    super.stop();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'listed':
        return this.onVmList(message.vms);
      case 'up':
        if (message.peer.role !== 'entry') return;
        this.peers.set(message.peer.incarnation, message.peer.vm);
        return this.updateEntries();
      case 'down':
        this.peers.delete(message.peer.incarnation);
        return;
      case 'loan':
        return this.onLoanMessage(message.from, message.message);
      case 'tick':
        return this.borrow();
    }
  }

  private onVmList(vms: readonly ListedVm[]): void {
    const {self} = this.context;
    const others = vms.filter(
      ({role, vm}) => role === 'entry' && vm !== self.vm,
    );
    this.listedEntries = others;
    this.updateEntries();
    const names = [self.vm, ...others.map(({vm}) => vm)].sort();
    const index = names.indexOf(self.vm);
    const dialledVms = new Set(
      Array.from(
        {length: Math.min(MAX_DIALLED_ENTRIES, others.length)},
        (_, i) => names[(index + 1 + i) % names.length],
      ),
    );
    const dialled = others.filter(({vm}) => dialledVms.has(vm));
    this.ports.dial(new Set(dialled.map(({address}) => address)));
  }

  /** Counts the listed entries and, as the list may lag, the linked ones. */
  private updateEntries(): void {
    const {self, clock} = this.context;
    const listed = this.listedEntries.map(({vm}) => vm);
    const all = new Set([self.vm, ...listed, ...this.peers.values()]);
    const index = [...all].sort().indexOf(self.vm);
    this.limits.setEntries(clock.now(), {count: all.size, index});
  }

  private borrow(): void {
    const peers = [...this.peers.keys()];
    const shuffled = this.context.chance.sample(peers, peers.length);
    this.send(this.limits.borrow(this.context.clock.now(), shuffled));
  }

  private onLoanMessage(from: Incarnation, message: LoanMessage): void {
    const now = this.context.clock.now();
    if (message.type === 'lend') return this.limits.acceptLoan(now, message);
    const organisations = this.ports.inForce()?.cfg.organisations ?? {};
    const limitsOf = (name: OrganisationName) => organisations[name]?.limits;
    this.send(this.limits.lend(now, from, message, limitsOf));
  }

  private send(outgoing: readonly OutgoingLoanMessage[]): void {
    for (const {to, message} of outgoing) this.ports.send(to, message);
  }
}
