import type {Result} from 'neverthrow';

import type {RankClient} from '../../clients/index.js';
import type {Fault} from '../../errors/index.js';
import type {RankPlacement, RankReport} from '../../expert_groups/index.js';
import type {DependencyHealth} from './dependency_health.js';

/** One reading of the local rank. */
export interface RankReading {
  /** Undefined if only selections were read. */
  readonly report: RankReport | undefined;
  /** Expert selections since the previous reading; empty if unknown. */
  readonly selections: readonly number[];
}

/** Reads the local rank; it is on the same VM, so reads are cheap. */
export class RankReader {
  private lastCounts: readonly number[] | undefined;
  private lastEpoch = -1;

  /**
   * @param client - the rank's engine
   * @param health - records whether the engine answers
   */
  constructor(
    private readonly client: RankClient,
    private readonly health: DependencyHealth,
  ) {}

  /**
   * Reads the rank.
   * @param withReport - whether to read its report
   * @param withSelections - whether to read its expert selections
   * @returns undefined if it does not answer or is in no group
   */
  async read(
    withReport: boolean,
    withSelections: boolean,
  ): Promise<RankReading | undefined> {
    const report = withReport ? await this.report() : undefined;
    if (withReport && report === undefined) return undefined;
    if (!withSelections) {
      // Counts up to the next reading would span an unknown interval.
      this.lastCounts = undefined;
      return {report, selections: []};
    }
    const chosen = this.valueOf(await this.client.expertSelections());
    if (chosen === undefined) return {report, selections: []};
    const {epoch, counts} = chosen;
    const before = this.lastCounts;
    const isSameEpoch = this.lastEpoch === epoch;
    this.lastCounts = counts;
    this.lastEpoch = epoch;
    if (before === undefined || !isSameEpoch) return {report, selections: []};
    // The counts of a restarted engine start at 0.
    const increments = counts.map((n, i) => Math.max(0, n - (before[i] ?? 0)));
    return {report, selections: increments};
  }

  /** Reads the rank's report. */
  async report(): Promise<RankReport | undefined> {
    return this.valueOf(await this.client.report());
  }

  /** Reads the experts that the rank holds; null if it does not answer. */
  async placement(): Promise<RankPlacement | null> {
    return this.valueOf(await this.client.placement()) ?? null;
  }

  private valueOf<T>(answer: Result<T, Fault>): T | undefined {
    if (answer.isErr()) {
      this.health.recordFailure(answer.error.message);
      return undefined;
    }
    this.health.recordSuccess();
    return answer.value;
  }
}
