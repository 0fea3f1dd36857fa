import type {Configuration} from '../../configuration/index.js';
import type {CallId, Incarnation, ServiceName} from '../../core/index.js';
import type {ErrorName} from '../../errors/index.js';
import {MemberTable, sidecarsToDial} from '../../membership/index.js';
import type {Identity, ListedVm, Member} from '../../membership/index.js';
import {Router} from '../../routing/index.js';
import type {
  AttemptResult,
  BulkheadLimits,
  CacheMessage,
  LoadReport,
  RouteVerdict,
} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {CallTask} from './call_task.js';

/** Decisions that `/status` shows. */
const SHOWN_DECISIONS = 200;

/** Why a call went where it went, or nowhere. */
export interface RouteDecision {
  readonly call: CallId;
  readonly service: ServiceName;
  /** Where it went. */
  readonly upstream?: Incarnation;
  /** Why it went nowhere. */
  readonly refused?: string;
  /** Why it is not the first attempt. */
  readonly retryOf?: ErrorName;
  /** Upstreams weighed, and blocks of the prompt cached at the chosen one. */
  readonly considered?: number;
  readonly matched?: number;
  /** Load of the chosen one, as known here. */
  readonly queued?: number;
  readonly running?: number;
  readonly loadAge?: number;
}

type Message =
  | {readonly type: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly type: 'up'; readonly peer: Identity}
  | {readonly type: 'down'; readonly peer: Identity}
  | {readonly type: 'leaving'; readonly peer: Incarnation}
  | {readonly type: 'configured'; readonly cfg: Configuration}
  | {
      readonly type: 'load';
      readonly peer: Incarnation;
      readonly load: LoadReport;
    }
  | {
      readonly type: 'cache';
      readonly peer: Incarnation;
      readonly message: CacheMessage;
    }
  | {
      readonly type: 'answered';
      readonly peer: Incarnation;
      readonly callId: CallId;
      readonly result: AttemptResult;
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
  private readonly router: Router;
  private readonly calls = new Map<CallId, CallTask>();
  private readonly decisions: RouteDecision[] = [];

  /**
   * @param context - what the daemon's tasks share
   * @param dial - told which link addresses should have a link
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly dial: (addresses: ReadonlySet<string>) => void,
  ) {
    super(context.system, 'router', context.logger.labelled('router'));
    const {availabilityZone} = context.self;
    this.router = new Router(availabilityZone, context.chance);
  }

  /** Everyone known, for `/status`. */
  status(): readonly Member[] {
    return this.members.all();
  }

  /** The latest decisions, for `/status`. */
  explain(): readonly RouteDecision[] {
    return this.decisions;
  }

  protected receive(message: Message): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'listed':
        return this.listed(message.vms);
      case 'up':
        this.router.came(now, message.peer.incarnation);
        return this.members.onLinkUp(now, message.peer);
      case 'down':
        return this.down(message.peer);
      case 'leaving':
        this.members.markLeaving(message.peer);
        return;
      case 'configured':
        return this.router.configure(bulkheadsOf(message.cfg));
      case 'load':
        return this.router.loaded(now, message.peer, message.load);
      case 'cache':
        return this.cached(message.peer, message.message);
      case 'answered': {
        const {callId, peer, result} = message;
        return this.router.answered(now, callId, peer, result);
      }
      case 'choose':
        return this.choose(message.call, message.exclude, message.retryOf);
      case 'ended':
        this.calls.delete(message.call.request.callId);
        return this.router.ended(now, message.call.request.callId);
    }
  }

  private listed(vms: readonly ListedVm[]): void {
    this.members.applyList(this.context.clock.now(), vms);
    const sidecars = sidecarsToDial(this.context.self, vms);
    this.dial(new Set(sidecars.map(({address}) => address)));
  }

  private down(peer: Identity): void {
    this.members.onLinkDown(this.context.clock.now(), peer.incarnation);
  }

  private cached(peer: Incarnation, message: CacheMessage): void {
    if (this.router.cached(peer, message)) return;
    this.context.metrics.droppedFrames.inc({reason: 'cache_event_gap'});
    this.logger.debug('cache_event_gap', {upstream: peer});
  }

  private choose(
    call: CallTask,
    exclude: readonly Incarnation[],
    retryOf: ErrorName | undefined,
  ): void {
    const {request} = call;
    const replicas = this.members.availableUpstreams(request.service);
    const now = this.context.clock.now();
    const wish = {call: request, replicas, exclude, retryOf};
    const route = this.router.choose(now, wish);
    this.record(call, route, retryOf);
    if (!route.chosen) {
      const {reason, retryAfterMs} = route;
      call.post({type: 'none', reason, retryAfterMs});
      return;
    }
    this.calls.set(request.callId, call);
    call.post({type: 'chosen', upstream: route.upstream.incarnation});
  }

  private record(
    {request}: CallTask,
    route: RouteVerdict,
    retryOf: ErrorName | undefined,
  ): void {
    const {callId, service} = request;
    const retry = retryOf === undefined ? {} : {retryOf};
    const decision = {call: callId, service, ...retry, ...detailOf(route)};
    this.decisions.push(decision);
    if (this.decisions.length > SHOWN_DECISIONS) this.decisions.shift();
    if (route.chosen) this.logger.debug('call_routed', decision);
    else this.logger.info('call_not_routed', decision);
  }
}

function detailOf(route: RouteVerdict) {
  if (!route.chosen) return {refused: route.why};
  const {incarnation, matched, load, loadAge} = route.upstream;
  const reported = load && {
    queued: load.queued,
    running: load.running,
    loadAge,
  };
  const {considered} = route;
  return {upstream: incarnation, considered, matched, ...reported};
}

function bulkheadsOf(cfg: Configuration): Map<ServiceName, BulkheadLimits> {
  const services = Object.entries(cfg.services);
  const limits = new Map(
    services.map(([name, {limits}]) => [
      name as ServiceName,
      {inFlight: limits.inFlight, shares: new Map<ServiceName, number>()},
    ]),
  );
  for (const [caller, {dependsOn}] of services) {
    for (const {service, share} of dependsOn) {
      limits.get(service)?.shares.set(caller as ServiceName, share);
    }
  }
  return limits;
}
