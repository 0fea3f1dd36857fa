import type {Millis, ServiceName} from '../../../core/index.js';
import type {
  GroupKey,
  RankInfo,
  RequestId,
  RejectionCause,
  Upstream,
} from '../../../direct/index.js';
import type {PendingRequest, ShedReason} from '../../../overload/index.js';
import type {PacingSettings} from '../../../pacing/index.js';

/** A request to send to an upstream. */
export interface DispatchRequest extends PendingRequest {
  readonly id?: RequestId | undefined;
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
  /** Evacuated zones of its service, if no other upstreams are left. */
  readonly evacuatedZones?: string | undefined;
  /** Earliest time of a retry, if it is known. */
  readonly notBefore?: Millis | undefined;
  /** Delay of a retry, if the queue has planned it. */
  readonly retryIn?: Millis | undefined;
  /** Why the queue shed it, if so. */
  readonly shed?: ShedReason | undefined;
}

/** Registered upstreams and their groups, as a dispatcher queries them. */
export interface UpstreamDirectory extends RankInfo {
  /** Returns the number of entries of the estate, including this one. */
  entryCount(): number;
  upstreamsOf(service: ServiceName): readonly Upstream[];
  /** Returns whether a service's upstreams run model engines. */
  hasEngines(service: ServiceName): boolean;
  /** Returns whether the requests of a service differ in priority. */
  isByPriority(service: ServiceName): boolean;
  /** Returns how the streams of a service are paced; undefined if they are not. */
  pacingOf?(service: ServiceName): PacingSettings | undefined;
}

/**
 * Returns the cause that the Retry-After of a rejected request depends on. A zone
 * stays evacuated for an unknown time, as a group stays down.
 * @param rejection - the rejection
 * @param state - what the dispatcher knew
 */
export function rejectionCause(
  rejection: DispatchRejection,
  {reason}: DispatchState,
): RejectionCause {
  const isLasting = rejection === 'group_down' || reason === 'evacuated';
  return isLasting ? 'group_down' : 'busy';
}

/** What became of a request that was kept away from an evacuated zone. */
export type KeptAwayResult = 'placed_elsewhere' | 'rejected';

/** Zones that requests are kept away from. */
export interface ZoneFilter {
  /** Whether no zone is evacuated. */
  readonly isEmpty: boolean;
  /** Returns whether no requests may be sent to an upstream for its zone. */
  isEvacuated(upstream: Upstream): boolean;
  /** Counts a request that an evacuation has kept away from its zone. */
  recordKeptAway(service: ServiceName, result: KeptAwayResult): void;
}

/** Filter of an entry without evacuations. */
export const NO_EVACUATIONS: ZoneFilter = {
  isEmpty: true,
  isEvacuated: () => false,
  recordKeptAway: () => undefined,
};

/** Why a request cannot be placed on an upstream now. */
export type Unplaced =
  /** No upstream is left that it was not sent to. */
  | 'none'
  /** The zones of all upstreams are evacuated. */
  | 'evacuated'
  /** The groups of all upstreams are down. */
  | 'down'
  /** All upstreams requested a backoff. */
  | 'backed_off'
  /** The limits that the upstreams name leave no request for this entry now. */
  | 'limited'
  /** Only cold upstreams are left, and this entry may not send to them now. */
  | 'warming_up'
  /** The limits of all groups are reached. */
  | 'full';

/** Rejection of a request, by the reason why it cannot be placed. */
export const REJECTIONS = {
  none: 'no_upstream',
  evacuated: 'no_upstream',
  down: 'group_down',
  backed_off: 'overloaded',
  limited: 'overloaded',
  warming_up: 'overloaded',
  full: 'overloaded',
} as const satisfies Record<Unplaced, DispatchRejection>;
