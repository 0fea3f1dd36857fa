import type {Incarnation, Millis} from '../core/index.js';
import {HOUR, MINUTE} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {KeptAnswer} from './kept_answer.js';
import type {AnswerHead, AnswerPiece} from './kept_answer.js';
import {NEVER, idOf, listenerOf, refusals, reply} from './ledger_entry.js';
import type {
  AttemptName,
  LedgerEntry,
  LedgerState,
  Listener,
  Reply,
  Unnamed,
} from './ledger_entry.js';
import type {CallMessage, SettleMessage} from './messages.js';

/** How long an attempt that may run again is remembered: late frames only. */
const REMEMBERED_AGAINST_LATE: Millis = MINUTE;
/** Time from a key's issue in which it can be used. */
export const KEY_WINDOW: Millis = HOUR;
/** How long any other attempt is: beyond the window of its key. */
const REMEMBERED: Millis = KEY_WINDOW + 5 * MINUTE;
/** Attempts that are remembered; beyond it, new ones are refused. */
const MAX_REMEMBERED = 100_000;
/** Largest answer that is kept for a repeat, bytes. */
const MAX_KEPT_ANSWER = 256 * 2 ** 10;
/** All answers that are kept, bytes. */
const MAX_KEPT = 16 * 2 ** 20;
const RETRY_AFTER_FULL: Millis = MINUTE;

/** What becomes of a call that has come. */
export interface Taken {
  /** Whether it is new and may be offered to the queue. */
  readonly isNew: boolean;
  readonly replies: readonly Reply[];
}

/**
 * All attempts that a sidecar knows: each is taken once, a refused one never
 * runs later, and an answer is kept for whoever asks for it again.
 */
export class CallLedger {
  private readonly entries = new Map<string, LedgerEntry>();
  /** The attempt that owns each key that the system issued. */
  private readonly owners = new Map<string, LedgerEntry>();
  private keptBytes = 0;

  /** @param maxRemembered - attempts that are remembered at most */
  constructor(private readonly maxRemembered = MAX_REMEMBERED) {}

  /** Attempts that are remembered. */
  get size(): number {
    return this.entries.size;
  }

  /** Bytes of all answers that are kept. */
  get bytes(): number {
    return this.keptBytes;
  }

  /**
   * Takes an attempt in, unless it or its key was taken before.
   * @param now - present time
   * @param from - the entry that sent it
   * @param call - the attempt
   * @param receivedAt - when it was received, by the same clock as `now`
   */
  take(
    now: Millis,
    from: Incarnation,
    call: CallMessage,
    receivedAt: Millis = now,
  ): Taken {
    const known = this.entries.get(idOf(call));
    const listener = listenerOf(from, call);
    if (known !== undefined) {
      const again = known.state === 'not-run';
      return {isNew: false, replies: again ? refusals(known, listener) : []};
    }
    const deadlineAt = receivedAt + call.remainingMs;
    const entry = this.add(call, deadlineAt, [listener]);
    const rival = this.ownerOf(call) ?? this.earlier(call);
    if (rival !== undefined) return this.yield(now, entry, rival, listener);
    if (this.entries.size > this.maxRemembered && !call.idempotent) {
      const replies = this.refuse(now, call, 'overloaded', RETRY_AFTER_FULL);
      return {isNew: false, replies};
    }
    if (call.key !== undefined) this.owners.set(call.key, entry);
    return {isNew: true, replies: []};
  }

  /**
   * A queued attempt is about to run.
   * @param now - present time
   * @param name - the attempt
   * @returns whether it may; if not, it is refused
   */
  start(now: Millis, name: AttemptName): {run: boolean; replies: Reply[]} {
    const entry = this.entries.get(idOf(name));
    if (entry?.state !== 'queued') return {run: false, replies: []};
    if (now >= entry.deadlineAt) {
      const replies = this.refuse(now, name, 'deadline_passed', 0);
      return {run: false, replies};
    }
    entry.state = 'running';
    return {run: true, replies: []};
  }

  /**
   * An attempt is certain not to have run and never will.
   * @param now - present time
   * @param name - the attempt
   * @param reason - why
   * @param retryAfterMs - when coming back makes sense, ms
   */
  refuse(
    now: Millis,
    name: AttemptName,
    reason: ErrorName,
    retryAfterMs: Millis,
  ): Reply[] {
    const entry = this.open(name);
    if (entry === undefined) return [];
    entry.refusal = {reason, retryAfterMs};
    return this.close(now, entry, 'not-run').flatMap(to => refusals(entry, to));
  }

