import type {Millis, OrganisationName} from '../../src/core/index.js';

/** Counts request outcomes and latencies. */
export class Tally {
  private readonly firstTokens: Millis[] = [];
  private readonly refusalTimes: Millis[] = [];
  private readonly doneBy = new Map<OrganisationName, number>();
  private readonly offeredBy = new Map<OrganisationName, number>();
  /** Rejected requests by reason. */
  readonly reasons = new Map<string, number>();
  private total = 0;

  /**
   * Records a request.
   * @param organisation - organisation of the caller
   */
  recordOffered(organisation: OrganisationName): void {
    this.total += 1;
    add(this.offeredBy, organisation);
  }

  /**
   * Records a complete answer within the deadline.
   * @param organisation - organisation of the caller
   * @param firstToken - time to first token, ms
   */
  recordDone(organisation: OrganisationName, firstToken: Millis): void {
    this.firstTokens.push(firstToken);
    add(this.doneBy, organisation);
  }

  /**
   * Records a rejected or aborted request.
   * @param reason - reason of the rejection
   * @param took - time until the rejection, ms
   */
  recordRejected(reason: string, took: Millis): void {
    this.refusalTimes.push(took);
    add(this.reasons, reason);
  }

  /** Longest time until a rejection, ms. */
  get longestRefusal(): Millis {
    return Math.max(0, ...this.refusalTimes);
  }

  /** Number of requests made. */
  get count(): number {
    return this.total;
  }

  /** Fraction of the requests with a complete answer within the deadline. */
  get goodput(): number {
    return this.firstTokens.length / Math.max(1, this.total);
  }

  /**
   * Returns a quantile of the time to first token, ms.
   * @param share - quantile, such as 0.95
   */
  firstToken(share: number): Millis {
    const sorted = this.firstTokens.toSorted((a, b) => a - b);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
  }

  /**
   * Returns the fraction of all requests with a first token within a time.
   * @param within - time to first token, ms
   */
  shareWithin(within: Millis): number {
    const good = this.firstTokens.filter(time => time <= within).length;
    return good / Math.max(1, this.total);
  }

  /** Jain's index of the fraction of each organisation's requests answered. */
  get fairness(): number {
    const shares = [...this.offeredBy].map(
      ([organisation, offered]) =>
        (this.doneBy.get(organisation) ?? 0) / offered,
    );
    return jain(shares);
  }

  /**
   * Returns the number of complete answers of an organisation.
   * @param organisation - name of the organisation
   */
  doneOf(organisation: OrganisationName): number {
    return this.doneBy.get(organisation) ?? 0;
  }

  /**
   * Returns the number of requests of an organisation.
   * @param organisation - name of the organisation
   */
  offeredOf(organisation: OrganisationName): number {
    return this.offeredBy.get(organisation) ?? 0;
  }
}

/**
 * Returns Jain's fairness index: 1 when all values are equal.
 * @param values - share of each participant
 */
export function jain(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (values.length * squares);
}

function add<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
