import type {
  AvailabilityZone,
  Branded,
  Millis,
  OrganisationName,
  ServiceName,
  Version,
} from '../core/index.js';
import type {RequestRate} from './upstream_limits.js';

/** Id that a caller assigns to one attempt of its request. */
export type RequestId = Branded<string, 'RequestId'>;
/** Id of an upstream, from its own registration. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Id of a part of prompts, the same in all requests that share the part. */
export type PromptPartId = Branded<string, 'PromptPartId'>;
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
 * Brands the id of a prompt part.
 * @param value - the plain id
 */
export const promptPartId = (value: string) => value as PromptPartId;
/**
 * Brands the name of a group.
 * @param value - the plain name
 */
export const groupNameOf = (value: string) => value as GroupName;

/** Execution semantics of the requests of a route. */
export type ExecutionSemantics =
  /** A request may run any number of times. */
  | 'idempotent'
  /** Each request of a caller runs at most once. */
  | 'at_most_once'
  /** An event stream; it continues on another upstream if resumable. */
  | 'stream';

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Routing rule of the requests of a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: ExecutionSemantics;
  /** Maximum time to the final response. */
  readonly timeout: Millis;
  /** Expected time to the response, or to a stream's first event. */
  readonly latencyTarget: Millis;
  /** Longest gap between two events of a stream that is in time, if declared. */
  readonly gapTarget: Millis | undefined;
  /** Time without events after which callers abandon a stream. */
  readonly silencePatience: Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams to which one request is sent. */
  readonly maxAttempts: number;
  readonly needsKey: boolean;
  readonly resumable: boolean;
}

/** Expert layout of a group of ranks. */
export interface ExpertProfile {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Capacity of a rank, in experts per set. */
  readonly slotsPerRank: number;
  /** Maximum number of new experts per set on a rank in one map switch. */
  readonly newPerChange: number;
  readonly expertMegabytes: number;
  /** Time to copy one expert to a rank; 0 if unknown. */
  readonly copyTime: Millis;
}

/** Cold start of the upstreams of a service. */
export interface ColdStartProfile {
  /** Time for which an upstream is cold after it started during traffic. */
  readonly duration: Millis;
  /** Requests per second that a cold upstream takes from all entries together. */
  readonly rate: RequestRate;
}

/** How long the passes of an engine take, as the operators declare it. */
export interface EngineProfile {
  /** Number of requests that a rank runs concurrently. */
  readonly slots: number;
  /** Token steps of a pass, in which each running stream makes one event. */
  readonly stepsPerPass: number;
  /** Duration of a step without streams. */
  readonly stepTime: Millis;
  /** Additional duration of a step for each running stream of the rank. */
  readonly stepTimePerStream: Millis;
  /** Additional duration of a step for each token of the streams' contexts. */
  readonly stepTimePerContextToken: Millis;
  readonly promptTokensPerSecond: number;
  /** Maximum number of prompt tokens that are read between two passes. */
  readonly promptChunk: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
}

/** A service as the operators declare it. */
export interface ServiceProfile {
  readonly name: ServiceName;
  /** Whether its upstreams are ranks of model engines. */
  readonly hasEngines: boolean;
  /** Defined only for services whose ranks share experts. */
  readonly experts: ExpertProfile | undefined;
  /** Undefined if requests to its cold upstreams are not bounded. */
  readonly coldStart?: ColdStartProfile | undefined;
  /** Undefined if the configuration lacks one of the figures. */
  readonly engine?: EngineProfile | undefined;
}

/** Size and time limits of callers' requests. */
export interface EdgeLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
}

/** An organisation and the API keys of its callers. */
export interface OrganisationKeys {
  readonly name: OrganisationName;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

/** One complete version of the operators' configuration. */
export interface DirectConfiguration {
  readonly version: Version;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceProfile[];
  readonly limits: EdgeLimits;
  /** Empty when callers need no key. */
  readonly organisations: readonly OrganisationKeys[];
}

/** Registration of an upstream. */
export interface UpstreamRegistration {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** `host:port` of its HTTP listener. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZone;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Remaining warm-up time, as of this registration. */
  readonly warmUpLeft: Millis;
  /** Start time of its process, Unix ms; identifies its incarnation. */
  readonly bornAt: number;
  /** Sequence number of the registration within the incarnation. */
  readonly sequence: number;
}
