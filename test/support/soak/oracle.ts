import {bodyOf, eventOf} from './records.js';
import type {RequestRecord, Run, Seen} from './records.js';
import {AFTERMATH_MS} from './fleet.js';
import type {EntrySlot} from './fleet.js';
import {
  GRACE_S,
  HEADER_TIMEOUT_MS,
  MAX_ATTEMPTS,
  RETRY_RATIO,
  RETRY_SLACK,
  RETRY_WINDOW_MS,
} from './routes.js';

/** A broken rule. */
export interface Violation {
  readonly rule: string;
  readonly id: string;
  readonly detail: string;
}

/** Statuses that promise that a request has not run and will not. */
const NOT_RUN = [408, 421, 429, 503];
/** Own errors of an entry that deny a proper request. */
const DENIALS = [400, 401, 403, 404, 405, 411, 413, 414, 417, 431];
/** Time after a request's last byte in which it may cross the entry's close, ms. */
const CROSSING_MS = 1_000;
/** A deadline is taken for passed this long before it, ms. */
const DEADLINE_SLACK_MS = 400;
const MS_PER_S = 1_000;
/** Span about the end of the grace in which an entry ends what it has, ms. */
const LAST_MOMENT_MS = 700;
/** Time in which an entry and an upstream take note of a caller's leaving, ms. */
const LEAVING_MS = 500;
/** Counts up to which the rules tolerate what they forbid. */
const TOLERATED = {gone: 3, late: 8, deadlines: 20, attempts: 3};
/** Callers that read and leave at once, and wait for no other answer first. */
const IN_TIME = ['plain', 'old', 'early_finished', 'early_unfinished'];
/** Share of sound requests that is served at least, beside abusive callers. */
const MIN_SOUND_SHARE = 0.8;
/** Share that counts as broken, beyond the counts above. */
const TOLERATED_SHARE = {working: 0.25, late: 0.25, deadlines: 0.2};

/**
 * Judges what callers and upstreams saw, by the rules of the platform.
 *
 * What the pages allow, or KNOWN-RED.txt lists, is left out here:
 * - Whatever a killed or suspended process loses (LOST holds around planned work).
 * - A sealed 503 of an upstream without `Not-Executed` is passed on (issue 12).
 * - A body without a length looks complete when its entry is killed (issue 44):
 *   the soak kills no entry while one is under way (`isFragile`).
 * - A caller that reads so slowly that the grace is over first is cut then, with what
 *   it has sent behind that answer: no answer can overtake another.
 * - A request whose head takes longer than the limit may get a 400 (if it never runs).
 * - A pipelined request that never ran gets no answer behind one whose upstream broke
 *   off: only the end of the connection tells its caller of that.
 * - A caller that closes its sending half can't be told from one that leaves.
 */
export class Oracle {
  readonly violations: Violation[] = [];

  /**
   * @param slots - the entries
   * @param upstreamPauses - times at which some upstream read nothing, or the soak
   *     itself was held up
   */
  constructor(
    private readonly slots: readonly EntrySlot[],
    private readonly upstreamPauses: () => readonly (readonly [
      number,
      number,
    ])[],
  ) {}

  /**
   * Records a violation.
   * @param rule - the rule
   * @param id - id of the request
   * @param detail - what was seen
   */
  flag(rule: string, id: string, detail: string): void {
    this.violations.push({rule, id, detail});
  }

  /**
   * Judges a response, or the end of its connection.
   * @param record - the request
   * @param seen - what its caller saw
   */
  judge(record: RequestRecord, seen: Seen): void {
    const {status, seal, isWhole, body} = seen;
    if (isWhole) this.judgeWhole(record, seen);
    const run = record.runs.find(one => one.seal === seal);
    if (seal !== undefined && run === undefined) {
      this.flag('MIXED', record.id, `seal ${seal} of another answer`);
    } else if (run !== undefined && run.status !== status) {
      this.flag('MIXED', record.id, `status ${status} for ${run.status}`);
    }
    if (!isWhole) {
      if (body.includes('HTTP/1.1 ')) {
        this.flag('MIXED', record.id, 'a head within a response');
      }
      if (this.isLost(record, seen)) {
        const {behindBroken} = record;
        const behind = record.crossesClose
          ? ' behind a closing answer'
          : behindBroken === undefined
            ? ''
            : ` behind ${behindBroken.id} (runs ${JSON.stringify(behindBroken.runs)})`;
        const upTo = `${body.length} bytes, ${seen.end}${behind}`;
        this.flag('LOST', record.id, `status ${status}, ${upTo}`);
      }
    }
  }

