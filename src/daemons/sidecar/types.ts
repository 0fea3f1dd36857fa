import type {
  AvailabilityZone,
  Millis,
  ServiceName,
  VmName,
} from '../../core/index.js';

/** Settings of a sidecar. */
export interface SidecarSettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** IP address that all listeners use. */
  readonly host: string;
  /** Port of the operator endpoints; 0 picks a free one. */
  readonly operatorPort: number;
  /** Port for links from other processes. */
  readonly linkPort: number;
  readonly linkKey: string;
  readonly logUrl: string;
  readonly vmListUrl: string;
  /** Service of the upstream. */
  readonly service: ServiceName;
  /** Address of the upstream, `http://host:port`. */
  readonly upstreamUrl: string;
  /** Expert group that the upstream is a rank of. */
  readonly group?: string | undefined;
  /** Rank of the upstream within its group. */
  readonly rank?: number | undefined;
  /** Address of the weight store; the upstream's by default. */
  readonly weightStoreUrl?: string | undefined;
  /** Interval between plans for the group's expert map, ms. */
  readonly planEvery?: Millis | undefined;
  /** Time that a shutdown waits for running calls, ms. */
  readonly drainTimeout: Millis;
}
