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
});
/** Where a rank and its sidecar are reached. */
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
   * Claims to coordinate a group. The place of the claim in the log makes its
   * number higher than those of all earlier claims.
   * @param group - the group
   * @param record - where the claiming sidecar is
   * @returns the number of the claim
   */
  async claim(
    group: string,
    record: RankRecord,
  ): Promise<Result<number, Fault>> {
    const value = Buffer.from(JSON.stringify(record));
    const key = `${group}/${COORDINATOR}`;
    const put = await this.store.put(this.topic, key, value);
    return put.map(offset => offset + 1);
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
      const [name, part] = splitKey(key);
      if (name !== group || value === undefined || !/^\d+$/.test(part)) {
        continue;
      }
      const record = readRecord(value);
      if (record !== undefined) found.set(Number(part), record);
    }
    return ok(found);
  }
}

function splitKey(key: string): [group: string, part: string] {
  const at = key.lastIndexOf('/');
  return [key.slice(0, at), key.slice(at + 1)];
}

function readRecord(value: Uint8Array): RankRecord | undefined {
  try {
    const text = Buffer.from(value).toString('utf8');
    return rankRecord.safeParse(JSON.parse(text)).data;
  } catch {
    // Not a record of this program: the rank counts as unknown.
    return undefined;
  }
}
