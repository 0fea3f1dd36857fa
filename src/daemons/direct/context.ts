import type {Clock, Millis} from '../../core/index.js';
import type {
  AttemptFailure,
  HeaderDialect,
  LoadBook,
  RefusalCause,
  RetryAllowance,
  Route,
  Upstream,
} from '../../direct/index.js';
import type {AdmittedRequest} from './exchange.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** How a request ended. */
export interface ExchangeEnd {
  readonly outcome: string;
  /** HTTP status; 0 when the caller left. */
  readonly status: number;
  readonly retryAfter: Millis | undefined;
  readonly upstream: string | undefined;
  /** Upstreams that got the request. */
  readonly sends: number;
  readonly firstByteAt: Millis | undefined;
  /** Events of a stream that the caller got. */
  readonly delivered: number;
}

/** What the requests of an entry share. */
export interface DirectContext {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly loads: LoadBook;
  readonly retries: RetryAllowance;

  /** Whether connections of callers close after their answer. */
  isClosing(): boolean;

  /**
   * Chooses an upstream that is not among those tried, or says why there is
   * none.
   */
  choose(
    now: Millis,
    ask: AdmittedRequest,
    tried: ReadonlySet<string>,
  ): Upstream | 'group_down' | 'none';

  /** Connections for requests of a route. */
  connectionsFor(route: Route): UpstreamConnections;

  /** Another upstream answered at the address. */
  upstreamGone(upstream: Upstream): void;

  /** An upstream refused because another rank of its group failed. */
  groupFell(upstream: Upstream, culprit: string): void;

  /** An upstream began to answer a request that was sent at that time. */
  groupAnswered(upstream: Upstream, sentAt: Millis): void;

  /** An attempt has failed. */
  attemptFailed(
    ask: AdmittedRequest,
    upstream: Upstream | undefined,
    failure: AttemptFailure,
    took: Millis,
  ): void;

  /** When a caller is to come back. */
  retryAfter(cause: RefusalCause, timeLeft: Millis): Millis;

  /** A request is over. */
  finished(ask: AdmittedRequest, end: ExchangeEnd): void;
}
