import {PRIORITIES} from '../configuration/index.js';
import type {CallId, Millis, OrganisationName} from '../core/index.js';
import type {Applicant} from './types.js';

/** A waiting call with its place in the order. */
interface Entry {
  readonly applicant: Applicant;
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
   * @param applicant - the call
   */
  add(applicant: Applicant): void {
    const startTag = this.charge(applicant);
    const rank = PRIORITIES.indexOf(applicant.priority);
    this.entries.push({applicant, rank, startTag});
  }

  /**
   * Counts a call that starts without waiting.
   * @param applicant - the call
   */
  passed(applicant: Applicant): void {
    this.virtualTime = Math.max(this.virtualTime, this.charge(applicant));
    this.forgetIdle();
  }

  /** Takes the call that starts next out of the queue. */
  take(): Applicant | undefined {
    const next = this.entries.reduce<Entry | undefined>(
      (best, entry) => (best && !before(entry, best) ? best : entry),
      undefined,
    );
    if (next === undefined) return undefined;
    this.entries.splice(this.entries.indexOf(next), 1);
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    this.forgetIdle();
    return next.applicant;
  }

  /**
   * Takes a call out, wherever it stands, and gives its cost back.
   * @param callId - the call
   * @returns whether it waited
   */
  remove(callId: CallId): boolean {
    const index = this.entries.findIndex(e => e.applicant.callId === callId);
    if (index < 0) return false;
    const [entry] = this.entries.splice(index, 1);
    if (entry !== undefined) this.refund(entry.applicant);
    return true;
  }

  /**
   * Takes out the calls whose deadline has passed.
   * @param now - present time
   */
  takeLate(now: Millis): Applicant[] {
    const late = this.entries.filter(e => e.applicant.deadlineAt <= now);
    for (const {applicant} of late) this.remove(applicant.callId);
    return late.map(({applicant}) => applicant);
  }

  /**
   * Takes out the call to shed for a new one: of a lower priority, or of the
   * same one from an organisation that is further over its share.
   * @param applicant - the new call
   * @returns the call to refuse, or undefined when it is the new one
   */
  displace(applicant: Applicant): Applicant | undefined {
    const last = this.entries.reduce<Entry | undefined>(
      (worst, entry) => (worst && !before(worst, entry) ? worst : entry),
      undefined,
    );
    if (last === undefined) return undefined;
    const rank = PRIORITIES.indexOf(applicant.priority);
    const startTag = this.startTagOf(applicant);
    if (!before({applicant, rank, startTag}, last)) return undefined;
    this.remove(last.applicant.callId);
    return last.applicant;
  }

  /**
   * Counts the waiting calls that a new one would stand behind.
   * @param applicant - the new call
   */
  ahead(applicant: Applicant): number {
    const rank = PRIORITIES.indexOf(applicant.priority);
    const entry = {applicant, rank, startTag: this.startTagOf(applicant)};
    return this.entries.filter(other => !before(entry, other)).length;
  }

  private startTagOf({organisation}: Applicant): number {
    const finish = this.finishTags.get(organisation) ?? 0;
    return Math.max(this.virtualTime, finish);
  }

  private charge(applicant: Applicant): number {
    const startTag = this.startTagOf(applicant);
    this.finishTags.set(applicant.organisation, startTag + share(applicant));
    return startTag;
  }

  private refund(applicant: Applicant): void {
    const {organisation} = applicant;
    const finish = this.finishTags.get(organisation);
    if (finish === undefined) return;
    this.finishTags.set(organisation, finish - share(applicant));
  }

  private forgetIdle(): void {
    for (const [organisation, finish] of this.finishTags) {
      if (finish <= this.virtualTime) this.finishTags.delete(organisation);
    }
  }
}

function share({cost = 1, weight}: Applicant): number {
  return cost / weight;
}

/** Whether `a` goes before `b`. */
function before(a: Entry, b: Entry): boolean {
  if (a.rank !== b.rank) return a.rank > b.rank;
  return a.startTag < b.startTag;
}
