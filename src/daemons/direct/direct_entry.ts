import type {Clock, Millis, ServiceName} from '../../core/index.js';
import {SECOND, hostPort} from '../../core/index.js';
import {
  SharedRetryBudget,
  retryAfter,
  pickService,
} from '../../direct/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  RejectionCause,
  Route,
  Upstream,
} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {OperatorServer} from '../shared/operator_server.js';
import type {DirectContext, ExchangeEnd} from './context.js';
import {Dispatcher} from './dispatcher.js';
import type {DirectParts, DirectSettings} from './estate.js';
import {EstateView} from './estate_view.js';
import {Exchange} from './exchange.js';
import type {AdmittedRequest} from './admitted_request.js';
import {FrontServer} from './front_server.js';
import type {ReadRequest} from './front_server.js';
import {Reply} from './reply.js';
import {UpstreamConnections} from './upstream_connections.js';
import {pairs, splitAddress} from './attempt.js';

/** An entry that sends straight to the upstreams. */
export class DirectEntry implements DirectContext {
  readonly clock: Clock;
  readonly dialect;
  readonly dispatcher: Dispatcher;
  readonly retries: SharedRetryBudget;
  private readonly view: EstateView;
  private readonly front: FrontServer;
  private readonly kept: UpstreamConnections;
  private readonly single: UpstreamConnections;
  private readonly operators: OperatorServer;
  private readonly readiness: OperatorServer;
  private readonly logger: Logger;
  private readonly failures;
  /** When this process was told to end. */
  private drainingSince: Millis | undefined;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param settings - the settings of this process
   * @param parts - clock, chance, logs and the services around
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly parts: DirectParts,
  ) {
    const {clock, estate, logger, metrics} = parts;
    this.clock = clock;
    this.dialect = estate.dialect;
    this.logger = logger;
    this.failures = metrics.counter(
      'baobabspan_attempt_failures_total',
      'Attempts at an upstream without a whole good answer, by reason',
      ['reason', 'service'],
    );
    this.retries = new SharedRetryBudget(settings.retryBound, clock.now());
    this.kept = new UpstreamConnections(clock);
    this.single = new UpstreamConnections(clock, {keepAlive: false});
    this.dispatcher = new Dispatcher(
      {
        upstreamsOf: service => this.view.upstreams.forService(service),
        hasEngines: service => this.hasEngines(service),
        groupOf: upstream => this.view.groupOf(upstream),
        slowdownOf: upstream => this.view.paceOf(upstream),
        entries: () => this.view.entryCount,
      },
      settings.availabilityZone,
      parts.chance,
      logger,
    );
    this.front = new FrontServer(clock, this.dialect, logger, request =>
      this.serve(request),
    );
    const operatorView = {
      metrics,
      notReadyReason: () => this.notReady(),
      status: () => this.status(),
      readinessPath: estate.readinessPath,
    };
    this.operators = new OperatorServer(operatorView);
    this.readiness = new OperatorServer(operatorView);
    const {vm, availabilityZone, ip, internalPorts, newsBounds} = settings;
    const relay = hostPort(ip, internalPorts[0]);
    const place = {vm, availabilityZone, relay};
    this.view = new EstateView(place, newsBounds, estate, clock, logger, {
      configured: ({version, limits}) => {
        this.front.setLimits(limits);
        metrics.versionInForce.set(version);
      },
      upstreamLeft: () => {
        const {upstreams} = this.view;
        this.dispatcher.loads.prune(life => upstreams.has(life));
      },
      entriesCounted: count => this.retries.setEntryCount(count),
    });
  }

  /** Starts to listen and to learn. */
  async start(): Promise<void> {
    const {callers, readiness, ip, operatorPort} = this.settings;
    await this.view.start();
    if (readiness !== undefined) {
      const {host, port} = splitAddress(readiness);
      await this.readiness.listen(host, port);
    }
    await this.operators.listen(ip, operatorPort);
    if (callers !== undefined) await this.front.listen(callers);
    this.timer = setInterval(
      () => this.dispatcher.advance(this.clock.now()),
      ADVANCE_EVERY,
    );
  }

  /** Finishes what was accepted; ends before the grace is over. */
  async drain(): Promise<void> {
    this.drainingSince = this.clock.now();
    this.logger.info('draining', {open: this.front.openRequests});
    this.front.closeAfterAnswers();
    const startedAt = this.drainingSince;
    const end = startedAt + this.settings.grace - LAST_MOMENT;
    for (;;) {
      const now = this.clock.now();
      if (now - startedAt >= UNLISTED_WITHIN) this.front.closeIdle();
      const isQuiet =
        this.front.openRequests === 0 && now - startedAt >= QUIET_AFTER;
      if (isQuiet || now >= end) break;
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK));
    }
    await this.stop();
  }

  /**
   * Takes settings that have changed; addresses stay as they were.
   * @param settings - the settings
   */
  reload({retryBound}: DirectSettings): void {
    this.retries.setBound(retryBound);
    this.logger.info('reload', {...retryBound});
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    this.view.stop();
    clearInterval(this.timer);
    this.logger.info('stopped', {open: this.front.openRequests});
    await Promise.resolve();
  }

  isClosing(): boolean {
    return this.drainingSince !== undefined;
  }

  connectionsFor({repeat}: Route): UpstreamConnections {
    // A request that crosses the close of a kept connection is lost for good
    // where it must not be repeated.
    return repeat === 'at_most_once' ? this.single : this.kept;
  }

  upstreamSaid(
    upstream: Upstream,
    {isLeaving, backOff}: ResponseMetadata,
  ): void {
    if (isLeaving) this.upstreamLeaves(upstream);
    if (backOff !== undefined) this.upstreamBacksOff(upstream, backOff);
  }

  private upstreamLeaves(upstream: Upstream): void {
    if (!this.view.upstreams.markLeaving(this.clock.now(), upstream)) return;
    const {id, address} = upstream.registration;
    this.logger.info('upstream', {
      upstream: id,
      change: 'left',
      source: 'answer',
      address,
    });
  }

  private upstreamBacksOff(
    {registration: entry, incarnation}: Upstream,
    span: Millis,
  ): void {
    this.dispatcher.loads.recordBackoff(this.clock.now(), incarnation, span);
    this.logger.info('upstream_backs_off', {
      upstream: entry.id,
      ms: Math.round(span),
    });
  }

  upstreamGone(upstream: Upstream): void {
    this.view.upstreams.markGone(this.clock.now(), upstream);
    const {id, address} = upstream.registration;
    this.logger.info('upstream_replaced', {upstream: id, address});
  }

  attemptFailed(
    ask: AdmittedRequest,
    upstream: Upstream | undefined,
    failure: AttemptFailure,
    took: Millis,
  ): void {
    this.failures.inc({
      reason: failure.kind === 'not_run' ? failure.reason : failure.kind,
      service: ask.service,
    });
    const detail =
      failure.kind === 'failed_answer' ? failure.status : failure.reason;
    this.logger.info('attempt_failed', {
      id: ask.facts.id,
      upstream: upstream?.registration.id,
      kind: failure.kind,
      detail,
      ms: Math.round(took),
    });
  }

  retryAfter(
    cause: RejectionCause,
    timeLeft: Millis,
    earliest: Millis | undefined,
  ): Millis {
    return retryAfter(cause, timeLeft, this.parts.chance, earliest);
  }

  finished(ask: AdmittedRequest, end: ExchangeEnd): void {
    const now = this.clock.now();
    const {arrivedAt, service, route} = ask;
    const since = (at: Millis | undefined) =>
      at === undefined ? undefined : Math.round(at - arrivedAt);
    const {metrics} = this.parts;
    metrics.outcomes.inc({outcome: end.outcome, service});
    if (end.retryAfter !== undefined) {
      metrics.refusals.inc({reason: end.outcome, service});
    }
    const answeredAt = end.firstByteAt ?? now;
    if (end.outcome === 'answered') {
      metrics.firstByteSeconds.observe(
        {service},
        (answeredAt - arrivedAt) / SECOND,
      );
    }
    this.logger.info('request', {
      id: ask.facts.id,
      route: route.name,
      service,
      organisation: ask.organisation,
      version: ask.version,
      upstream: end.upstream,
      sends: end.sends,
      outcome: end.outcome,
      status: end.status,
      events: end.delivered,
      first_ms: since(end.firstByteAt),
      waited_ms: Math.round(end.waited),
      ms: since(now),
      retry_after_ms: end.retryAfter && Math.round(end.retryAfter),
    });
  }

  private serve({req, res, body, arrivedAt, ended}: ReadRequest): void {
    const reply = new Reply(res, this.dialect, () => this.isClosing());
    const headers = pairs(req.rawHeaders);
    const facts = this.dialect.readRequest(headers);
    const drainingFor = arrivedAt - (this.drainingSince ?? arrivedAt);
    if (drainingFor >= UNLISTED_WITHIN) {
      // The balancer sends here for want of others; another VM can finish it.
      reply.refuse(new Fault('draining'), COME_BACK_ELSEWHERE);
      this.refused(facts.id, 'draining', arrivedAt);
      return;
    }
    const table = this.view.holder.current;
    if (table === undefined) {
      reply.refuse(new Fault('no_configuration'), SECOND);
      this.refused(facts.id, 'no_configuration', arrivedAt);
      return;
    }
    const {host = ''} = req.headers;
    const decision = table.decide(host, req.url ?? '/', facts.key);
    if (decision.kind !== 'allowed') {
      const reason =
        decision.kind === 'unauthorized' ? 'unauthorized' : 'unknown_route';
      reply.refuse(new Fault(reason));
      this.refused(facts.id, reason, arrivedAt);
      return;
    }
    const {route, organisation, priority} = decision;
    const ask: AdmittedRequest = {
      facts,
      route,
      service: pickService(route, this.parts.chance),
      organisation,
      priority,
      headers,
      body,
      arrivedAt,
      version: table.configuration.version,
    };
    new Exchange(this, ask, req, res, ended);
  }

  private refused(
    id: string | undefined,
    reason: ErrorName,
    arrivedAt: Millis,
  ): void {
    this.parts.metrics.refusals.inc({reason, service: ''});
    const version = this.view.holder.current?.configuration.version;
    const ms = Math.round(this.clock.now() - arrivedAt);
    this.logger.info('refused', {id, reason, version, ms});
  }

  private hasEngines(service: ServiceName): boolean {
    const services = this.view.holder.current?.configuration.services ?? [];
    return services.some(
      ({name, hasEngines}) => hasEngines && name === service,
    );
  }

  private notReady(): string | undefined {
    return this.isClosing() ? 'draining' : this.view.lacking;
  }

  private status(): object {
    const now = this.clock.now();
    return {
      vm: this.settings.vm,
      notReady: this.notReady(),
      ...this.view.status(now),
      openRequests: this.front.openRequests,
      ...this.dispatcher.status,
      upstreams: this.view.upstreams
        .all()
        .map(({registration: entry, incarnation}) => ({
          id: entry.id,
          service: entry.service,
          address: entry.address,
          suspended: this.dispatcher.loads.isSuspended(now, incarnation),
          ...this.dispatcher.loads.loadOf(incarnation),
        })),
    };
  }
}

/** The process ends this long before it would be killed. */
const LAST_MOMENT: Millis = 300;
/**
 * By then the balancer sends no new connections here, and what comes all the
 * same would not be finished before the process is killed.
 */
const UNLISTED_WITHIN: Millis = 3 * SECOND;
/** Callers come back at once: another VM gets their next attempt. */
const COME_BACK_ELSEWHERE: Millis = 50;
/** A process without requests ends this long after it was told to. */
const QUIET_AFTER: Millis = 3.5 * SECOND;
const DRAIN_CHECK: Millis = 100;
/** Waiting requests are looked through this often, whatever happens. */
const ADVANCE_EVERY: Millis = 50;
