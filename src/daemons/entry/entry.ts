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
import type {Caller} from './caller.js';
import {HttpEdge} from './http_edge.js';
import {issueFor} from './key_issuer.js';
import {LimitsTask} from './limits_task.js';
import {RouterTask} from './router_task.js';
import type {EntrySettings, InForce} from './types.js';

/** Time that callers have to hear what a stop cuts. */
const CUT_WITHIN: Millis = SECOND;
const FIRST_SERVER_ERROR = 500;

/** Sidecars that an entry dials beyond its own for calls with a claim. */
const MAX_CLAIMED = 64;

/** Addresses of a running entry, each `host:port`. */
export interface EntryAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
}

/** The daemon in front of callers. */
export class Entry {
  private inForce: InForce | undefined;
  private accepting = true;
  private readonly calls = new Map<CallId, CallTask>();
  /** Responses whose last byte has not left yet. */
  private readonly unfinished = new Set<ServerResponse>();
  /** The process that last opened a link from each VM. */
  private readonly latest = new Map<string, Incarnation>();
  /** Link addresses of the listed VMs. */
  private listed: ReadonlyMap<string, string> = new Map();
  /** Addresses dialled for calls that follow a claim, the latest last. */
  private readonly claimed = new Set<string>();
  private stopped: Promise<void> | undefined;
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
  private idle: (() => void) | undefined;

  /**
   * @param settings - the daemon's settings
   * @param parts - clock, chance, logger and metrics
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
      onCallsLinkUp: peer => this.callsUp(peer),
      onCallsLinkDown: peer => this.callsDown(peer),
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
    this.edge = new HttpEdge(context, this.limits, {
      inForce: () => this.inForce,
      accepting: () => this.accepting,
      issueKey: service => issueFor(context, this.router.status(), service),
      carry: (request, caller, res, ended) =>
        this.carry(request, caller, res, ended),
    });
    this.operators = new OperatorServer({
      metrics: context.metrics,
      notReadyReason: () => this.notReady(),
      status: () => this.status(),
    });
  }

  /**
   * Starts the daemon.
   * @returns its addresses once all listeners are open
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
      this.listed = new Map(vms.map(({vm, address}) => [vm, address]));
      this.members.post({type: 'listed', vms});
      this.router.post({type: 'listed', vms});
      this.limits.post({type: 'listed', vms});
    });
    this.context.logger.info('ready', {callers, operators, links});
    return {callers, operators, links};
  }

  /** Takes no new request, finishes all that were accepted, then stops. */
  async drain(): Promise<void> {
    this.accepting = false;
    this.links.post({type: 'broadcast', message: {type: 'leaving'}});
    this.context.logger.info('draining', {calls: this.calls.size});
    await this.untilIdle(this.settings.drainTimeout);
    await this.stop();
  }

  /** Stops at once, and tells the callers what it cuts. */
  stop(): Promise<void> {
    this.stopped ??= this.stopAll();
    return this.stopped;
  }

