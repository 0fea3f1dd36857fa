import type {Organisation} from '../configuration/index.js';
import type {Millis, OrganisationName} from '../core/index.js';
import {SECOND} from '../core/index.js';

interface Bucket {
  /** Requests that may be made now. */
  level: number;
  filledAt: Millis;
  inFlight: number;
}

/** Whether an organisation may make one more request. */
export type LimitVerdict =
  | {readonly allowed: true}
  | {readonly allowed: false; readonly retryAfterMs: Millis};

/** The limits of the organisations at one entry. */
export class OrganisationLimits {
  private readonly buckets = new Map<OrganisationName, Bucket>();

  /**
   * An organisation makes a request.
   * @param now - present time
   * @param name - the organisation
   * @param limits - its limits
   */
  admit(
    now: Millis,
    name: OrganisationName,
    {requestsPerSecond, concurrency}: Organisation['limits'],
  ): LimitVerdict {
    const bucket = this.bucketOf(now, name, requestsPerSecond);
    const gained = ((now - bucket.filledAt) / SECOND) * requestsPerSecond;
    bucket.level = Math.min(requestsPerSecond, bucket.level + gained);
    bucket.filledAt = now;
    if (bucket.inFlight >= concurrency) {
      return {allowed: false, retryAfterMs: SECOND};
    }
    if (bucket.level < 1) {
      const missing = 1 - bucket.level;
      const retryAfterMs = Math.ceil((missing / requestsPerSecond) * SECOND);
      return {allowed: false, retryAfterMs};
    }
    bucket.level -= 1;
    bucket.inFlight += 1;
    return {allowed: true};
  }

  /**
   * An admitted request ended.
   * @param name - its organisation
   */
  end(name: OrganisationName): void {
    const bucket = this.buckets.get(name);
    if (bucket) bucket.inFlight -= 1;
  }

  private bucketOf(now: Millis, name: OrganisationName, full: number): Bucket {
    const known = this.buckets.get(name);
    if (known) return known;
    const bucket = {level: Math.max(1, full), filledAt: now, inFlight: 0};
    this.buckets.set(name, bucket);
    return bucket;
  }
}
