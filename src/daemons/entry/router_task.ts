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
  RouteResult,
} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {CallTask} from './call_task.js';

/** Number of recent decisions in `/status`. */
const MAX_DECISIONS = 200;

/** Routing decision for one attempt of a call, for logs and `/status`. */
export interface RouteDecision {
  readonly call: CallId;
  readonly service: ServiceName;
  /** The chosen upstream. */
  readonly upstream?: Incarnation;
  /** Why no upstream was chosen. */
  readonly refused?: string;
  /** Why the previous attempt failed, if this is a retry. */
  readonly retryOf?: ErrorName;
  /** Number of candidates; prompt blocks cached at the chosen upstream. */
  readonly considered?: number;
  readonly matched?: number;
  /** Last reported load of the chosen upstream, with the report's age. */
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

/** Tracks the members and their load, and chooses each call's upstream. */
export class RouterTask extends Task<Message> {
  private readonly members = new MemberTable();
  private readonly router: Router;
  private readonly calls = new Map<CallId, CallTask>();
  private readonly decisions: RouteDecision[] = [];

  /**
   * @param context - state shared by the daemon's tasks
   * @param dial - sets the link addresses to keep links to
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly dial: (addresses: ReadonlySet<string>) => void,
  ) {
    super(context.system, 'router', context.logger.withLabel('router'));
    const {availabilityZone} = context.self;
    this.router = new Router(availabilityZone, context.chance);
  }

  /** All known members. */
  allMembers(): readonly Member[] {
    return this.members.all();
  }

  /** The most recent decisions, oldest first, for `/status`. */
  recentDecisions(): readonly RouteDecision[] {
    return this.decisions;
  }

  protected receive(message: Message): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'listed':
        return this.onVmList(message.vms);
      case 'up':
        this.router.onReplicaUp(now, message.peer.incarnation);
        return this.members.onLinkUp(now, message.peer);
      case 'down':
        return this.onPeerDown(message.peer);
      case 'leaving':
        this.members.markLeaving(message.peer);
        return;
      case 'configured':
        return this.router.configure(bulkheadLimits(message.cfg));
      case 'load':
        return this.router.recordLoad(now, message.peer, message.load);
      case 'cache':
        return this.onCacheMessage(message.peer, message.message);
      case 'answered': {
        const {callId, peer, result} = message;
        return this.router.recordResult(now, callId, peer, result);
      }
      case 'choose':
        return this.choose(message.call, message.exclude, message.retryOf);
      case 'ended':
        this.calls.delete(message.call.request.callId);
        return this.router.endCall(now, message.call.request.callId);
    }
  }

  private onVmList(vms: readonly ListedVm[]): void {
    this.members.applyList(this.context.clock.now(), vms);
    const sidecars = sidecarsToDial(this.context.self, vms);
    this.dial(new Set(sidecars.map(({address}) => address)));
  }

  private onPeerDown(peer: Identity): void {
    this.members.onLinkDown(this.context.clock.now(), peer.incarnation);
  }

  private onCacheMessage(peer: Incarnation, message: CacheMessage): void {
    if (this.router.applyCacheEvents(peer, message)) return;
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
    const routeRequest = {call: request, replicas, exclude, retryOf};
    const route = this.router.choose(now, routeRequest);
    this.recordDecision(call, route, retryOf);
    if (!route.chosen) {
      const {reason, retryAfterMs} = route;
      call.post({type: 'none', reason, retryAfterMs});
      return;
    }
    this.calls.set(request.callId, call);
    call.post({type: 'chosen', upstream: route.upstream.incarnation});
  }

  private recordDecision(
    {request}: CallTask,
    route: RouteResult,
    retryOf: ErrorName | undefined,
  ): void {
    const {callId, service} = request;
    const retry = retryOf === undefined ? {} : {retryOf};
    const decision = {
      call: callId,
      service,
      ...retry,
      ...decisionDetails(route),
    };
    this.decisions.push(decision);
    if (this.decisions.length > MAX_DECISIONS) this.decisions.shift();
    if (route.chosen) this.logger.debug('call_routed', decision);
    else this.logger.info('call_not_routed', decision);
  }
}

function decisionDetails(route: RouteResult) {
  if (!route.chosen) return {refused: route.cause};
  const {incarnation, matched, load, loadAge} = route.upstream;
  const reported = load && {
    queued: load.queued,
    running: load.running,
    loadAge,
  };
  const {considered} = route;
  return {upstream: incarnation, considered, matched, ...reported};
}

function bulkheadLimits(cfg: Configuration): Map<ServiceName, BulkheadLimits> {
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
