import {PRIORITIES} from '../configuration/index.js';
import type {CallId, Millis, OrganisationName} from '../core/index.js';
import type {AdmissionRequest} from './types.js';

/** A queued call with its sort key. */
interface Entry {
  readonly request: AdmissionRequest;
  readonly rank: number;
  /** Virtual start time. */
  readonly startTag: number;
}

/**
 * Weighted fair queue of one upstream (start-time fair queueing). The highest
 * priority goes first; within a priority each organisation gets token cost in
 * proportion to its weight.
 */
export class FairQueue {
  private entries: Entry[] = [];
  private virtualTime = 0;
  /** Virtual finish time of each organisation's last call. */
  private readonly finishTags = new Map<OrganisationName, number>();

  /** Number of queued calls. */
  get size(): number {
    return this.entries.length;
  }

  /**
   * Adds a call and charges its cost to the organisation.
   * @param request - the call
   */
  enqueue(request: AdmissionRequest): void {
    const startTag = this.charge(request);
    const rank = PRIORITIES.indexOf(request.priority);
    this.entries.push({request, rank, startTag});
  }

  /**
   * Charges the cost of a call that starts without waiting.
   * @param request - the call
   */
  chargeImmediate(request: AdmissionRequest): void {
    this.virtualTime = Math.max(this.virtualTime, this.charge(request));
    this.pruneIdle();
  }

  /** Removes and returns the call that starts next. */
  dequeue(): AdmissionRequest | undefined {
    const next = this.entries.reduce<Entry | undefined>(
      (best, entry) => (best && !precedes(entry, best) ? best : entry),
      undefined,
    );
    if (next === undefined) return undefined;
    this.entries.splice(this.entries.indexOf(next), 1);
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    this.pruneIdle();
    return next.request;
  }

  /**
   * Removes a call at any position and refunds its cost.
   * @param callId - the call
   * @returns whether it was queued
   */
  remove(callId: CallId): boolean {
    const index = this.entries.findIndex(e => e.request.callId === callId);
    if (index < 0) return false;
    const [entry] = this.entries.splice(index, 1);
    if (entry !== undefined) this.refund(entry.request);
    return true;
  }

  /**
   * Removes and returns the calls whose deadline has passed.
   * @param now - present time
   */
  removeExpired(now: Millis): AdmissionRequest[] {
    const expired = this.entries.filter(e => e.request.deadlineAt <= now);
    for (const {request} of expired) this.remove(request.callId);
    return expired.map(({request}) => request);
  }

  /**
   * Removes the call to shed in favour of a new one: a call of a lower
   * priority, or of the same priority with a later virtual start time, as its
   * organisation is further over its share.
   * @param request - the new call
   * @returns the call to shed, or undefined if it is the new one
   */
  displace(request: AdmissionRequest): AdmissionRequest | undefined {
    const last = this.entries.reduce<Entry | undefined>(
      (worst, entry) => (worst && !precedes(worst, entry) ? worst : entry),
      undefined,
    );
    if (last === undefined) return undefined;
    const rank = PRIORITIES.indexOf(request.priority);
    const startTag = this.startTagOf(request);
    if (!precedes({request, rank, startTag}, last)) return undefined;
    this.remove(last.request.callId);
    return last.request;
  }

  /**
   * Counts the queued calls that would run before a new one.
   * @param request - the new call
   */
  countAhead(request: AdmissionRequest): number {
    const rank = PRIORITIES.indexOf(request.priority);
    const entry = {request, rank, startTag: this.startTagOf(request)};
    return this.entries.filter(other => !precedes(entry, other)).length;
  }

  private startTagOf({organisation}: AdmissionRequest): number {
    const finish = this.finishTags.get(organisation) ?? 0;
    return Math.max(this.virtualTime, finish);
  }

  private charge(request: AdmissionRequest): number {
    const startTag = this.startTagOf(request);
    this.finishTags.set(request.organisation, startTag + weightedCost(request));
    return startTag;
  }

  private refund(request: AdmissionRequest): void {
    const {organisation} = request;
    const finish = this.finishTags.get(organisation);
    if (finish === undefined) return;
    this.finishTags.set(organisation, finish - weightedCost(request));
  }

  private pruneIdle(): void {
    for (const [organisation, finish] of this.finishTags) {
      if (finish <= this.virtualTime) this.finishTags.delete(organisation);
    }
  }
}

function weightedCost({cost = 1, weight}: AdmissionRequest): number {
  return cost / weight;
}

/** Returns whether `a` runs before `b`. */
function precedes(a: Entry, b: Entry): boolean {
  if (a.rank !== b.rank) return a.rank > b.rank;
  return a.startTag < b.startTag;
}