  private async stopAll(): Promise<void> {
    this.accepting = false;
    if (this.calls.size > 0) {
      this.context.logger.warn('cutting', {calls: this.calls.size});
      for (const call of this.calls.values()) call.post({type: 'cut'});
      await this.untilIdle(CUT_WITHIN);
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

  private async untilIdle(limit: Millis): Promise<void> {
    if (this.isIdle()) return;
    await new Promise<void>(resolve => {
      this.idle = resolve;
      setTimeout(resolve, limit).unref();
    });
  }

  private isIdle(): boolean {
    return this.calls.size === 0 && this.unfinished.size === 0;
  }

  private callsUp(peer: Identity): void {
    const {incarnation, vm} = peer;
    this.latest.set(vm, incarnation);
    this.router.post({type: 'up', peer});
    for (const call of this.calls.values()) {
      call.post({type: 'link_up', upstream: incarnation});
    }
  }

  private callsDown(peer: Identity): void {
    this.router.post({type: 'down', peer});
    for (const call of this.calls.values()) {
      call.post({type: 'link_lost', upstream: peer.incarnation});
    }
  }

  /** Whether another process has taken a process's place, or nobody has. */
  private isGone(upstream: Incarnation): boolean {
    const vm = vmOf(upstream);
    const latest = this.latest.get(vm);
    if (latest !== undefined && latest !== upstream) return true;
    return this.listed.size > 0 && !this.listed.has(vm);
  }

  /** Dials a sidecar that this entry has no link to but a claim names. */
  private reach(upstream: Incarnation): void {
    const address = this.listed.get(vmOf(upstream));
    if (address === undefined || this.claimed.has(address)) return;
    this.claimed.add(address);
    const [oldest] = this.claimed;
    if (this.claimed.size > MAX_CLAIMED && oldest !== undefined) {
      this.claimed.delete(oldest);
    }
    const addresses = new Set(this.claimed);
    this.links.post({type: 'want', purpose: 'claims', addresses});
  }

  private carry(
    request: CallRequest,
    caller: Caller,
    res: ServerResponse,
    ended: () => void,
  ): void {
    if (this.stopped !== undefined) {
      ended();
      return caller.refuse(new Fault('draining'));
    }
    const task = new CallTask(this.context, request, caller, {
      choose: (call, exclude, retryOf) =>
        this.router.post({type: 'choose', call, exclude, retryOf}),
      send: (call, to, message) => {
        const onSendFailed = () => {
          call.post({type: 'unsent', message});
          this.reach(to);
        };
        this.links.post({type: 'send', to, message, onSendFailed});
      },
      lookUp: (call, scope) => {
        const onFound = (standing: Claim | undefined, coveredFrom: number) =>
          call.post({type: 'looked_up', standing, coveredFrom});
        this.claims.post({type: 'look_up', scope, onFound});
      },
      claim: (call, claim, releases) => {
        const onResult = (result: ClaimResult) =>
          call.post({type: 'claimed', result});
        this.claims.post({type: 'claim', claim, releases, onResult});
      },
      release: releases => this.claims.post({type: 'release', releases}),
      isGone: upstream => this.isGone(upstream),
      ended: call => {
        this.calls.delete(request.callId);
        this.router.post({type: 'ended', call});
        ended();
        if (this.isIdle()) this.idle?.();
      },
    });
    this.calls.set(request.callId, task);
    this.unfinished.add(res);
    res.on('close', () => {
      this.unfinished.delete(res);
      task.post({type: 'caller_gone'});
      if (this.isIdle()) this.idle?.();
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
        this.noteRefusal(peer, message.reason);
        return this.answer(message);
      case 'head':
      case 'data':
      case 'end':
      case 'failed':
      case 'pending':
        return this.answer(message);
      case 'leaving':
        return this.noteRefusal(peer, 'draining');
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

  private answer(message: AnswerMessage): void {
    const task = this.calls.get(message.callId);
    if (task) task.post({type: 'answer', message});
    else this.context.metrics.droppedFrames.inc({reason: 'no_call'});
  }

  private noteRefusal(peer: Identity, reason: ErrorName): void {
    if (reason !== 'draining') return;
    const incarnations = [peer.incarnation];
    this.members.post({type: 'departures', incarnations});
  }

  private notReady(): string | undefined {
    if (!this.accepting) return 'draining';
    return this.inForce === undefined ? 'no configuration' : undefined;
  }

  private status(): object {
    const {incarnation, availabilityZone, program} = this.context.self;
    return {
      role: 'entry',
      incarnation,
      availabilityZone,
      program,
      ready: this.notReady() ?? true,
      configuration: this.configuration?.status(),
      calls: this.calls.size,
      claims: this.claims.status(),
      members: this.members.status(),
      decisions: this.router.explain(),
    };
  }
}

/** What a message tells of the health of the replica that sent it. */
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
