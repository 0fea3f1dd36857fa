import type {ServerResponse} from 'node:http';

import {OrganisationDirectory} from '../../admission/index.js';
import {vmOf} from '../../calls/index.js';
import type {
  AnswerMessage,
  CallRequest,
  Claim,
  ClaimResult,
} from '../../calls/index.js';
import {SECOND} from '../../core/index.js';
import type {CallId, Incarnation, Millis} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {LinkMessage} from '../../links/index.js';
import type {Identity} from '../../membership/index.js';
import {ClaimsTask} from '../shared/claims_task.js';
import type {AttemptResult} from '../../routing/index.js';
import {ConfigurationTask} from '../shared/configuration_task.js';
import type {DaemonContext} from '../shared/context.js';
import {configurationPorts, membersPorts} from '../shared/control_ports.js';
import {LinksTask} from '../shared/links_task.js';
import {MembersTask} from '../shared/members_task.js';
import {OperatorServer} from '../shared/operator_server.js';
import {startContext} from '../shared/start_context.js';
import type {DaemonParts} from '../shared/start_context.js';
import {VmListTask} from '../shared/vm_list_task.js';
import {CallTask} from './call_task.js';
import type {AnswerWriter} from './answer_writer.js';
import {HttpEdge} from './http_edge.js';
import {issueServiceKey} from './key_issuer.js';
import {LimitsTask} from './limits_task.js';
import {RouterTask} from './router_task.js';
import type {ConfigurationInForce, EntrySettings} from './types.js';

/** Time for sending callers the outcome of calls that a stop aborts. */
const SHUTDOWN_NOTICE_TIMEOUT: Millis = SECOND;
const FIRST_SERVER_ERROR = 500;

/** Maximum number of further sidecars dialled because a claim names them. */
const MAX_CLAIM_DIALS = 64;

/** Addresses of a running entry, each `host:port`. */
export interface EntryAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
}

/** The entry daemon: accepts requests and forwards them to upstreams. */
export class Entry {
  private inForce: ConfigurationInForce | undefined;
  private isAccepting = true;
  private readonly calls = new Map<CallId, CallTask>();
  /** Responses that are not closed yet. */
  private readonly openResponses = new Set<ServerResponse>();
  /** The process of each VM that most recently opened a calls link. */
  private readonly latestIncarnations = new Map<string, Incarnation>();
  /** Link address of each listed VM. */
  private listedAddresses: ReadonlyMap<string, string> = new Map();
  /** Addresses dialled because a claim names them, oldest first. */
  private readonly claimAddresses = new Set<string>();
  private stopping: Promise<void> | undefined;
  private readonly claims: ClaimsTask;
  private readonly links: LinksTask;
  private readonly router: RouterTask;
  private readonly members: MembersTask;
  private readonly limits: LimitsTask;
  private readonly edge: HttpEdge;
  private readonly operators: OperatorServer;
  private configuration: ConfigurationTask | undefined;
  private vmList: VmListTask | undefined;
  private readonly context: DaemonContext;
  private resolveIdle: (() => void) | undefined;

  /**
   * @param settings - settings of the daemon
   * @param parts - clock, random source, logger and metrics
   */
  constructor(
    private readonly settings: EntrySettings,
    parts: DaemonParts,
  ) {
    this.context = startContext('entry', settings, parts);
    const {context} = this;
    this.links = new LinksTask(context, settings.linkKey, {
      onPeerUp: peer => {
        this.members.post({type: 'up', peer});
        this.limits.post({type: 'up', peer});
      },
      onPeerDown: peer => {
        this.members.post({type: 'down', peer});
        this.limits.post({type: 'down', peer});
      },
      onCallsLinkUp: peer => this.onCallsLinkUp(peer),
      onCallsLinkDown: peer => this.onCallsLinkDown(peer),
      onMessage: (peer, message) => this.receive(peer, message),
    });
    this.claims = new ClaimsTask(context, settings.logUrl);
    this.router = new RouterTask(context, addresses =>
      this.links.post({type: 'want', purpose: 'calls', addresses}),
    );
    this.members = new MembersTask(
      context,
      membersPorts(this.links, () => this.configuration, {
        onDeparture: peer => this.router.post({type: 'leaving', peer}),
        leave: () => this.context.logger.info('listed_leaving'),
      }),
    );
    this.limits = new LimitsTask(context, {
      inForce: () => this.inForce,
      send: (to, message) => this.links.post({type: 'send', to, message}),
      dial: addresses =>
        this.links.post({type: 'want', purpose: 'limits', addresses}),
    });
    const throttled = context.metrics.counter(
      'baobabspan_callers_throttled_total',
      'Connections that are read in turns since their chunks are very small',
    );
    this.edge = new HttpEdge(context, this.limits, {
      countThrottled: () => throttled.inc(),
      inForce: () => this.inForce,
      isAccepting: () => this.isAccepting,
      issueKey: service =>
        issueServiceKey(context, this.router.allMembers(), service),
      startCall: (request, writer, res, onEnd) =>
        this.startCall(request, writer, res, onEnd),
    });
    this.operators = new OperatorServer({
      ...context,
      notReadyReason: () => this.notReadyReason(),
      status: () => this.status(),
    });
  }

