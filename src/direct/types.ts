import type {
  AvailabilityZone,
  Branded,
  Millis,
  OrganisationName,
  ServiceName,
  Version,
} from '../core/index.js';

/** One attempt of a caller, named by the caller. */
export type RequestId = Branded<string, 'RequestId'>;
/** An upstream as its own registration names it. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Name of a group of ranks. */
export type GroupName = Branded<string, 'GroupName'>;

/**
 * Brands the id that a caller gave its request.
 * @param value - the plain id
 */
export const requestId = (value: string) => value as RequestId;
/**
 * Brands the id of an upstream.
 * @param value - the plain id
 */
export const upstreamId = (value: string) => value as UpstreamId;
/**
 * Brands the name of a group.
 * @param value - the plain name
 */
export const groupNameOf = (value: string) => value as GroupName;

/** How often a request may run. */
export type ExecutionSemantics =
  /** Any number of times. */
  | 'idempotent'
  /** Once at most for each request of a caller. */
  | 'at_most_once'
  /** A stream of events, which may go on at another upstream if resumable. */
  | 'stream';

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Where requests of a host and path prefix go, and how. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: ExecutionSemantics;
  /** Longest time that a request may wait for its final answer. */
  readonly timeout: Millis;
  /** Time to the answer, or to a stream's first event, that callers expect. */
  readonly latencyTarget: Millis;
  /** Callers leave a stream that has been silent for this long. */
  readonly silencePatience: Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  readonly needsKey: boolean;
  readonly resumable: boolean;
}

/** Expert layout of a group of ranks. */
export interface ExpertProfile {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Experts that a rank has room for in each set. */
  readonly slotsPerRank: number;
  /** Experts of a set that one change may bring to a rank. */
  readonly newPerChange: number;
  readonly expertMegabytes: number;
  /** Time that a rank takes to copy one expert; 0 when not known. */
  readonly copyTime: Millis;
}

/** A service as the operators declare it. */
export interface ServiceProfile {
  readonly name: ServiceName;
  /** Whether its upstreams are ranks of model engines. */
  readonly hasEngines: boolean;
  /** Only of services whose ranks share experts. */
  readonly experts: ExpertProfile | undefined;
}

/** What callers may send, and how slowly. */
export interface EdgeLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
}

/** An organisation and the keys that its callers present. */
export interface OrganisationKeys {
  readonly name: OrganisationName;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** One version of what the operators declare, whole. */
export interface DirectConfiguration {
  readonly version: Version;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceProfile[];
  readonly limits: EdgeLimits;
  /** Empty when callers need no key. */
  readonly organisations: readonly OrganisationKeys[];
}

/** An upstream as it registers itself. */
export interface UpstreamRegistration {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** `host:port` of its HTTP listener. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZone;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Time that it stays slow after its start, as of this registration. */
  readonly warmUpLeft: Millis;
  /** Start of its process, Unix ms; a later one is another life. */
  readonly bornAt: number;
  /** Counts the registrations of one life. */
  readonly sequence: number;
}
