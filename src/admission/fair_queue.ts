import {PRIORITIES} from '../configuration/index.js';
import type {CallId, Millis, OrganisationName} from '../core/index.js';
import type {AdmissionRequest} from './types.js';

/** A waiting call with its place in the order. */
interface Entry {
  readonly request: AdmissionRequest;
  readonly rank: number;
  /** Virtual time at which its service may start. */
  readonly startTag: number;
}

/**
 * The calls that wait at one upstream, in the order of start-time fair
 * queueing: the highest priority first, and within it each organisation gets
 * token cost in proportion to its weight.
 */
export class FairQueue {
  private entries: Entry[] = [];
  private virtualTime = 0;
  /** Virtual time at which the last call of an organisation would end. */
  private readonly finishTags = new Map<OrganisationName, number>();

  /** Calls that wait. */
  get size(): number {
    return this.entries.length;
  }

  /**
   * Puts a call in its place.
   * @param request - the call
   */
  enqueue(request: AdmissionRequest): void {
    const startTag = this.charge(request);
    const rank = PRIORITIES.indexOf(request.priority);
    this.entries.push({request, rank, startTag});
  }

  /**
   * Counts a call that starts without waiting.
   * @param request - the call
   */
  chargeImmediate(request: AdmissionRequest): void {
    this.virtualTime = Math.max(this.virtualTime, this.charge(request));
    this.pruneIdle();
  }

  /** Takes the call that starts next out of the queue. */
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
   * Takes a call out, wherever it stands, and gives its cost back.
   * @param callId - the call
   * @returns whether it waited
   */
  remove(callId: CallId): boolean {
    const index = this.entries.findIndex(e => e.request.callId === callId);
    if (index < 0) return false;
    const [entry] = this.entries.splice(index, 1);
    if (entry !== undefined) this.refund(entry.request);
    return true;
  }

  /**
   * Takes out the calls whose deadline has passed.
   * @param now - present time
   */
  removeExpired(now: Millis): AdmissionRequest[] {
    const expired = this.entries.filter(e => e.request.deadlineAt <= now);
    for (const {request} of expired) this.remove(request.callId);
    return expired.map(({request}) => request);
  }

  /**
   * Takes out the call to shed for a new one: of a lower priority, or of the
   * same one from an organisation that is further over its share.
   * @param request - the new call
   * @returns the call to refuse, or undefined when it is the new one
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
   * Counts the waiting calls that a new one would stand behind.
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

/** Whether `a` goes before `b`. */
function precedes(a: Entry, b: Entry): boolean {
  if (a.rank !== b.rank) return a.rank > b.rank;
  return a.startTag < b.startTag;
}
