import type {ExpertProfile} from '../../direct/index.js';
import type {
  CutoverCoordinator,
  CutoverMessage,
  IssuedOrder,
  RankPlacement,
  RankReport,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {RankMessage} from './local_rank.js';
import type {ClaimResult} from './rank_registry.js';

/** Message to the map task of a sidecar. */
export type MapTaskMessage =
  | {readonly type: 'tick'}
  /** An order of a held group may be due again. */
  | {readonly type: 'retry_due'}
  | {readonly type: 'looked'; readonly message: RankMessage}
  | {
      readonly type: 'link';
      readonly from: Link;
      readonly message: CutoverMessage;
    }
  | {readonly type: 'opened'; readonly link: Link}
  /** The store has lost records of the ranks. */
  | {readonly type: 'registry_restored'}
  | {readonly type: 'configured'; readonly profile: ExpertProfile}
  | {readonly type: 'claimed'; readonly claim: ClaimResult | undefined}
  | {readonly type: 'vacant'; readonly ownClaim: number | undefined}
  | {
      readonly type: 'answered';
      readonly issued: IssuedOrder;
      readonly outcome: Parameters<CutoverCoordinator['recordOutcome']>[2];
      readonly report: RankReport | undefined;
    }
  | {readonly type: 'read'; readonly report: RankReport}
  | {
      readonly type: 'placed';
      readonly rank: number;
      readonly placed: RankPlacement;
    };
