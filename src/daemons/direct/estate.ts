import type {Result} from 'neverthrow';

import type {KeyedStore, RankClient} from '../../clients/index.js';
import type {ColdRateBound} from '../../cold_start/index.js';
import type {
  AvailabilityZone,
  Millis,
  ServiceName,
  VmName,
} from '../../core/index.js';
import type {
  DirectConfiguration,
  HeaderDialect,
  KeyedChange,
  RetryBound,
  TopicTiming,
  UpstreamRegistration,
} from '../../direct/index.js';
import {
  INTERNAL_TIMING,
  configurationTiming,
  registrationTiming,
} from '../../direct/index.js';
import type {Fault} from '../../errors/index.js';
import {operatorsTopicBound} from '../../evacuation/index.js';
import type {EvacuationRecord} from '../../evacuation/index.js';
import type {DaemonParts} from '../shared/start_context.js';

/** Staleness bounds: maximum time until an update is in force at an entry. */
export interface StalenessBounds {
  /** From the acknowledgement of a configuration. */
  readonly configuration: Millis;
  /** From the announced departure of an upstream to its last new request. */
  readonly leavingUpstream: Millis;
  /**
   * From the acknowledgement of a zone's evacuation to the last request that
   * arrives there; undefined if the deployment has no such bound.
   */
  readonly evacuation?: Millis | undefined;
}

/** Settings of a process of the direct deployment. */
export interface DirectSettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** IP address of the VM. */
  readonly ip: string;
  /** Listen address for callers, `host:port`; entries only. */
  readonly callers: string | undefined;
  /** Listen address of the balancer's readiness checks; entries only. */
  readonly readiness: string | undefined;
  /** First and last port for internal connections. */
  readonly internalPorts: readonly [number, number];
  /** Port of the status and metrics endpoints. */
  readonly operatorPort: number;
  /** Secret shared by all processes of the estate. */
  readonly linkKey: string;
  /** The upstream on this VM and its service; sidecars only. */
  readonly upstream:
    {readonly address: string; readonly service: ServiceName} | undefined;
  /** Whether engines reject orders with older fencing tokens, if known. */
  readonly enginesCheckTokens?: boolean;
  readonly retryBound: RetryBound;
  /** Whether services are paced whose configuration calls for it. */
  readonly pacesStreams?: boolean;
  readonly stalenessBounds: StalenessBounds;
  /** Bound on the requests to a cold upstream; its rate itself if absent. */
  readonly coldRateBound?: ColdRateBound;
  /** Time from the termination signal until the process is killed. */
  readonly grace: Millis;
}

/** Adapter to the platform services of an estate, one subclass per platform. */
export abstract class Estate {
  abstract readonly store: KeyedStore;
  abstract readonly dialect: HeaderDialect;
  /** Path of the balancer's readiness checks. */
  abstract readonly readinessPath: string;
  /** Topics of the platform's records and of this product's own. */
  abstract readonly topics: {
    readonly configuration: string;
    readonly upstreams: string;
    readonly entries: string;
    readonly ranks: string;
    readonly quarantines: string;
  };

  /**
   * Parses a configuration record.
   * @param change - the record
   * @returns undefined if the record holds no configuration
   */
  abstract parseConfiguration(
    change: KeyedChange,
  ): Result<DirectConfiguration, Fault> | undefined;

  /**
   * Parses a request to evacuate a zone.
   * @param change - record of the configuration topic
   * @returns undefined if the record is none
   */
  abstract parseEvacuation(
    change: KeyedChange,
  ): Result<EvacuationRecord, Fault> | undefined;

  /**
   * Parses a registration.
   * @param change - a record with a value
   * @returns a `bad_registration` fault if it describes no upstream
   */
  abstract parseRegistration(
    change: KeyedChange,
  ): Result<UpstreamRegistration, Fault>;

  /**
   * Creates a client of a rank's engine.
   * @param address - `host:port` of the engine
   * @param onDropped - called when a connection is dropped since its responses
   * are out of step with its calls
   */
  abstract createRankClient(
    address: string,
    onDropped?: (reason: string) => void,
  ): RankClient;
}

/** Dependencies of a process of the direct deployment. */
export interface DirectParts extends DaemonParts {
  readonly estate: Estate;
}

/**
 * Returns the timing of each topic that entries read through each other.
 * @param bounds - staleness bounds
 * @param topics - names of the topics
 */
export function topicTimings(
  bounds: StalenessBounds,
  topics: Estate['topics'],
): ReadonlyMap<string, TopicTiming> {
  return new Map([
    [topics.configuration, configurationTiming(operatorsTopicBound(bounds))],
    [topics.upstreams, registrationTiming(bounds.leavingUpstream)],
    [topics.entries, INTERNAL_TIMING],
    [topics.ranks, INTERNAL_TIMING],
    [topics.quarantines, INTERNAL_TIMING],
  ]);
}
