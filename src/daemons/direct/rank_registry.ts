import {ok, err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';

import type {KeyedStore} from '../../clients/index.js';
import {comparePositions, isHostPort} from '../../core/index.js';
import type {LogPosition} from '../../core/index.js';
import {Fault} from '../../errors/index.js';

const rankRecord = z.object({
  /** Link address of the sidecar beside the rank. */
  sidecar: z.string().refine(isHostPort),
  /** Address of the rank's engine. */
  engine: z.string().refine(isHostPort),
  /** Slowdown factor of the engine; 1 for a healthy one. */
  pace: z.number().positive().default(1),
});
/** Addresses of a rank and its sidecar, and its slowdown factor. */
export type RankRecord = z.output<typeof rankRecord>;

const COORDINATOR = 'coordinator';
/**
 * Distance between the claim numbers of two eras of the store: more records
 * than one topic can lose when the store comes back from an older copy.
 */
const CLAIMS_PER_ERA = 2 ** 16;

/** Registry of ranks and coordinator claims in the keyed store. */
export class RankRegistry {
  /**
   * @param store - the platform's store
   * @param topic - topic of the ranks' records
   */
  constructor(
    private readonly store: KeyedStore,
    private readonly topic: string,
  ) {}

  /**
   * Writes the record of a rank.
   * @param group - its group
   * @param rank - its number
   * @param record - its addresses and slowdown factor
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
   * Claims to coordinate a group, unless the store has a claim that is unknown
   * to the claiming sidecar. The number of a claim is derived from its position
   * in the log, which makes it higher than those of all earlier claims, lost
   * ones too.
   * @param group - the group
   * @param record - record of the claiming sidecar
   * @param knownClaim - newest claim known to the sidecar
   * @returns the claim, or the existing one
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
    const existing = found && claimAt(found.position);
    if (existing !== undefined && existing > knownClaim) {
      return ok({isOwn: false, claim: existing});
    }
    const value = Buffer.from(JSON.stringify(record));
    const put = await this.store.put(this.topic, key, value);
    return put.andThen(position => {
      // The response of an earlier append, which the store sent a second time.
      if (comparePositions(position, listing.value.startedAt) < 0)
        return err(new Fault('store_unavailable', 'a claim in the past'));
      return ok({isOwn: true, claim: claimAt(position)});
    });
  }

  /**
   * Reads the newest claim to coordinate a group.
   * @param group - the group
   * @returns the claim and the address of its sidecar; undefined if there is none
   */
  async newestClaim(
    group: string,
  ): Promise<Result<{claim: number; sidecar: string} | undefined, Fault>> {
    const listing = await this.store.list(this.topic);
    return listing.map(({records}) => {
      const key = `${group}/${COORDINATOR}`;
      const found = records.find(one => one.key === key);
      const record = found?.value && parseRecord(found.value);
      return (
        record && {claim: claimAt(found.position), sidecar: record.sidecar}
      );
    });
  }

  /**
   * Reads the ranks of a group.
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

/** Result of a claim. */
export interface ClaimResult {
  /** False if another claim exists. */
  readonly isOwn: boolean;
  readonly claim: number;
}

/** A rank of a group, with its record. */
export interface RegisteredRank extends RankRecord {
  readonly group: string;
  readonly rank: number;
}

/**
 * Parses the record of a rank.
 * @param key - key of the record
 * @param value - its value
 * @returns undefined for other records
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

/** Returns the number of the claim at a position. */
function claimAt({era, offset}: LogPosition): number {
  return era * CLAIMS_PER_ERA + offset + 1;
}

function parseRecord(value: Uint8Array): RankRecord | undefined {
  try {
    const text = Buffer.from(value).toString('utf8');
    return rankRecord.safeParse(JSON.parse(text)).data;
  } catch {
    // Not a record of this program: the rank counts as unregistered.
    return undefined;
  }
}