  /**
   * The upstream began to answer.
   * @param name - the attempt
   * @param head - head of the answer
   */
  head(name: AttemptName, head: AnswerHead): Reply[] {
    const entry = this.open(name);
    if (entry === undefined) return [];
    entry.answer.begin(head);
    return entry.listeners.map(to =>
      reply(to, {type: 'head', seq: 0, ...head}),
    );
  }

  /**
   * A piece of the upstream's answer.
   * @param name - the attempt
   * @param piece - the piece
   */
  data(name: AttemptName, piece: AnswerPiece): Reply[] {
    const entry = this.open(name);
    if (entry === undefined) return [];
    const before = entry.answer.keptBytes;
    const seq = entry.answer.add(piece);
    this.keptBytes += entry.answer.keptBytes - before;
    return entry.listeners.map(to => reply(to, {type: 'data', seq, ...piece}));
  }

  /**
   * The upstream's answer is whole.
   * @param now - present time
   * @param name - the attempt
   */
  end(now: Millis, name: AttemptName): Reply[] {
    const entry = this.open(name);
    if (entry === undefined) return [];
    const {frames, bytes} = entry.answer;
    const replies = this.close(now, entry, 'whole').map(to =>
      reply(to, {type: 'end', frames, bytes}),
    );
    this.evict();
    return replies;
  }

  /**
   * The upstream gave no whole answer; the attempt may have run.
   * @param now - present time
   * @param name - the attempt
   * @param reason - why
   */
  fail(now: Millis, name: AttemptName, reason: ErrorName): Reply[] {
    const entry = this.open(name);
    if (entry === undefined) return [];
    entry.refusal = {reason, retryAfterMs: 0};
    this.dropAnswer(entry);
    return this.close(now, entry, 'failed').map(to =>
      reply(to, {type: 'failed', reason}),
    );
  }

  /**
   * Tells what became of an attempt. One that is not known never runs.
   * @param now - present time
   * @param from - the entry that asks
   * @param message - its question
   */
  settle(now: Millis, from: Incarnation, message: SettleMessage): Reply[] {
    const listener = listenerOf(from, message);
    const entry = this.entries.get(idOf(message.target));
    if (entry !== undefined) return this.replay(entry, listener, message.from);
    const owner = this.ownerOf(message);
    if (owner === undefined || owner.digest !== message.digest) {
      const reason = owner === undefined ? NEVER.reason : 'key_reused';
      const tombstone = this.tombstone(now, message.target, reason);
      return refusals(tombstone, listener);
    }
    this.entries.set(idOf(message.target), owner);
    return this.replay(owner, listener, message.from);
  }

  /**
   * An entry wants an answer no longer.
   * @param from - the entry
   * @param name - the attempt, as the entry names it
   * @returns the attempt to stop, if nobody is left who needs it
   */
  cancel(from: Incarnation, name: AttemptName): AttemptName | undefined {
    const entry = this.entries.get(idOf(name));
    if (entry === undefined) return undefined;
    const gone = idOf(name);
    entry.listeners = entry.listeners.filter(
      other => other.to !== from || idOf(other) !== gone,
    );
    if (entry.listeners.length > 0) return undefined;
    const stoppable = entry.state === 'queued' || entry.idempotent;
    return stoppable ? entry.name : undefined;
  }

  /**
   * Whether an answer is passed on only as fast as its caller takes it. One
   * that is kept is not: a repeat may need it when the first caller is gone.
   * @param name - the attempt
   */
  isPaced(name: AttemptName): boolean {
    const entry = this.entries.get(idOf(name));
    return entry === undefined || entry.answer.keptBytes === 0;
  }

  /**
   * Forgets what ended long ago.
   * @param now - present time
   */
  sweep(now: Millis): void {
    for (const [id, entry] of this.entries) {
      if (entry.endedAt === undefined) continue;
      const harmless = entry.idempotent || entry.state === 'not-run';
      const span = harmless ? REMEMBERED_AGAINST_LATE : REMEMBERED;
      if (now - entry.endedAt <= span) continue;
      this.entries.delete(id);
      this.dropAnswer(entry);
      if (entry.key === undefined) continue;
      if (this.owners.get(entry.key) === entry) this.owners.delete(entry.key);
    }
  }

