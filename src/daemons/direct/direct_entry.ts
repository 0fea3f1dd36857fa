import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Result} from 'neverthrow';

import type {Clock, Millis} from '../../core/index.js';
import {hostPort} from '../../core/index.js';
import {retryAfter, pickService} from '../../direct/index.js';
import type {
  ResponseMetadata,
  RejectionCause,
  RequestId,
  RequestMetadata,
  Route,
  Upstream,
} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import {Containment} from '../../observability/index.js';
import type {Fields, Logger, Metrics} from '../../observability/index.js';
import {HoldUpMonitor} from '../shared/hold_up_monitor.js';
import type {OperatorServer} from '../shared/operator_server.js';
import {BufferBudget} from './buffer_budget.js';
import {ColdStartKeeper} from './cold_start/index.js';
import type {DirectContext} from './context.js';
import {Dispatcher, priorityLookup, upstreamStatus} from './dispatch/index.js';
import type {DispatchState} from './dispatch/index.js';
import {EvacuationKeeper} from './evacuation/index.js';
import type {DirectParts, DirectSettings} from './estate.js';
import {bindEntryPorts, createOperatorServers} from './entry_ports.js';
import {EstateTracker} from './estate_tracker.js';
import type {EstateListener} from './estate_tracker.js';
import {Exchange} from './exchange.js';
import {admitRequest} from './admitted_request.js';
import type {AdmittedRequest} from './admitted_request.js';
import {FrontServer} from './front_server.js';
import type {BufferedRequest} from './front_server.js';
import {decideOnHead} from './head_decision.js';
import type {AllowedHead, HeadRejection} from './head_decision.js';
import {LIMITS_PATH, LimitKeeper} from './limit_keeper.js';
import {PacingDirectory} from './pacing/index.js';
import {PeerChannel} from './peer_channel.js';
import {QuarantineKeeper, ageOf} from './quarantine_keeper.js';
import {RequestLog} from './request_log.js';
import {ResponseWriter} from './response_writer.js';
import {RetryAccounting} from './retry_accounting.js';
import {Shutdown} from './shutdown.js';
import {ConnectionPools} from './upstream_connections.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** Entry that sends requests directly to the upstreams. */
export class DirectEntry implements DirectContext {
  readonly clock: Clock;
  readonly dialect;
  readonly evacuation: EvacuationKeeper;
  readonly dispatcher: Dispatcher;
  readonly retries: RetryAccounting;
  readonly quarantine: QuarantineKeeper;
  readonly log: RequestLog;
  readonly containment: Containment;
  readonly buffers = new BufferBudget();
  private readonly peers: PeerChannel;
  private readonly limits: LimitKeeper;
  readonly coldStart: ColdStartKeeper;
  private readonly pacing: PacingDirectory;
  private readonly estate: EstateTracker;
  readonly front: FrontServer;
  private readonly shutdown: Shutdown;
  private readonly connections: ConnectionPools;
  private readonly holdUps: HoldUpMonitor;
  readonly operators: OperatorServer;
  readonly readiness: OperatorServer;
  private readonly logger: Logger;
  private readonly openExchanges = new Set<Exchange>();
  /** Set once the start has ended, so that the balancer may route here. */
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param settings - the settings of this process
   * @param parts - clock, random source, logger and platform services
   */
  constructor(
    private settings: DirectSettings,
    private readonly parts: DirectParts,
  ) {
    const {clock, estate, logger, metrics} = parts;
    this.clock = clock;
    this.dialect = estate.dialect;
    this.logger = logger;
    this.containment = new Containment(logger, metrics);
    this.log = new RequestLog(clock, logger, metrics);
    this.peers = new PeerChannel(clock, logger);
    this.quarantine = new QuarantineKeeper(
      {
        store: estate.store,
        channel: this.peers,
        topic: estate.topics.quarantines,
        onAdded: () => this.openExchanges.forEach(one => one.applyQuarantine()),
      },
      parts,
    );
    this.retries = new RetryAccounting(
      settings.retryBound,
      () => this.estate.knownEntries,
      logger,
      metrics,
    );
    this.connections = new ConnectionPools(clock);
    this.holdUps = new HoldUpMonitor(clock, logger);
    this.evacuation = this.createEvacuationKeeper();
    this.pacing = new PacingDirectory(logger);
    this.dispatcher = this.createDispatcher();
    this.limits = new LimitKeeper(
      this.dispatcher.limits,
      this.peers,
      clock,
      logger,
      metrics,
    );
    this.coldStart = new ColdStartKeeper(
      () => ({settings: this.settings, estate: this.estate}),
      this.dispatcher,
      parts,
    );
    this.front = new FrontServer(
      clock,
      this.dialect,
      logger,
      this.log,
      this.containment,
      {
        decideOnHead: (req, metadata) => this.decideOnHead(req, metadata),
        earliestArrival: now => this.holdUps.earliestArrival(now),
        serve: request => this.serve(request),
      },
    );
    this.shutdown = new Shutdown(this.front, clock, logger, this.containment);
    [this.operators, this.readiness] = createOperatorServers(
      parts,
      {notReadyReason: () => this.notReady(), status: () => this.status()},
      {'/quarantine/lift': query => this.quarantine.lift(query)},
    );
    const {vm, availabilityZone, ip, internalPorts, stalenessBounds} = settings;
    const relay = hostPort(ip, internalPorts[0]);
    const location = {vm, availabilityZone, relay};
    this.estate = new EstateTracker(
      location,
      stalenessBounds,
      estate,
      clock,
      logger,
      metrics,
      this.estateListener(metrics),
    );
  }

