import type {Incarnation, Millis, Offset, Version} from '../core/index.js';
import type {ConfigurationMessage} from './messages.js';
import type {RelayVm} from './relay_topology.js';
import type {Checkpoint, Configuration, Verdict} from './types.js';

/** A VM of the estate as this process sees it. */
export interface RelayPeer extends RelayVm {
  readonly address: string;
  /** The process on it, when a link to it is open. */
  readonly incarnation: Incarnation | undefined;
}

/** Effects that the daemon performs for the node. */
export type ConfigurationEffect =
  | {readonly type: 'read'; readonly from: Offset; readonly wait: Millis}
  | {readonly type: 'append'; readonly record: Checkpoint}
  | {
      readonly type: 'send';
      readonly to: Incarnation;
      readonly message: ConfigurationMessage;
    }
  | {readonly type: 'dial'; readonly addresses: ReadonlySet<string>}
  | {
      readonly type: 'in_force';
      readonly version: Version;
      readonly cfg: Configuration;
    }
  | {
      readonly type: 'judged';
      readonly id: string;
      readonly verdict: Verdict;
    }
  | {readonly type: 'malformed'; readonly offset: Offset}
  | {readonly type: 'restored'; readonly foldedTo: Offset}
  | {readonly type: 'contradiction'; readonly from: Incarnation};

/** Status of the node for operators. */
export interface ConfigurationStatus {
  /** The version in force here; 0 when nothing is served. */
  readonly version: Version;
  /** The folded version, readable here or not. */
  readonly foldedVersion: Version;
  readonly foldedTo: Offset;
  readonly author: string;
  readonly malformedRecords: number;
  /** Offset of a publication that needs a newer program. */
  readonly blockedAt: Offset | undefined;
  /** Whether retention deleted records that were never folded here. */
  readonly gap: boolean;
  /** Whether this process follows the log. */
  readonly reads: boolean;
  /** Time since the last contact with the log, direct or through peers, ms. */
  readonly logAge: Millis | undefined;
  /** Peers that pull from this process, by the version that they have. */
  readonly followers: Readonly<Record<string, Version>>;
  /** Why the version in force may lag, if it may. */
  readonly lag: string | undefined;
}
