import type {ServerResponse} from 'node:http';

import {OrganisationDirectory} from '../../admission/index.js';
import type {CallRequest} from '../../calls/index.js';
import type {CallId} from '../../core/index.js';
import type {LinkMessage} from '../../links/index.js';
import type {Identity} from '../../membership/index.js';
import type {AttemptResult} from '../../routing/index.js';
import {ConfigurationTask} from '../shared/configuration_task.js';
import type {DaemonContext} from '../shared/context.js';
import {LinksTask} from '../shared/links_task.js';
import {OperatorServer} from '../shared/operator_server.js';
import {startContext} from '../shared/start_context.js';
import type {DaemonParts} from '../shared/start_context.js';
import {VmListTask} from '../shared/vm_list_task.js';
import {CallTask} from './call_task.js';
import type {Caller} from './caller.js';
import {HttpEdge} from './http_edge.js';
import {RouterTask} from './router_task.js';
import type {EntrySettings, InForce} from './types.js';

const FIRST_SERVER_ERROR = 500;

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
  private readonly links: LinksTask;
  private readonly router: RouterTask;
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
      up: peer => this.router.post({type: 'up', peer}),
      down: peer => this.router.post({type: 'down', peer}),
      message: (peer, message) => this.receive(peer, message),
    });
    this.router = new RouterTask(context, addresses =>
      this.links.post({type: 'want', addresses}),
    );
    this.edge = new HttpEdge(context, {
      inForce: () => this.inForce,
      accepting: () => this.accepting,
      carry: (request, caller, res, ended) =>
        this.carry(request, caller, res, ended),
    });
    this.operators = new OperatorServer({
      metrics: context.metrics,
      notReady: () => this.notReady(),
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
    this.configuration = new ConfigurationTask(
      this.context,
      this.settings.logUrl,
      (version, cfg) => {
        const organisations = new OrganisationDirectory(cfg);
        this.inForce = {version, cfg, organisations};
        this.router.post({type: 'configured', cfg});
      },
    );
    this.vmList = new VmListTask(this.context, this.settings.vmListUrl, vms =>
      this.router.post({type: 'listed', vms}),
    );
    this.context.logger.info('ready', {callers, operators, links});
    return {callers, operators, links};
  }

  /** Takes no new request, finishes all that were accepted, then stops. */
  async drain(): Promise<void> {
    this.accepting = false;
    this.context.logger.info('draining', {calls: this.calls.size});
    await this.untilIdle();
    await this.stop();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    this.accepting = false;
    this.configuration?.stop();
    this.vmList?.stop();
    await this.edge.close();
    await this.links.close();
    this.router.stop();
    await this.operators.close();
    this.context.logger.info('stopped');
  }

  private async untilIdle(): Promise<void> {
    if (this.calls.size === 0) return;
    await new Promise<void>(resolve => {
      this.idle = resolve;
      setTimeout(resolve, this.settings.drainTimeout).unref();
    });
  }

  private carry(
    request: CallRequest,
    caller: Caller,
    res: ServerResponse,
    ended: () => void,
  ): void {
    const task = new CallTask(this.context, request, caller, {
      choose: (call, exclude, retryOf) =>
        this.router.post({type: 'choose', call, exclude, retryOf}),
      send: (call, to, message) => {
        const unsent = () => call.post({type: 'unsent'});
        this.links.post({type: 'send', to, message, unsent});
      },
      ended: call => {
        this.calls.delete(request.callId);
        this.router.post({type: 'ended', call});
        ended();
        if (this.calls.size === 0) this.idle?.();
      },
    });
    this.calls.set(request.callId, task);
    res.on('close', () => task.post({type: 'caller_gone'}));
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
      case 'head':
      case 'data':
      case 'end':
      case 'failed': {
        const task = this.calls.get(message.callId);
        if (task) task.post({type: 'answer', message});
        else this.context.metrics.droppedFrames.inc({reason: 'no_call'});
        return;
      }
      case 'leaving':
        return this.router.post({type: 'leaving', peer});
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
      members: this.router.status(),
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