  /** Starts listening and following the store. */
  async start(): Promise<void> {
    this.estate.start();
    this.holdUps.start();
    await bindEntryPorts(this.settings, this, this.containment, this.logger);
    this.retries.startServing(this.clock.now());
    this.timer = setInterval(
      () =>
        this.containment.run('timer', {}, () => {
          this.evacuation.tick(this.clock.now());
          this.coldStart.tick();
          this.dispatcher.dispatchQueued(this.clock.now());
        }),
      QUEUE_CHECK_INTERVAL,
    );
  }

  /** Finishes accepted requests, then stops; ends within the grace period. */
  async drain(): Promise<void> {
    if (this.timer !== undefined || this.front.openRequests > 0) {
      await this.shutdown.drain(this.settings.grace, this.openExchanges);
    }
    await this.stop();
  }

  /**
   * Applies changed settings, except for addresses.
   * @param settings - the settings
   */
  reload({retryBound, grace, coldRateBound}: DirectSettings): void {
    this.retries.setBound(retryBound);
    this.settings = {...this.settings, retryBound, grace, coldRateBound};
    this.logger.info('reload', {...retryBound, grace_ms: grace});
  }

  /** Stops immediately. */
  async stop(): Promise<void> {
    this.estate.stop();
    this.quarantine.stop();
    void this.peers.close();
    clearInterval(this.timer);
    this.holdUps.stop();
    this.logger.info('stopped', {open: this.front.openRequests});
    await Promise.resolve();
  }

  closesAfter(res: ServerResponse): boolean {
    return this.front.closesAfter(res);
  }

  connectionsFor(route: Route): UpstreamConnections {
    return this.connections.for(route);
  }

  applyResponseMetadata(
    upstream: Upstream,
    sentAt: Millis,
    metadata: ResponseMetadata,
  ): void {
    const {isLeaving, backOff, limit} = metadata;
    this.retries.recordResponse(this.clock.now(), upstream, sentAt);
    if (limit !== undefined || metadata.isSealed || metadata.isNotRun) {
      this.limits.applyResponse(upstream.incarnation, sentAt, limit);
    }
    if (isLeaving) this.markLeaving(upstream);
    if (backOff === undefined) return;
    this.dispatcher.recordBackoff(this.clock.now(), upstream, backOff);
  }

  private createDispatcher(): Dispatcher {
    const {chance, logger, metrics} = this.parts;
    return new Dispatcher(
      {
        upstreamsOf: service => this.estate.upstreams.forService(service),
        hasEngines: service => this.estate.holder.hasEngines(service),
        isByPriority: priorityLookup(() => this.estate.holder.current),
        pacingOf: service => this.pacing.of(service),
        groupOf: upstream => this.estate.groupOf(upstream),
        slowdownOf: upstream => this.estate.slowdownOf(upstream),
        entryCount: () => this.estate.entryCount,
      },
      this.settings.availabilityZone,
      chance,
      logger,
      this.containment,
      metrics,
      this.evacuation,
    );
  }

  private createEvacuationKeeper(): EvacuationKeeper {
    const view = {
      contactAt: () => this.estate.operatorContact,
      upstreams: () =>
        this.estate.notReadyReason ? undefined : this.estate.upstreams,
    };
    return new EvacuationKeeper(this.parts, view, {
      onChanged: now => this.dispatcher.reexamineQueue(now),
      onZoneReturned: (now, zone) => this.coldStart.onZoneReturned(now, zone),
    });
  }

