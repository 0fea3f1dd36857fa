import type {Result} from 'neverthrow';

import type {KeyedStore, RankClient} from '../../clients/index.js';
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
  UpstreamRegistration,
} from '../../direct/index.js';
import type {Fault} from '../../errors/index.js';
import type {DaemonParts} from '../shared/start_context.js';

/** How soon news from the store must be in force at an entry. */
export interface StalenessBounds {
  /** From a configuration's acknowledgement on. */
  readonly configuration: Millis;
  /** From an upstream's word that it leaves until it gets no more work. */
  readonly leavingUpstream: Millis;
}

/** What a process of this form of deployment is told at its start. */
export interface DirectSettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** IP address of the VM. */
  readonly ip: string;
  /** Where callers connect, `host:port`; only of entries. */
  readonly callers: string | undefined;
  /** Where the balancer asks whether this entry is ready; only of entries. */
  readonly readiness: string | undefined;
  /** Ports for the system's own processes, first and last. */
  readonly internalPorts: readonly [number, number];
  /** Where operators and the collector of metrics ask. */
  readonly operatorPort: number;
  /** Shared by all processes of the estate. */
  readonly linkKey: string;
  /** The upstream on this VM and its service; only of sidecars. */
  readonly upstream:
    {readonly address: string; readonly service: ServiceName} | undefined;
  readonly retryBound: RetryBound;
  readonly stalenessBounds: StalenessBounds;
  /** By when a terminated process has ended. */
  readonly grace: Millis;
}

/** How the services around an estate speak; one subclass for each form. */
export abstract class Estate {
  abstract readonly store: KeyedStore;
  abstract readonly dialect: HeaderDialect;
  /** Path at which the balancer asks whether an entry is ready. */
  abstract readonly readinessPath: string;
  /** Topics: the operators' configuration, registrations, own entries. */
  abstract readonly topics: {
    readonly configuration: string;
    readonly upstreams: string;
    readonly entries: string;
    readonly ranks: string;
  };

  /**
   * Reads the configuration of a record.
   * @param change - the record
   * @returns nothing when the record holds no configuration
   */
  abstract parseConfiguration(
    change: KeyedChange,
  ): Result<DirectConfiguration, Fault> | undefined;

  /**
   * Reads a registration.
   * @param change - a record that has a value
   * @returns a `bad_registration` fault when it names no upstream
   */
  abstract parseRegistration(
    change: KeyedChange,
  ): Result<UpstreamRegistration, Fault>;

  /**
   * A client of a rank's engine.
   * @param address - `host:port` of the engine
   */
  abstract createRankClient(address: string): RankClient;
}

/** What a process of this form of deployment is made of. */
export interface DirectParts extends DaemonParts {
  readonly estate: Estate;
}