  private add(
    call: CallMessage,
    deadlineAt: Millis,
    listeners: Listener[],
  ): LedgerEntry {
    const {callId, attempt, idempotent, digest} = call;
    const entry: LedgerEntry = {
      name: {callId, attempt},
      idempotent,
      key: call.key,
      digest,
      deadlineAt,
      state: 'queued',
      refusal: NEVER,
      answer: new KeptAnswer(idempotent ? 0 : MAX_KEPT_ANSWER),
      listeners,
      endedAt: undefined,
    };
    this.entries.set(idOf(call), entry);
    return entry;
  }

  /** Makes it certain that an attempt which has not come never runs. */
  private tombstone(
    now: Millis,
    name: AttemptName,
    reason: ErrorName,
  ): LedgerEntry {
    const entry: LedgerEntry = {
      name,
      idempotent: false,
      key: undefined,
      digest: undefined,
      deadlineAt: now,
      state: 'not-run',
      refusal: {reason, retryAfterMs: 0},
      answer: new KeptAnswer(0),
      listeners: [],
      endedAt: now,
    };
    this.entries.set(idOf(name), entry);
    return entry;
  }

  /** The owner of a key, unless it is certain that it never ran. */
  private ownerOf({key}: Pick<CallMessage, 'key'>): LedgerEntry | undefined {
    if (key === undefined) return undefined;
    const owner = this.owners.get(key);
    return owner?.state === 'not-run' ? undefined : owner;
  }

  /** An earlier attempt of a call that is not idempotent and may have run. */
  private earlier(call: CallMessage): LedgerEntry | undefined {
    if (call.idempotent) return undefined;
    const {callId} = call;
    for (let attempt = call.attempt - 1; attempt > 0; attempt--) {
      const entry = this.entries.get(idOf({callId, attempt}));
      if (entry !== undefined && entry.state !== 'not-run') return entry;
    }
    return undefined;
  }

  /** Lets an attempt follow the one that has its key. */
  private yield(
    now: Millis,
    entry: LedgerEntry,
    rival: LedgerEntry,
    listener: Listener,
  ): Taken {
    if (rival.digest !== entry.digest) {
      const replies = this.refuse(now, entry.name, 'key_reused', 0);
      return {isNew: false, replies};
    }
    this.entries.set(idOf(entry.name), rival);
    return {isNew: false, replies: this.replay(rival, listener, 0)};
  }

  private replay(entry: LedgerEntry, listener: Listener, seq: number): Reply[] {
    const say = (message: Unnamed) => reply(listener, message);
    if (entry.state === 'not-run') return refusals(entry, listener);
    if (entry.state === 'failed') {
      return [say({type: 'failed', reason: entry.refusal.reason})];
    }
    const replies: Reply[] = [];
    const {start, frames, bytes} = entry.answer;
    if (seq === 0 && start !== undefined) {
      replies.push(say({type: 'head', seq: 0, ...start}));
    }
    const pieces = entry.answer.from(seq);
    if (pieces === undefined) {
      return [say({type: 'failed', reason: 'answer_expired'})];
    }
    pieces.forEach((piece, index) => {
      replies.push(
        say({type: 'data', seq: Math.max(seq, 1) + index, ...piece}),
      );
    });
    if (entry.state === 'whole') {
      return [...replies, say({type: 'end', frames, bytes})];
    }
    const id = idOf(listener);
    entry.listeners = entry.listeners.filter(other => idOf(other) !== id);
    entry.listeners.push(listener);
    return [say({type: 'pending'}), ...replies];
  }

  private open(name: AttemptName): LedgerEntry | undefined {
    const entry = this.entries.get(idOf(name));
    const isOpen = entry?.state === 'queued' || entry?.state === 'running';
    return isOpen ? entry : undefined;
  }

  private close(
    now: Millis,
    entry: LedgerEntry,
    state: LedgerState,
  ): Listener[] {
    entry.state = state;
    entry.endedAt = now;
    return entry.listeners.splice(0);
  }

  private dropAnswer(entry: LedgerEntry): void {
    this.keptBytes -= entry.answer.keptBytes;
    entry.answer.drop();
  }

  /** Gives up the oldest answers until the rest is within the bound. */
  private evict(): void {
    for (const entry of this.entries.values()) {
      if (this.keptBytes <= MAX_KEPT) return;
      if (entry.state === 'whole') this.dropAnswer(entry);
    }
  }
}
