import type {
  Chance,
  Incarnation,
  Millis,
  ServiceName,
} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ErrorName} from '../../errors/index.js';
import {MemberTable} from '../../membership/index.js';
import type {Identity, ListedVm, Member} from '../../membership/index.js';
import {PowerOfTwoPolicy} from '../../routing/index.js';
import type {
  Candidate,
  LoadReport,
  ReplicaPolicy,
} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {CallTask} from './call_task.js';

const RETRY_WITHOUT_UPSTREAM: Millis = SECOND;

interface UpstreamState {
  inFlight: number;
  load: LoadReport | undefined;
  loadAt: Millis;
}

type Message =
  | {readonly type: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly type: 'up'; readonly peer: Identity}
  | {readonly type: 'down'; readonly peer: Identity}
  | {readonly type: 'leaving'; readonly peer: Incarnation}
  | {
      readonly type: 'load';
      readonly peer: Incarnation;
      readonly load: LoadReport;
    }
  | {
      readonly type: 'choose';
      readonly call: CallTask;
      readonly exclude: readonly Incarnation[];
      readonly retryOf: ErrorName | undefined;
    }
  | {readonly type: 'ended'; readonly call: CallTask};

/** Knows who is there and how busy, and chooses the upstream of each call. */
export class RouterTask extends Task<Message> {
  private readonly members = new MemberTable();
  private readonly policy: ReplicaPolicy = new PowerOfTwoPolicy();
  private readonly states = new Map<Incarnation, UpstreamState>();
  private readonly assigned = new Map<CallTask, Incarnation>();
  private readonly chance: Chance;

  /**
   * @param context - what the daemon's tasks share
   * @param dial - told which link addresses should have a link
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly dial: (addresses: ReadonlySet<string>) => void,
  ) {
    super(context.system, 'router', context.logger.labelled('router'));
    this.chance = context.chance;
  }

  /** Everyone known, for `/status`. */
  status(): readonly Member[] {
    return this.members.all();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'listed':
        return this.listed(message.vms);
      case 'up':
        return this.members.linkUp(this.context.clock.now(), message.peer);
      case 'down':
        return this.down(message.peer);
      case 'leaving':
        this.members.leave(message.peer);
        return;
      case 'load':
        return this.loaded(message.peer, message.load);
      case 'choose':
        return this.choose(message.call, message.exclude);
      case 'ended':
        return this.release(message.call);
    }
  }

  private listed(vms: readonly ListedVm[]): void {
    this.members.list(this.context.clock.now(), vms);
    const sidecars = vms.filter(({role}) => role === 'sidecar');
    this.dial(new Set(sidecars.map(({address}) => address)));
  }

  private down(peer: Identity): void {
    this.members.linkDown(this.context.clock.now(), peer.incarnation);
    for (const [call, upstream] of this.assigned) {
      if (upstream === peer.incarnation)
        call.post({type: 'link_lost', upstream: peer.incarnation});
    }
  }

  private loaded(peer: Incarnation, load: LoadReport): void {
    const state = this.stateOf(peer);
    state.load = load;
    state.loadAt = this.context.clock.now();
  }

  private choose(call: CallTask, exclude: readonly Incarnation[]): void {
    this.release(call);
    const candidates = this.candidates(call.request.service, exclude);
    if (candidates.length === 0) {
      call.post({
        type: 'none',
        reason: exclude.length === 0 ? 'no_upstream' : 'overloaded',
        retryAfterMs: RETRY_WITHOUT_UPSTREAM,
      });
      return;
    }
    const {incarnation} = this.policy.choose(candidates, {
      now: this.context.clock.now(),
      chance: this.chance,
      ownZone: this.context.self.availabilityZone,
    });
    this.stateOf(incarnation).inFlight += 1;
    this.assigned.set(call, incarnation);
    call.post({type: 'chosen', upstream: incarnation});
  }

  private candidates(
    service: ServiceName,
    exclude: readonly Incarnation[],
  ): Candidate[] {
    const now = this.context.clock.now();
    return this.members
      .upstreams(service)
      .filter(({incarnation}) => !exclude.includes(incarnation))
      .map(({incarnation, availabilityZone}) => {
        const {inFlight, load, loadAt} = this.stateOf(incarnation);
        const loadAge = now - loadAt;
        return {incarnation, availabilityZone, inFlight, load, loadAge};
      });
  }

  private release(call: CallTask): void {
    const upstream = this.assigned.get(call);
    if (upstream === undefined) return;
    this.assigned.delete(call);
    this.stateOf(upstream).inFlight -= 1;
  }

  private stateOf(upstream: Incarnation): UpstreamState {
    const known = this.states.get(upstream);
    if (known !== undefined) return known;
    const state = {inFlight: 0, load: undefined, loadAt: 0};
    this.states.set(upstream, state);
    return state;
  }
}
