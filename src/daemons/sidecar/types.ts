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
  /** Port for operators; 0 picks a free one. */
  readonly operatorPort: number;
  /** Port for links of other processes. */
  readonly linkPort: number;
  readonly linkKey: string;
  readonly logUrl: string;
  readonly vmListUrl: string;
  /** The service that the upstream is of. */
  readonly service: ServiceName;
  /** Address of the upstream, `http://host:port`. */
  readonly upstreamUrl: string;
  /** Group of ranks that the upstream is a rank of. */
  readonly group?: string | undefined;
  /** Number of that rank. */
  readonly rank?: number | undefined;
  /** Address of the weight store; the upstream's without one. */
  readonly weightStoreUrl?: string | undefined;
  /** Time between two plans of the group's expert map, ms. */
  readonly planEvery?: Millis | undefined;
  /** How long a shutdown waits for calls that run, ms. */
  readonly drainTimeout: Millis;
}