  private estateListener(metrics: Metrics): EstateListener {
    return {
      onConfiguration: configuration => {
        this.front.setLimits(configuration.limits);
        if (this.settings.pacesStreams) this.pacing.apply(configuration);
        this.coldStart.tick();
        metrics.versionInForce.set(configuration.version);
      },
      onOperatorRecord: (...args) => this.evacuation.apply(...args),
      onUpstreamRemoved: () => {
        const {upstreams} = this.estate;
        const {loads, limits} = this.dispatcher;
        loads.prune(incarnation => upstreams.has(incarnation));
        limits.prune(incarnation => upstreams.has(incarnation));
      },
      onJoined: history => this.retries.join(this.clock.now(), history),
      onShare: share => this.dispatcher.setShare(share),
      onPeers: peers => this.peers.setPeers(peers),
      onPeerMessage: (req, res) =>
        this.containment.run(
          'peer_message',
          {url: req.url},
          () => this.handlePeerMessage(req, res),
          () => res.destroy(),
        ),
      onQuarantines: changes => this.quarantine.applyStored(changes),
      onQuarantinesLost: () => this.quarantine.recordStoreLoss(),
    };
  }

  private handlePeerMessage(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === LIMITS_PATH) void this.limits.handleMessage(req, res);
    else this.quarantine.handleMessage(req, res);
  }

  private markLeaving(upstream: Upstream): void {
    if (!this.estate.upstreams.markLeaving(this.clock.now(), upstream)) return;
    const {id, address} = upstream.registration;
    const fields = {upstream: id, change: 'left', source: 'answer', address};
    this.logger.info('upstream', fields);
  }

  markReplaced(upstream: Upstream): void {
    this.estate.upstreams.markGone(this.clock.now(), upstream);
    const {id, address} = upstream.registration;
    this.logger.info('upstream_replaced', {upstream: id, address});
  }

  retryAfter(
    now: Millis,
    {metadata, route, arrivedAt}: AdmittedRequest,
    cause: RejectionCause,
    rejectedIn: DispatchState | undefined,
  ): Millis {
    if (rejectedIn?.retryIn !== undefined) return rejectedIn.retryIn;
    const timeLeft =
      arrivedAt + (metadata.callerTimeout ?? route.timeout) - now;
    const earliest = (rejectedIn?.notBefore ?? now) - now;
    return retryAfter(cause, timeLeft, this.parts.chance, earliest);
  }

  private decideOnHead(
    {headers: {host = ''}, url: path = '/'}: IncomingMessage,
    {key}: RequestMetadata,
  ): Result<AllowedHead, HeadRejection> {
    const isAccepting = this.shutdown.isAccepting(this.clock.now());
    const table = this.estate.holder.current;
    return decideOnHead({isAccepting, table, host, path, key});
  }

  private serve(received: BufferedRequest): void {
    const {req, res, headers, arrivedAt} = received;
    const reply = new ResponseWriter(res, this.dialect, () =>
      this.closesAfter(res),
    );
    const metadata = this.dialect.readRequest(headers);
    const admitted = this.decideOnHead(req, metadata);
    if (admitted.isErr()) {
      const {fault, retryAfter} = admitted.error;
      reply.sendError(fault, retryAfter);
      this.recordRejected(metadata.id, fault.reason, arrivedAt);
      return;
    }
    const {route} = admitted.value.decision;
    const service = pickService(route, this.parts.chance);
    const request = admitRequest(received, metadata, admitted.value, service);
    const quarantine = this.quarantine.match(request);
    if (quarantine !== undefined) {
      const parts = quarantine.parts.join(',');
      const detail = request.fingerprint ? parts : `prompt part ${parts}`;
      reply.sendError(new Fault('prompt_quarantined', detail));
      this.recordRejected(metadata.id, 'prompt_quarantined', arrivedAt, {
        parts,
        age_ms: ageOf(quarantine, this.clock.wall()),
      });
      return;
    }
    const exchange = new Exchange(this, request, req, res, () =>
      this.openExchanges.delete(exchange),
    );
    this.openExchanges.add(exchange);
    exchange.start();
  }

  private recordRejected(
    id: RequestId | undefined,
    reason: ErrorName,
    arrivedAt: Millis,
    fields: Fields = {},
  ): void {
    const version = this.estate.holder.current?.configuration.version;
    this.log.recordRejected(id, reason, arrivedAt, {version, ...fields});
  }

  private notReady(): string | undefined {
    if (this.shutdown.isDraining) return 'draining';
    const isBound = this.timer !== undefined;
    return isBound ? this.estate.notReadyReason : 'ports_not_bound';
  }

  private status(): object {
    const now = this.clock.now();
    return {
      vm: this.settings.vm,
      notReady: this.notReady(),
      ...this.estate.status(now),
      ...this.evacuation.status(now),
      openRequests: this.front.openRequests,
      ...this.front.bodyStatus,
      ...this.dispatcher.statusAt(now),
      ...this.coldStart.status(now),
      promptQuarantine: this.quarantine.status,
      upstreams: this.estate.upstreams
        .all()
        .map(upstream => upstreamStatus(now, this.dispatcher, upstream)),
    };
  }
}

/** Interval at which the queue is processed even without other events. */
const QUEUE_CHECK_INTERVAL: Millis = 50;
