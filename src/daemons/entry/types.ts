import type {Configuration} from '../../configuration/index.js';
import type {AvailabilityZone, Version, VmName} from '../../core/index.js';
import type {OrganisationDirectory} from '../../admission/index.js';

/** Settings of an entry. */
export interface EntrySettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** IP address of all listeners. */
  readonly host: string;
  /** Port for callers; 0 picks a free one. */
  readonly port: number;
  /** Port for operators. */
  readonly operatorPort: number;
  /** Port for links from other processes. */
  readonly linkPort: number;
  readonly linkKey: string;
  readonly logUrl: string;
  readonly vmListUrl: string;
  /** How long a drain waits for running calls, ms. */
  readonly drainTimeout: number;
}

/** The configuration in force, with the lookup table built from it. */
export interface ConfigurationInForce {
  readonly version: Version;
  readonly cfg: Configuration;
  readonly organisations: OrganisationDirectory;
}