  private judgeWhole(record: RequestRecord, seen: Seen): void {
    const {status, seal, body} = seen;
    const {id} = record;
    const run = record.runs.find(one => one.seal === seal);
    if (seal === undefined) {
      if (status < 300) this.flag('MIXED', id, `${status} without a seal`);
      if (!DENIALS.includes(status) || record.isAbusive) return;
      const isHeldBack = seen.at - record.begunAt > HEADER_TIMEOUT_MS;
      if (isHeldBack && record.runs.length === 0) return;
      // The bytes after the request are what the error answers.
      const rule = record.caller === 'garbage' ? 'MIXED' : 'DENIED';
      this.flag(rule, id, `own ${status} for a proper request`);
      return;
    }
    if (run === undefined) return;
    if (status >= 300) {
      if (body.toString() !== `failed ${seal}`) {
        this.flag('MIXED', id, `body of a failure: ${body.toString()}`);
      }
      return;
    }
    if (record.isStream) {
      const defect = streamDefect(record, body.toString());
      if (defect !== undefined) this.flag('ORDER', id, defect);
      return;
    }
    const whole = bodyOf(run.seal, record.bytes);
    if (whole.equals(body)) return;
    const at = body.findIndex((byte, i) => byte !== whole[i]);
    const from = at === -1 ? whole.length : at;
    const other = body.subarray(from, from + 40).toString('latin1');
    this.flag(
      'MIXED',
      id,
      `${body.length} bytes of ${whole.length}, other from ${from} on: ` +
        JSON.stringify(other),
    );
  }

  private isLost(record: RequestRecord, seen: Seen): boolean {
    const {sentAt, runs, leftAt, isAbusive} = record;
    if (isAbusive) return false;
    // Its head says how much time is left, which may come long before its last byte.
    const deadlineAt = record.begunAt + record.deadlineMs;
    const slot = this.slots[record.slot]!;
    if (leftAt !== undefined || runs.some(run => run.isUnsound)) return false;
    if (seen.at >= deadlineAt - DEADLINE_SLACK_MS) return false;
    if (slot.isDisturbed(sentAt - AFTERMATH_MS, seen.at)) return false;
    // Bytes that it sent beside may reset a connection that has ended in order.
    const hasSentBeside = /^early|^garbage/.test(record.caller);
    if (hasSentBeside && seen.body.length === record.bytes) return false;
    if (runs.length === 0) {
      const isCrossing = record.crossesClose || seen.at - sentAt < CROSSING_MS;
      const {behindBroken} = record;
      const isBehindBroken = behindBroken?.runs.some(run => run.isUnsound);
      const isBehindCut =
        behindBroken !== undefined &&
        behindBroken.runs.length > 0 &&
        this.isCutAtLast(behindBroken, seen.at);
      return !isCrossing && isBehindBroken !== true && !isBehindCut;
    }
    if (this.isCutAtLast(record, seen.at)) return false;
    const graceMs = GRACE_S * MS_PER_S;
    const isStillAtWork = slot.terms.some(term => {
      const limit = term + (graceMs * 5) / 6;
      const isLate = runs.some(run => (run.endedAt ?? Infinity) > limit);
      return isLate && seen.at > limit && sentAt <= term + 3 * MS_PER_S;
    });
    return !isStillAtWork;
  }

  /** Whether its caller had not read an answer at the end of the grace. */
  private isCutAtLast({readsSlowly, slot}: RequestRecord, at: number): boolean {
    const isAtEnd = (term: number) =>
      Math.abs(at - term - GRACE_S * MS_PER_S) < LAST_MOMENT_MS;
    return readsSlowly && this.slots[slot]!.terms.some(isAtEnd);
  }

