import type {Clock, Millis} from '../../core/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  HeaderDialect,
  RejectionCause,
  SharedRetryBudget,
  Route,
  Upstream,
} from '../../direct/index.js';
import type {Dispatcher} from './dispatcher.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** How a request ended. */
export interface ExchangeResult {
  readonly outcome: string;
  /** HTTP status; 0 when the caller left. */
  readonly status: number;
  readonly retryAfter: Millis | undefined;
  readonly upstream: string | undefined;
  /** Upstreams that got the request. */
  readonly sends: number;
  readonly firstByteAt: Millis | undefined;
  /** Time that it waited for its turn. */
  readonly queueTime: Millis;
  /** Events of a stream that the caller got. */
  readonly deliveredEvents: number;
}

/** What the requests of an entry share. */
export interface DirectContext {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly dispatcher: Dispatcher;
  readonly retries: SharedRetryBudget;

  /** Whether connections of callers close after their answer. */
  isDraining(): boolean;

  /** Connections for requests of a route. */
  connectionsFor(route: Route): UpstreamConnections;

  /** The head of an answer came, which may say what its upstream wants. */
  applyResponseMetadata(upstream: Upstream, metadata: ResponseMetadata): void;

  /** Another upstream answered at the address. */
  markReplaced(upstream: Upstream): void;

  /** An attempt has failed. */
  recordFailure(
    request: AdmittedRequest,
    upstream: Upstream | undefined,
    failure: AttemptFailure,
    duration: Millis,
  ): void;

  /** When a caller is to come back. */
  retryAfter(
    cause: RejectionCause,
    timeLeft: Millis,
    earliest: Millis | undefined,
  ): Millis;

  /** A request is over. */
  recordFinished(request: AdmittedRequest, result: ExchangeResult): void;
}
