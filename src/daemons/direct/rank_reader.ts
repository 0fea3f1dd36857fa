import type {Result} from 'neverthrow';

import type {RankClient} from '../../clients/index.js';
import type {Fault} from '../../errors/index.js';
import type {RankPlacement, RankReport} from '../../expert_groups/index.js';
import type {Contact} from './contact.js';

/** What a sidecar has learnt of its own rank since the last look. */
export interface RankReading {
  /** Nothing when only choices were read. */
  readonly report: RankReport | undefined;
  /** Choices of experts since the look before; empty when not known. */
  readonly selections: readonly number[];
}

/** Reads the rank beside the sidecar; both are on one VM, so that is free. */
export class RankReader {
  private lastCounts: readonly number[] | undefined;
  private lastEpoch = -1;

  /**
   * @param client - the rank's engine
   * @param contact - told whether it answers
   */
  constructor(
    private readonly client: RankClient,
    private readonly contact: Contact,
  ) {}

  /**
   * Looks at the rank.
   * @param withReport - whether to read its report too, not its choices alone
   * @param withSelections - whether to read its choices
   * @returns nothing when it does not answer or is in no group
   */
  async read(
    withReport: boolean,
    withSelections: boolean,
  ): Promise<RankReading | undefined> {
    const report = withReport ? await this.report() : undefined;
    if (withReport && report === undefined) return undefined;
    if (!withSelections) {
      // What comes until the next reading belongs to no short time.
      this.lastCounts = undefined;
      return {report, selections: []};
    }
    const chosen = this.valueOf(await this.client.chosen());
    if (chosen === undefined) return {report, selections: []};
    const {epoch, counts} = chosen;
    const before = this.lastCounts;
    const isSameEpoch = this.lastEpoch === epoch;
    this.lastCounts = counts;
    this.lastEpoch = epoch;
    if (before === undefined || !isSameEpoch) return {report, selections: []};
    // An engine that started again counts from nothing.
    const increments = counts.map((n, i) => Math.max(0, n - (before[i] ?? 0)));
    return {report, selections: increments};
  }

  /** The rank's report alone. */
  async report(): Promise<RankReport | undefined> {
    return this.valueOf(await this.client.report());
  }

  /** Experts that the rank holds. */
  async placement(): Promise<RankPlacement | null> {
    return this.valueOf(await this.client.placement()) ?? null;
  }

  private valueOf<T>(answer: Result<T, Fault>): T | undefined {
    if (answer.isErr()) {
      this.contact.lost(answer.error.message);
      return undefined;
    }
    this.contact.regained();
    return answer.value;
  }
}