  /**
   * Judges the whole play, after its last request.
   * @param records - all requests
   */
  judgePlay(records: readonly RequestRecord[]): void {
    for (const record of records) this.judgeRuns(record);
    this.judgeBudget(records);
    this.judgeAttempts(records);
    const sound = records.filter(one => !one.isAbusive);
    this.judgeDeadlines(sound);
    this.judgeLeaving(sound);
    this.judgeLateness(sound);
    if (sound.length < records.length) this.judgeServing(sound);
    for (const slot of this.slots) {
      const ends = [...slot.unexpectedEnds(), ...slot.memoryExcesses()];
      for (const end of ends) this.flag('FAULT', '-', end);
    }
  }

  private judgeRuns({id, isOnce, runs, seen}: RequestRecord): void {
    if (!isOnce) return;
    const ran = runs.filter(run => run.hasRun);
    if (ran.length > 1) {
      this.flag('TWICE', id, ran.map(({seal}) => seal).join(' '));
    }
    const isOwn = seen?.isWhole === true && seen.seal === undefined;
    if (isOwn && NOT_RUN.includes(seen.status) && ran.length > 0) {
      this.flag('REFUSED', id, `${seen.status} though ${ran[0]!.seal} ran`);
    }
  }

  private judgeBudget(records: readonly RequestRecord[]): void {
    // Entries need not have read what abusive callers sent.
    const sends = records
      .filter(one => !one.isAbusive || one.runs.length > 0)
      .map(one => one.sentAt)
      .sort((a, b) => a - b);
    const repeats = records
      .flatMap(({runs}) => runs.slice(1).map(run => run.arrivedAt))
      .sort((a, b) => a - b);
    const within = (times: readonly number[], from: number) =>
      lowerBound(times, from + RETRY_WINDOW_MS) - lowerBound(times, from);
    let worst = {over: 0, detail: ''};
    for (const from of repeats) {
      const requests = Math.max(
        ...[0, 0.5, 1].map(back =>
          within(sends, from - back * RETRY_WINDOW_MS),
        ),
      );
      const allowed = RETRY_RATIO * requests + RETRY_SLACK;
      const count = within(repeats, from);
      const detail = `${count} repeats, ${allowed.toFixed(0)} allowed`;
      if (count - allowed > worst.over) worst = {over: count - allowed, detail};
      this.closestBudget = Math.max(this.closestBudget, count / allowed);
    }
    if (worst.over > 0) this.flag('BUDGET', '-', worst.detail);
  }

  /** Largest share of the allowed repeats that a window had. */
  closestBudget = 0;

  /** Sound requests at undisturbed entries, and those of them that were served. */
  soundServed = 'no abuse';

  private judgeServing(sound: readonly RequestRecord[]): void {
    const owed = sound.filter(
      ({caller, slot, sentAt, seen}) =>
        IN_TIME.includes(caller) &&
        seen !== undefined &&
        !this.slots[slot]!.isDisturbed(sentAt - AFTERMATH_MS, seen.at),
    );
    const served = owed.filter(({seen}) => seen!.isWhole && seen!.status < 300);
    this.soundServed = `${served.length} of ${owed.length} sound ones served`;
    if (served.length >= MIN_SOUND_SHARE * owed.length) return;
    this.flag('STARVED', '-', this.soundServed);
  }

  private judgeAttempts(records: readonly RequestRecord[]): void {
    const over = records.filter(
      ({runs}) => new Set(runs.map(run => run.upstream)).size > MAX_ATTEMPTS,
    );
    if (over.length <= TOLERATED.attempts) return;
    this.flag('BUDGET', over[0]!.id, `${over.length} on too many upstreams`);
  }

  private judgeDeadlines(records: readonly RequestRecord[]): void {
    let passed = 0;
    const over = records.filter(record => {
      const {sentAt, slot, isOnce, isStream, runs, deadlineAt} = record;
      return runs.some((run, i) => {
        const {arrivedAt, deadlineMs} = run;
        if (isStream && !isOnce) return false;
        if (this.isHeldUp(slot, sentAt, arrivedAt)) return false;
        passed += 1;
        if (deadlineMs > record.deadlineMs + 500) return true;
        const first = runs[0]!;
        const end = arrivedAt + deadlineMs - 500;
        return (
          i > 0 &&
          arrivedAt - first.arrivedAt > 500 &&
          end > deadlineAt &&
          end > first.arrivedAt + first.deadlineMs
        );
      });
    });
    const isBroken =
      over.length > TOLERATED.deadlines &&
      over.length > TOLERATED_SHARE.deadlines * passed;
    if (!isBroken) return;
    this.flag('BUDGET', over[0]!.id, `${over.length} handed too much time`);
  }

