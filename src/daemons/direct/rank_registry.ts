import {ok, err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';

import type {KeyedStore} from '../../clients/index.js';
import type {Fault} from '../../errors/index.js';

const rankRecord = z.object({
  /** Link address of the sidecar beside the rank. */
  sidecar: z.string(),
  /** Address of the rank's engine. */
  engine: z.string(),
  /** How long the engine's work takes, against one in good health. */
  pace: z.number().positive().default(1),
});
/** Where a rank and its sidecar are reached, and how it does. */
export type RankRecord = z.output<typeof rankRecord>;

const COORDINATOR = 'coordinator';

/** Where the ranks of the groups are, in the store. */
export class RankRegistry {
  /**
   * @param store - the platform's store
   * @param topic - the topic that the ranks' records lie in
   */
  constructor(
    private readonly store: KeyedStore,
    private readonly topic: string,
  ) {}

  /**
   * Writes where a rank is.
   * @param group - its group
   * @param rank - its number
   * @param record - where it is
   */
  async register(
    group: string,
    rank: number,
    record: RankRecord,
  ): Promise<Result<void, Fault>> {
    const value = Buffer.from(JSON.stringify(record));
    const put = await this.store.put(this.topic, `${group}/${rank}`, value);
    return put.map(() => undefined);
  }

  /**
   * Claims to coordinate a group, unless there is a claim that the claiming
   * sidecar has not heard of. The place of the claim in the log makes its
   * number higher than those of all earlier claims.
   * @param group - the group
   * @param record - where the claiming sidecar is
   * @param knownClaim - newest claim that the sidecar knows
   * @returns the number of the claim, or of the one that was found
   */
  async claim(
    group: string,
    record: RankRecord,
    knownClaim: number,
  ): Promise<Result<ClaimResult, Fault>> {
    const key = `${group}/${COORDINATOR}`;
    const listing = await this.store.list(this.topic);
    if (listing.isErr()) return err(listing.error);
    const found = listing.value.records.find(one => one.key === key);
    if (found !== undefined && found.offset + 1 > knownClaim) {
      return ok({isOwn: false, claim: found.offset + 1});
    }
    const value = Buffer.from(JSON.stringify(record));
    const put = await this.store.put(this.topic, key, value);
    return put.map(offset => ({isOwn: true, claim: offset + 1}));
  }

  /**
   * Lists the ranks of a group.
   * @param group - the group
   */
  async ranks(
    group: string,
  ): Promise<Result<ReadonlyMap<number, RankRecord>, Fault>> {
    const listing = await this.store.list(this.topic);
    if (listing.isErr()) return err(listing.error);
    const found = new Map<number, RankRecord>();
    for (const {key, value} of listing.value.records) {
      const place = parseRegisteredRank(key, value);
      if (place?.group === group) found.set(place.rank, place);
    }
    return ok(found);
  }
}

/** What became of a claim. */
export interface ClaimResult {
  /** False when another claim was found instead. */
  readonly isOwn: boolean;
  readonly claim: number;
}

/** A rank of a group and where it is. */
export interface RegisteredRank extends RankRecord {
  readonly group: string;
  readonly rank: number;
}

/**
 * Reads the record of a rank.
 * @param key - key of the record
 * @param value - its value
 * @returns nothing for other records
 */
export function parseRegisteredRank(
  key: string,
  value: Uint8Array | undefined,
): RegisteredRank | undefined {
  const at = key.lastIndexOf('/');
  const rank = key.slice(at + 1);
  if (value === undefined || !/^\d+$/.test(rank)) return undefined;
  const record = parseRecord(value);
  return record && {...record, group: key.slice(0, at), rank: Number(rank)};
}

function parseRecord(value: Uint8Array): RankRecord | undefined {
  try {
    const text = Buffer.from(value).toString('utf8');
    return rankRecord.safeParse(JSON.parse(text)).data;
  } catch {
    // Not a record of this program: the rank counts as unknown.
    return undefined;
  }
}
