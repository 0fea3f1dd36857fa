import type {Result} from 'neverthrow';

import type {RankClient} from '../../clients/index.js';
import type {Fault} from '../../errors/index.js';
import type {RankPlacement, RankReport} from '../../expert_groups/index.js';
import type {DependencyHealth} from './dependency_health.js';

/** What a sidecar has learnt of its own rank since the last look. */
export interface RankLook {
  /** Nothing when only choices were read. */
  readonly report: RankReport | undefined;
  /** Choices of experts since the look before; empty when not known. */
  readonly chosen: readonly number[];
}

/** Reads the rank beside the sidecar; both are on one VM, so that is free. */
export class RankWatch {
  private counts: readonly number[] | undefined;
  private epoch = -1;

  /**
   * @param client - the rank's engine
   * @param contact - told whether it answers
   */
  constructor(
    private readonly client: RankClient,
    private readonly contact: DependencyHealth,
  ) {}

  /**
   * Looks at the rank.
   * @param isFull - whether to read its report too, not its choices alone
   * @param isSampled - whether to read its choices
   * @returns nothing when it does not answer or is in no group
   */
  async look(
    isFull: boolean,
    isSampled: boolean,
  ): Promise<RankLook | undefined> {
    const report = isFull ? await this.report() : undefined;
    if (isFull && report === undefined) return undefined;
    if (!isSampled) {
      // What comes until the next reading belongs to no short time.
      this.counts = undefined;
      return {report, chosen: []};
    }
    const chosen = this.answerOf(await this.client.chosen());
    if (chosen === undefined) return {report, chosen: []};
    const {epoch, counts} = chosen;
    const before = this.counts;
    const isSameLife = this.epoch === epoch;
    this.counts = counts;
    this.epoch = epoch;
    if (before === undefined || !isSameLife) return {report, chosen: []};
    // An engine that started again counts from nothing.
    const grown = counts.map((n, i) => Math.max(0, n - (before[i] ?? 0)));
    return {report, chosen: grown};
  }

  /** The rank's report alone. */
  async report(): Promise<RankReport | undefined> {
    return this.answerOf(await this.client.report());
  }

  /** Experts that the rank holds. */
  async placement(): Promise<RankPlacement | null> {
    return this.answerOf(await this.client.placement()) ?? null;
  }

  private answerOf<T>(answer: Result<T, Fault>): T | undefined {
    if (answer.isErr()) {
      this.contact.recordFailure(answer.error.message);
      return undefined;
    }
    this.contact.recordSuccess();
    return answer.value;
  }
}
