import type {Millis, OrganisationName} from '../../src/core/index.js';

/** Counts what became of requests. */
export class Tally {
  private readonly firstTokens: Millis[] = [];
  private readonly refusalTimes: Millis[] = [];
  private readonly doneBy = new Map<OrganisationName, number>();
  private readonly offeredBy = new Map<OrganisationName, number>();
  /** Refusals by reason. */
  readonly reasons = new Map<string, number>();
  private total = 0;

  /**
   * A request is made.
   * @param organisation - whose
   */
  recordOffered(organisation: OrganisationName): void {
    this.total += 1;
    add(this.offeredBy, organisation);
  }

  /**
   * A whole answer came in time.
   * @param organisation - whose
   * @param firstToken - time to its first token, ms
   */
  recordDone(organisation: OrganisationName, firstToken: Millis): void {
    this.firstTokens.push(firstToken);
    add(this.doneBy, organisation);
  }

  /**
   * A request got no answer.
   * @param reason - why
   * @param took - time until the caller was told, ms
   */
  recordRejected(reason: string, took: Millis): void {
    this.refusalTimes.push(took);
    add(this.reasons, reason);
  }

  /** Time until a refused caller was told, ms; the longest. */
  get longestRefusal(): Millis {
    return Math.max(0, ...this.refusalTimes);
  }

  /** Requests made. */
  get count(): number {
    return this.total;
  }

  /** Share of the requests that got their whole answer in time. */
  get goodput(): number {
    return this.firstTokens.length / Math.max(1, this.total);
  }

  /**
   * A quantile of the time to the first token, ms.
   * @param share - 0.95 for the 95th in a hundred
   */
  firstToken(share: number): Millis {
    const sorted = this.firstTokens.toSorted((a, b) => a - b);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
  }

  /**
   * Share of the answered requests with a first token within a time.
   * @param within - the time, ms
   */
  shareWithin(within: Millis): number {
    const good = this.firstTokens.filter(time => time <= within).length;
    return good / Math.max(1, this.total);
  }

  /** Jain's index of the share that each organisation got of its requests. */
  get fairness(): number {
    const shares = [...this.offeredBy].map(
      ([organisation, offered]) =>
        (this.doneBy.get(organisation) ?? 0) / offered,
    );
    return jain(shares);
  }

  /**
   * Whole answers of one organisation.
   * @param organisation - the organisation
   */
  doneOf(organisation: OrganisationName): number {
    return this.doneBy.get(organisation) ?? 0;
  }

  /**
   * Requests of one organisation.
   * @param organisation - the organisation
   */
  offeredOf(organisation: OrganisationName): number {
    return this.offeredBy.get(organisation) ?? 0;
  }
}

/**
 * Jain's fairness index: 1 when all are equal.
 * @param values - what each got
 */
export function jain(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (values.length * squares);
}

function add<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
