import type {Clock, Millis} from '../../core/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  AttemptProgress,
  HeaderDialect,
  RejectionCause,
  SharedRetryBudget,
  Route,
  Upstream,
} from '../../direct/index.js';
import type {Containment} from '../../observability/index.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {DispatchState} from './dispatch_request.js';
import type {BufferBudget} from './buffer_budget.js';
import type {Dispatcher} from './dispatcher.js';
import type {QuarantineKeeper} from './quarantine_keeper.js';
import type {RequestLog} from './request_log.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** Result of a request. */
export interface ExchangeResult {
  readonly outcome: string;
  /** HTTP status; 0 if the caller disconnected. */
  readonly status: number;
  readonly retryAfter: Millis | undefined;
  /** State of the dispatcher if it rejected the request. */
  readonly rejectedIn: DispatchState | undefined;
  readonly upstream: string | undefined;
  /** Number of upstreams that the request was sent to. */
  readonly sends: number;
  readonly firstByteAt: Millis | undefined;
  /** Time that it spent in the queue. */
  readonly queueTime: Millis;
  /** Number of stream events delivered to the caller. */
  readonly deliveredEvents: number;
}

/** An attempt that has failed. */
export interface FailedAttempt {
  readonly upstream: Upstream;
  readonly progress: AttemptProgress;
  readonly failure: AttemptFailure;
}

/** State and services that the requests of an entry share. */
export interface DirectContext {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly dispatcher: Dispatcher;
  readonly retries: SharedRetryBudget;
  readonly quarantine: QuarantineKeeper;
  readonly log: RequestLog;
  readonly containment: Containment;
  /** Bytes that the buffered responses may hold together. */
  readonly buffers: BufferBudget;

  /** Returns whether callers' connections close after their response. */
  isDraining(): boolean;

  /** Returns the connection pool for requests of a route. */
  connectionsFor(route: Route): UpstreamConnections;

  /**
   * Applies the departure, backoff or limit that a response head announces.
   * @param upstream - the upstream
   * @param sentAt - time at which the request was sent
   * @param metadata - metadata of the response
   */
  applyResponseMetadata(
    upstream: Upstream,
    sentAt: Millis,
    metadata: ResponseMetadata,
  ): void;

  /** Records that another upstream responded at the address. */
  markReplaced(upstream: Upstream): void;

  /** Returns the Retry-After delay of a rejected request. */
  retryAfter(
    now: Millis,
    request: AdmittedRequest,
    cause: RejectionCause,
    notBefore: Millis | undefined,
  ): Millis;
}
