import type {RankReport} from '../../expert_groups/index.js';
import type {Logger} from '../../observability/index.js';
import type {ClaimResult, RankRecord, RankRegistry} from './rank_registry.js';

/** Dependencies of the claims of a sidecar. */
export interface GroupClaimsPorts {
  readonly registry: RankRegistry;
  /** Addresses of this sidecar and its rank. */
  readonly self: RankRecord;
}

/** Callbacks for results from the store. */
export interface GroupClaimsEvents {
  /** Called after a claim, with undefined if the store did not answer. */
  claimed(result: ClaimResult | undefined): void;
  /**
   * Called if no other sidecar can hold the newest claim: there is none, or it
   * is of the previous incarnation of this one.
   */
  vacant(ownClaim: number | undefined): void;
}

/** Reads and writes the claims of a sidecar to coordinate its group. */
export class GroupClaims {
  private isClaiming = false;
  private hasRead = false;

  /**
   * @param ports - dependencies
   * @param events - callbacks
   * @param logger - for claims and errors of the store
   */
  constructor(
    private readonly ports: GroupClaimsPorts,
    private readonly events: GroupClaimsEvents,
    private readonly logger: Logger,
  ) {}

  /**
   * Reads the newest claim, at the first call after the start of this process.
   * @param own - report of the local rank
   */
  readOnce({group}: RankReport): void {
    if (this.hasRead) return;
    this.hasRead = true;
    void this.read(group);
  }

  /**
   * Claims to coordinate the group, unless a claim is in progress.
   * @param own - report of the local rank
   * @param knownClaim - newest claim known to this sidecar
   */
  claim({group, rank}: RankReport, knownClaim: number): void {
    if (this.isClaiming) return;
    this.isClaiming = true;
    this.logger.info('coordinator_claim', {group, rank});
    const {registry, self} = this.ports;
    void registry.claim(group, self, knownClaim).then(claim => {
      this.isClaiming = false;
      if (claim.isErr()) {
        const {message: reason} = claim.error;
        this.logger.warn('coordinator_claim_failed', {group, rank, reason});
      }
      this.events.claimed(claim.unwrapOr(undefined));
    });
  }

  private async read(group: string): Promise<void> {
    const {registry, self} = this.ports;
    const read = await registry.newestClaim(group);
    if (read.isErr()) {
      const {message: reason} = read.error;
      this.logger.warn('coordinator_claim_unread', {group, reason});
      return;
    }
    const newest = read.value;
    const isOwn = newest?.sidecar === self.sidecar;
    this.logger.info('coordinator_claim_read', {group, ...newest, own: isOwn});
    if (newest === undefined || isOwn) this.events.vacant(newest?.claim);
  }
}