  private judgeLeaving(records: readonly RequestRecord[]): void {
    const arrivals: {id: string; late: number}[] = [];
    const [working, noticed]: [string[], string[]] = [[], []];
    for (const {id, slot, leftAt, runs, isOnce, seen} of records) {
      if (leftAt === undefined || seen?.isWhole === true) continue;
      const noted = leftAt + LEAVING_MS;
      if (this.isHeldUp(slot, leftAt, noted)) continue;
      const late = runs.filter(({arrivedAt}) => arrivedAt > noted);
      arrivals.push(
        ...late.map(({arrivedAt}) => ({id, late: arrivedAt - leftAt})),
      );
      for (const run of isOnce ? [] : runs) {
        if (run.arrivedAt > leftAt) continue;
        const endedAt = run.endedAt ?? Infinity;
        if (endedAt < leftAt) continue;
        if (endedAt > noted) working.push(id);
        else noticed.push(id);
      }
    }
    if (arrivals.length > TOLERATED.gone) {
      const times = arrivals.map(({late}) => Math.round(late)).join(', ');
      this.flag('GONE', arrivals[0]!.id, `arrive ${times} ms later`);
    }
    const share = working.length / (working.length + noticed.length);
    if (working.length > TOLERATED.gone && share > TOLERATED_SHARE.working) {
      const of = `${working.length} of ${working.length + noticed.length}`;
      this.flag('GONE', working[0]!, `${of} still run`);
    }
  }

  private judgeLateness(records: readonly RequestRecord[]): void {
    const due = records.filter(
      ({seen, slot, sentAt, deadlineAt, caller}) =>
        seen !== undefined &&
        IN_TIME.includes(caller) &&
        seen.at > deadlineAt &&
        !this.isHeldUp(slot, sentAt, deadlineAt + 500),
    );
    const late = due.filter(one => one.seen!.at > one.deadlineAt + 500);
    if (late.length < TOLERATED.late) return;
    if (late.length <= TOLERATED_SHARE.late * due.length) return;
    this.flag('CONFIG', late[0]!.id, `${late.length} of ${due.length} late`);
  }

  private isHeldUp(slot: number, from: number, to: number): boolean {
    const start = from - AFTERMATH_MS;
    return (
      this.slots[slot]!.isDisturbed(start, to) ||
      this.upstreamPauses().some(
        ([a, b]) => a <= to && b + AFTERMATH_MS >= from,
      )
    );
  }
}

/**
 * Returns whether a killed entry leaves an answer that looks complete: one without
 * a length that the system may not have taken whole (KNOWN-RED.txt, issue 44).
 * @param record - the request
 */
export function isFragile(record: RequestRecord): boolean {
  const {framing, isOld, isStream, bytes} = record;
  if (isStream) return isOld;
  return bytes > FRAGILE_BYTES && (framing === 'close' || isOld);
}

/** Length of a body that any connection takes at once, bytes. */
const FRAGILE_BYTES = 16 * 2 ** 10;

const EVENT = /^id: (\d+)\ndata: (\S+) \d+$/;

function streamDefect(record: RequestRecord, text: string): string | undefined {
  const events = text.split('\n\n');
  if (events.pop() !== '') return 'ends within an event';
  const seals: string[] = [];
  for (const [i, event] of events.entries()) {
    const [, number = '', seal = ''] = EVENT.exec(event) ?? [];
    const run: Run | undefined = record.runs.find(one => one.seal === seal);
    if (run === undefined || `${event}\n\n` !== eventOf(seal, i + 1)) {
      return `event ${i + 1}: ${JSON.stringify(event.slice(0, 80))}`;
    }
    if (Number(number) < run.firstEvent) return `event ${number} of no run`;
    if (seal !== seals.at(-1)) seals.push(seal);
  }
  if (events.length !== record.bytes) {
    return `complete with ${events.length} of ${record.bytes} events`;
  }
  if (record.isOnce && seals.length > 1) return `joined: ${seals.join(' ')}`;
  return undefined;
}

/** Returns the index of the first sorted time that is not before a limit. */
function lowerBound(times: readonly number[], limit: number): number {
  let [low, high] = [0, times.length];
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! < limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
