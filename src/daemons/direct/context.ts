import type {ServerResponse} from 'node:http';

import type {Clock, Millis} from '../../core/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  AttemptProgress,
  HeaderDialect,
  RejectionCause,
  Route,
  Upstream,
} from '../../direct/index.js';
import type {Containment} from '../../observability/index.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {ReceivedBody} from './attempt.js';
import type {AttemptSequence, BegunAttempt} from './attempt_sequence.js';
import type {DispatchState} from './dispatch/index.js';
import type {BufferBudget} from './buffer_budget.js';
import type {Dispatcher, ZoneFilter} from './dispatch/index.js';
import type {QuarantineKeeper} from './quarantine_keeper.js';
import type {RequestLog} from './request_log.js';
import type {RetryAccounting} from './retry_accounting.js';
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
  readonly firstByteAt: Millis | undefined;
  /** Number of stream events delivered to the caller. */
  readonly deliveredEvents: number;
  /** Body of the latest attempt's response, if one began. */
  readonly body: ReceivedBody | undefined;
  readonly attempts: AttemptSequence;
}

/** An attempt that has failed. */
export interface FailedAttempt {
  readonly upstream: Upstream;
  readonly progress: AttemptProgress;
  readonly failure: AttemptFailure;
  /** Body of its response, if one began. */
  readonly body?: ReceivedBody | undefined;
  readonly latest?: BegunAttempt | undefined;
}

/** State and services that the requests of an entry share. */
export interface DirectContext {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly dispatcher: Dispatcher;
  /** Zones that requests are kept away from. */
  readonly evacuation: ZoneFilter;
  readonly retries: RetryAccounting;
  readonly quarantine: QuarantineKeeper;
  readonly log: RequestLog;
  readonly containment: Containment;
  /** Bytes that the buffered responses may hold together. */
  readonly buffers: BufferBudget;

  /** Returns whether the connection of a response closes after it. */
  closesAfter(res: ServerResponse): boolean;

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
    rejectedIn: DispatchState | undefined,
  ): Millis;
}
