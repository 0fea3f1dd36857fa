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
import type {InForce} from './types.js';

const BORROW_EVERY: Millis = 250;
/** Entries that each entry dials, next to it in the order of their names. */
const DIALLED = 4;

/** What the task does through the daemon. */
export interface LimitsPorts {
  /** The configuration in force, if there is one. */
  inForce(): InForce | undefined;
  /** Sends to another entry. */
  send(to: Incarnation, message: LinkMessage): void;
  /** Tells which entries should have a link. */
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

/** Keeps the organisations' limits and trades idle shares with other entries. */
export class LimitsTask extends Task<Message> {
  private readonly limits = new SharedLimits();
  private readonly open = new OpenCalls();
  private readonly peers = new Map<Incarnation, VmName>();
  private listedEntries: readonly ListedVm[] = [];
  private readonly timer: NodeJS.Timeout;

  /**
   * @param context - what the daemon's tasks share
   * @param ports - what the task does through the daemon
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: LimitsPorts,
  ) {
    super(context.system, 'limits', context.logger.labelled('limits'));
    this.timer = setInterval(() => this.post({type: 'tick'}), BORROW_EVERY);
  }

  /**
   * An organisation makes a request. Decided at once, so that a request over
   * its limit never waits behind other messages.
   * @param limits - the limits of its organisation
   * @param call - the call
   * @param isAnswered - whether its answer has begun
   */
  admit(
    limits: Organisation['limits'],
    call: CallRequest,
    isAnswered: () => boolean,
  ): LimitVerdict {
    const now = this.context.clock.now();
    const {organisation: name, service, cost = 1, deadlineAt, callId} = call;
    const stuck = this.open.countStuck(now, name, service);
    const ask = {cost, deadlineAt, stuck};
    const verdict = this.limits.admit(now, name, limits, ask);
    if (verdict.allowed) {
      const startedAt = now;
      const open = {organisation: name, service, startedAt, isAnswered};
      this.open.add(callId, open);
    } else {
      const {limit, retryAfterMs} = verdict;
      const organisation = name;
      const fields = {organisation, service, limit, stuck, retryAfterMs};
      this.logger.info('over_limit', fields);
    }
    return verdict;
  }

  /**
   * An admitted request ended.
   * @param call - the call
   */
  end({organisation, callId}: CallRequest): void {
    this.open.remove(callId);
    this.limits.release(organisation);
  }

  override stop(): void {
    clearInterval(this.timer);
    super.stop();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'listed':
        return this.listed(message.vms);
      case 'up':
        if (message.peer.role !== 'entry') return;
        this.peers.set(message.peer.incarnation, message.peer.vm);
        return this.enrol();
      case 'down':
        this.peers.delete(message.peer.incarnation);
        return;
      case 'loan':
        return this.loan(message.from, message.message);
      case 'tick':
        return this.tick();
    }
  }

  private listed(vms: readonly ListedVm[]): void {
    const {self} = this.context;
    const others = vms.filter(
      ({role, vm}) => role === 'entry' && vm !== self.vm,
    );
    this.listedEntries = others;
    this.enrol();
    const names = [self.vm, ...others.map(({vm}) => vm)].sort();
    const place = names.indexOf(self.vm);
    const next = new Set(
      Array.from(
        {length: Math.min(DIALLED, others.length)},
        (_, i) => names[(place + 1 + i) % names.length],
      ),
    );
    const dialled = others.filter(({vm}) => next.has(vm));
    this.ports.dial(new Set(dialled.map(({address}) => address)));
  }

  /** Counts the listed entries, and those with a link though the list lags. */
  private enrol(): void {
    const {self, clock} = this.context;
    const listed = this.listedEntries.map(({vm}) => vm);
    const all = new Set([self.vm, ...listed, ...this.peers.values()]);
    const place = [...all].sort().indexOf(self.vm);
    this.limits.setEntries(clock.now(), {count: all.size, index: place});
  }

  private tick(): void {
    const peers = [...this.peers.keys()];
    const drawn = this.context.chance.sample(peers, peers.length);
    this.send(this.limits.borrow(this.context.clock.now(), drawn));
  }

  private loan(from: Incarnation, message: LoanMessage): void {
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