  /** Number of calls that were accepted and have not ended. */
  get openCalls(): number {
    return this.calls.size;
  }

  /**
   * Starts the daemon.
   * @returns the addresses, once all listeners are open
   */
  async start(): Promise<EntryAddresses> {
    const {host, port, operatorPort, linkPort} = this.settings;
    const links = await this.links.listen(host, linkPort);
    this.context.self.address = links;
    const operators = await this.operators.listen(host, operatorPort);
    const callers = await this.edge.listen(host, port);
    this.context.self.operators = operators;
    this.configuration = new ConfigurationTask(
      this.context,
      this.settings.logUrl,
      configurationPorts(this.links, (version, cfg) => {
        const organisations = new OrganisationDirectory(cfg);
        this.inForce = {version, cfg, organisations};
        this.router.post({type: 'configured', cfg});
      }),
    );
    this.vmList = new VmListTask(this.context, this.settings.vmListUrl, vms => {
      this.listedAddresses = new Map(vms.map(({vm, address}) => [vm, address]));
      this.members.post({type: 'listed', vms});
      this.router.post({type: 'listed', vms});
      this.limits.post({type: 'listed', vms});
    });
    this.context.logger.info('ready', {callers, operators, links});
    return {callers, operators, links};
  }

  /** Rejects new requests, finishes the accepted ones, then stops. */
  async drain(): Promise<void> {
    this.isAccepting = false;
    this.links.post({type: 'broadcast', message: {type: 'leaving'}});
    this.context.logger.info('draining', {calls: this.calls.size});
    await this.waitUntilIdle(this.settings.drainTimeout);
    await this.stop();
  }

  /** Stops without draining; callers of aborted calls get the outcome. */
  stop(): Promise<void> {
    this.stopping ??= this.stopAll();
    return this.stopping;
  }

  private async stopAll(): Promise<void> {
    this.isAccepting = false;
    if (this.calls.size > 0) {
      this.context.logger.warn('cutting', {calls: this.calls.size});
      for (const call of this.calls.values()) call.post({type: 'shutdown'});
      await this.waitUntilIdle(SHUTDOWN_NOTICE_TIMEOUT);
    }
    this.claims.stop();
    this.configuration?.stop();
    this.vmList?.stop();
    await this.edge.close();
    await this.links.close();
    this.members.stop();
    this.router.stop();
    this.limits.stop();
    await this.operators.close();
    this.context.logger.info('stopped');
  }

  private async waitUntilIdle(timeout: Millis): Promise<void> {
    if (this.isIdle()) return;
    await new Promise<void>(resolve => {
      this.resolveIdle = resolve;
      setTimeout(resolve, timeout).unref();
    });
  }

  private isIdle(): boolean {
    return this.calls.size === 0 && this.openResponses.size === 0;
  }

  private onCallsLinkUp(peer: Identity): void {
    const {incarnation, vm} = peer;
    this.latestIncarnations.set(vm, incarnation);
    this.router.post({type: 'up', peer});
    for (const call of this.calls.values()) {
      call.post({type: 'link_up', upstream: incarnation});
    }
  }

  private onCallsLinkDown(peer: Identity): void {
    this.router.post({type: 'down', peer});
    for (const call of this.calls.values()) {
      call.post({type: 'link_lost', upstream: peer.incarnation});
    }
  }

  /** Whether a process was replaced or its VM is no longer listed. */
  private isGone(upstream: Incarnation): boolean {
    const vm = vmOf(upstream);
    const latest = this.latestIncarnations.get(vm);
    if (latest !== undefined && latest !== upstream) return true;
    return this.listedAddresses.size > 0 && !this.listedAddresses.has(vm);
  }

  /** Dials a sidecar that a claim names and this entry has no link to. */
  private dialClaimHolder(upstream: Incarnation): void {
    const address = this.listedAddresses.get(vmOf(upstream));
    if (address === undefined || this.claimAddresses.has(address)) return;
    this.claimAddresses.add(address);
    const [oldest] = this.claimAddresses;
    if (this.claimAddresses.size > MAX_CLAIM_DIALS && oldest !== undefined) {
      this.claimAddresses.delete(oldest);
    }
    const addresses = new Set(this.claimAddresses);
    this.links.post({type: 'want', purpose: 'claims', addresses});
  }

