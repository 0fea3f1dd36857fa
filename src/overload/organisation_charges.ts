import type {OrganisationName} from '../core/index.js';
import {RankedSet} from './ranked_set.js';
import type {RankKey} from './ranked_set.js';

/** Bounds of a queue. */
export interface QueueBounds {
  readonly requests: number;
  readonly bytes: number;
}

interface Charge {
  readonly organisation: OrganisationName | undefined;
  readonly seq: number;
  requests: number;
  bytes: number;
}

/** Charges the space in a queue to the organisations that fill it. */
export class OrganisationCharges {
  private readonly charges = new Map<OrganisationName | undefined, Charge>();
  private readonly byShare = new RankedSet<Charge>();
  private count = 0;
  private requests = 0;
  private bytes = 0;

  /** @param bounds - bounds of the queue */
  constructor(private readonly bounds: QueueBounds) {}

  /** Whether a bound is exceeded. */
  get isExceeded(): boolean {
    const {bounds, requests, bytes} = this;
    return requests > bounds.requests || bytes > bounds.bytes;
  }

  /** Bytes of all requests. */
  get totalBytes(): number {
    return this.bytes;
  }

  /** Number of organisations with requests. */
  get organisations(): number {
    return this.byShare.size;
  }

  /**
   * Returns the organisation that holds over twice its equal share, if one does.
   * @returns the organisation in an object, as requests may have none
   */
  get largest(): Pick<Charge, 'organisation'> | undefined {
    const largest = this.byShare.last;
    if (largest === undefined || this.byShare.size < 2) return undefined;
    const equalShare = 1 / this.byShare.size;
    // With two organisations, twice the equal share is all of it.
    const limit = Math.min(2 * equalShare, (1 + equalShare) / 2);
    return this.shareOf(largest) > limit ? largest : undefined;
  }

  /**
   * Charges a request to its organisation.
   * @param organisation - the organisation
   * @param bytes - size of the request
   */
  add(organisation: OrganisationName | undefined, bytes: number): void {
    this.change(organisation, 1, bytes);
  }

  /**
   * Ends the charge of a request.
   * @param organisation - its organisation
   * @param bytes - size of the request
   */
  remove(organisation: OrganisationName | undefined, bytes: number): void {
    this.change(organisation, -1, -bytes);
  }

  private change(
    organisation: OrganisationName | undefined,
    requests: number,
    bytes: number,
  ): void {
    let charge = this.charges.get(organisation);
    if (charge === undefined) {
      charge = {organisation, seq: this.count++, requests: 0, bytes: 0};
      this.charges.set(organisation, charge);
    } else this.byShare.delete(this.keyOf(charge));
    charge.requests += requests;
    charge.bytes += bytes;
    this.requests += requests;
    this.bytes += bytes;
    if (charge.requests > 0) this.byShare.add(this.keyOf(charge), charge);
    else this.charges.delete(organisation);
  }

  /** Returns the part of the bounds that an organisation fills. */
  private shareOf({requests, bytes}: Charge): number {
    const {bounds} = this;
    return Math.max(requests / bounds.requests, bytes / bounds.bytes);
  }

  private keyOf(charge: Charge): RankKey {
    return {rank: this.shareOf(charge), seq: charge.seq};
  }
}
