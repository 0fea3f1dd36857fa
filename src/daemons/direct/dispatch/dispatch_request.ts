import type {Millis, ServiceName} from '../../../core/index.js';
import type {
  GroupKey,
  PendingRequest,
  RankInfo,
  Upstream,
} from '../../../direct/index.js';
import type {PacingSettings} from '../../../pacing/index.js';

/** A request to send to an upstream. */
export interface DispatchRequest extends PendingRequest {
  readonly service: ServiceName;
  readonly promptTokens: number;
  /** Upstreams that it was already sent to. */
  readonly triedIncarnations: ReadonlySet<string>;
  /** Time to its start that the route aims for. */
  readonly target: Millis;
  /** Whether it may be queued. */
  readonly mayWait: boolean;
  /** Spends retry budget if it is a retry; returns whether it may be sent. */
  trySpend(now: Millis): boolean;
  /** Sends it to an upstream. */
  send(now: Millis, upstream: Upstream, group: GroupKey): void;
  /** Rejects it. */
  reject(cause: DispatchRejection, state: DispatchState): void;
}

/** Why a dispatcher rejects a request. */
export type DispatchRejection = 'group_down' | 'overloaded' | 'no_upstream';

/** What a dispatcher knows as it rejects a request. */
export interface DispatchState {
  readonly reason: Unplaced;
  /** Number of queued requests. */
  readonly queueLength: number;
  /** Time for which its group has been down; 0 if it is available. */
  readonly downtime: Millis;
  /** Earliest time of a retry, if it is known. */
  readonly notBefore?: Millis | undefined;
}

/** Registered upstreams and their groups, as a dispatcher queries them. */
export interface UpstreamDirectory extends RankInfo {
  /** Returns the number of entries of the estate, including this one. */
  entryCount(): number;
  upstreamsOf(service: ServiceName): readonly Upstream[];
  /** Returns whether a service's upstreams run model engines. */
  hasEngines(service: ServiceName): boolean;
  /** Returns how the streams of a service are paced; undefined if they are not. */
  pacingOf?(service: ServiceName): PacingSettings | undefined;
}

/** Why a request cannot be placed on an upstream now. */
export type Unplaced =
  /** No upstream is left that it was not sent to. */
  | 'none'
  /** The groups of all upstreams are down. */
  | 'down'
  /** All upstreams requested a backoff. */
  | 'backed_off'
  /** The limits that the upstreams name leave no request for this entry now. */
  | 'limited'
  /** The limits of all groups are reached. */
  | 'full';