  private startCall(
    request: CallRequest,
    writer: AnswerWriter,
    res: ServerResponse,
    onEnd: () => void,
  ): void {
    if (this.stopping !== undefined) {
      onEnd();
      return writer.reject(new Fault('draining'));
    }
    const task = new CallTask(this.context, request, writer, {
      choose: (call, exclude, retryOf) =>
        this.router.post({type: 'choose', call, exclude, retryOf}),
      send: (call, to, message) => {
        const onSendFailed = () => {
          call.post({type: 'unsent', message});
          this.dialClaimHolder(to);
        };
        this.links.post({type: 'send', to, message, onSendFailed});
      },
      lookUpClaim: (call, scope) => {
        const onFound = (holder: Claim | undefined, coveredFrom: number) =>
          call.post({type: 'looked_up', holder, coveredFrom});
        this.claims.post({type: 'look_up', scope, onFound});
      },
      claim: (call, claim, releases) => {
        const onResult = (result: ClaimResult) =>
          call.post({type: 'claimed', result});
        this.claims.post({type: 'claim', claim, releases, onResult});
      },
      release: releases => this.claims.post({type: 'release', releases}),
      isGone: upstream => this.isGone(upstream),
      onEnd: call => {
        this.calls.delete(request.callId);
        this.router.post({type: 'ended', call});
        onEnd();
        if (this.isIdle()) this.resolveIdle?.();
      },
    });
    this.calls.set(request.callId, task);
    this.openResponses.add(res);
    res.on('close', () => {
      this.openResponses.delete(res);
      task.post({type: 'caller_gone'});
      if (this.isIdle()) this.resolveIdle?.();
    });
    res.on('drain', () => task.post({type: 'drained'}));
  }

  private receive(peer: Identity, message: LinkMessage): void {
    if ('load' in message) {
      const {load} = message;
      this.router.post({type: 'load', peer: peer.incarnation, load});
    }
    const result = attemptResult(message);
    if (result !== undefined && 'callId' in message) {
      const {callId} = message;
      const {incarnation} = peer;
      this.router.post({type: 'answered', peer: incarnation, callId, result});
    }
    switch (message.type) {
      case 'refused':
        this.recordDeparture(peer, message.reason);
        return this.deliverAnswer(message);
      case 'head':
      case 'data':
      case 'end':
      case 'failed':
      case 'pending':
        return this.deliverAnswer(message);
      case 'leaving':
        return this.recordDeparture(peer, 'draining');
      case 'departures':
        return this.members.post(message);
      case 'configuration_pull':
      case 'configuration_state': {
        const from = peer.incarnation;
        this.configuration?.post({type: 'message', from, message});
        return;
      }
      case 'borrow':
      case 'lend': {
        const from = peer.incarnation;
        return this.limits.post({type: 'loan', from, message});
      }
      case 'cache':
        return this.router.post({
          type: 'cache',
          peer: peer.incarnation,
          message,
        });
      default:
        return;
    }
  }

  private deliverAnswer(message: AnswerMessage): void {
    const task = this.calls.get(message.callId);
    if (task) task.post({type: 'answer', message});
    else this.context.metrics.droppedFrames.inc({reason: 'no_call'});
  }

  private recordDeparture(peer: Identity, reason: ErrorName): void {
    if (reason !== 'draining') return;
    const incarnations = [peer.incarnation];
    this.members.post({type: 'departures', incarnations});
  }

  private notReadyReason(): string | undefined {
    if (!this.isAccepting) return 'draining';
    return this.inForce === undefined ? 'no configuration' : undefined;
  }

  private status(): object {
    const {incarnation, availabilityZone, program} = this.context.self;
    return {
      role: 'entry',
      incarnation,
      availabilityZone,
      program,
      ready: this.notReadyReason() ?? true,
      configuration: this.configuration?.status(),
      calls: this.calls.size,
      claims: this.claims.status(),
      members: this.members.status(),
      decisions: this.router.recentDecisions(),
    };
  }
}

/** Returns the result that a message implies for its replica's health. */
function attemptResult(message: LinkMessage): AttemptResult | undefined {
  switch (message.type) {
    case 'head':
      return message.status < FIRST_SERVER_ERROR ? 'answered' : 'failed';
    case 'failed':
      return 'failed';
    case 'refused':
      return message.reason === 'engine_unreachable' ? 'failed' : 'refused';
    default:
      return undefined;
  }
}
