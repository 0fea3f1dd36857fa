import type {Incarnation, Millis} from '../core/index.js';
import {HOUR, MINUTE} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {ReplayBuffer} from './replay_buffer.js';
import type {AnswerHead, AnswerPiece} from './replay_buffer.js';
import {
  NEVER_RECEIVED,
  formatId,
  listenerOf,
  rejections,
  address,
} from './ledger_entry.js';
import type {
  AttemptId,
  LedgerEntry,
  LedgerState,
  Listener,
  Reply,
  UnaddressedAnswer,
} from './ledger_entry.js';
import type {CallMessage, SettleMessage} from './messages.js';

/** How long an attempt that may run again is remembered: late frames only. */
const LATE_FRAME_RETENTION: Millis = MINUTE;
/** Time from a key's issue in which it can be used. */
export const KEY_WINDOW: Millis = HOUR;
/** How long any other attempt is: beyond the window of its key. */
const ATTEMPT_RETENTION: Millis = KEY_WINDOW + 5 * MINUTE;
/** Attempts that are remembered; beyond it, new ones are refused. */
const MAX_LEDGER_ENTRIES = 100_000;
/** Largest answer that is kept for a repeat, bytes. */
const MAX_CACHED_ANSWER_BYTES = 256 * 2 ** 10;
/** All answers that are kept, bytes. */
const MAX_CACHED_BYTES = 16 * 2 ** 20;
const FULL_RETRY_AFTER: Millis = MINUTE;

/** What becomes of a call that has come. */
export interface AcceptResult {
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
  private readonly keyOwners = new Map<string, LedgerEntry>();
  private totalBytes = 0;

  /** @param maxEntries - attempts that are remembered at most */
  constructor(private readonly maxEntries = MAX_LEDGER_ENTRIES) {}

  /** Attempts that are remembered. */
  get size(): number {
    return this.entries.size;
  }

  /** Bytes of all answers that are kept. */
  get cachedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Takes an attempt in, unless it or its key was taken before.
   * @param now - present time
   * @param from - the entry that sent it
   * @param call - the attempt
   * @param receivedAt - when it was received, by the same clock as `now`
   */
  accept(
    now: Millis,
    from: Incarnation,
    call: CallMessage,
    receivedAt: Millis = now,
  ): AcceptResult {
    const known = this.entries.get(formatId(call));
    const listener = listenerOf(from, call);
    if (known !== undefined) {
      const isRejected = known.state === 'not-run';
      return {
        isNew: false,
        replies: isRejected ? rejections(known, listener) : [],
      };
    }
    const deadlineAt = receivedAt + call.remainingMs;
    const entry = this.addEntry(call, deadlineAt, [listener]);
    const owner = this.ownerOf(call) ?? this.earlierAttempt(call);
    if (owner !== undefined) return this.attach(now, entry, owner, listener);
    if (this.entries.size > this.maxEntries && !call.idempotent) {
      const replies = this.reject(now, call, 'overloaded', FULL_RETRY_AFTER);
      return {isNew: false, replies};
    }
    if (call.key !== undefined) this.keyOwners.set(call.key, entry);
    return {isNew: true, replies: []};
  }

  /**
   * A queued attempt is about to run.
   * @param now - present time
   * @param id - the attempt
   * @returns whether it may; if not, it is refused
   */
  start(now: Millis, id: AttemptId): {isStarted: boolean; replies: Reply[]} {
    const entry = this.entries.get(formatId(id));
    if (entry?.state !== 'queued') return {isStarted: false, replies: []};
    if (now >= entry.deadlineAt) {
      const replies = this.reject(now, id, 'deadline_passed', 0);
      return {isStarted: false, replies};
    }
    entry.state = 'running';
    return {isStarted: true, replies: []};
  }

  /**
   * An attempt is certain not to have run and never will.
   * @param now - present time
   * @param id - the attempt
   * @param reason - why
   * @param retryAfterMs - when coming back makes sense, ms
   */
  reject(
    now: Millis,
    id: AttemptId,
    reason: ErrorName,
    retryAfterMs: Millis,
  ): Reply[] {
    const entry = this.findOpen(id);
    if (entry === undefined) return [];
    entry.rejection = {reason, retryAfterMs};
    return this.close(now, entry, 'not-run').flatMap(to =>
      rejections(entry, to),
    );
  }

  /**
   * The upstream began to answer.
   * @param id - the attempt
   * @param head - head of the answer
   */
  recordHead(id: AttemptId, head: AnswerHead): Reply[] {
    const entry = this.findOpen(id);
    if (entry === undefined) return [];
    entry.answer.setHead(head);
    return entry.listeners.map(to =>
      address(to, {type: 'head', seq: 0, ...head}),
    );
  }

  /**
   * A piece of the upstream's answer.
   * @param id - the attempt
   * @param piece - the piece
   */
  recordData(id: AttemptId, piece: AnswerPiece): Reply[] {
    const entry = this.findOpen(id);
    if (entry === undefined) return [];
    const before = entry.answer.retainedBytes;
    const seq = entry.answer.append(piece);
    this.totalBytes += entry.answer.retainedBytes - before;
    return entry.listeners.map(to =>
      address(to, {type: 'data', seq, ...piece}),
    );
  }

  /**
   * The upstream's answer is whole.
   * @param now - present time
   * @param id - the attempt
   */
  complete(now: Millis, id: AttemptId): Reply[] {
    const entry = this.findOpen(id);
    if (entry === undefined) return [];
    const {frames, bytes} = entry.answer;
    const replies = this.close(now, entry, 'whole').map(to =>
      address(to, {type: 'end', frames, bytes}),
    );
    this.evictAnswers();
    return replies;
  }

  /**
   * The upstream gave no whole answer; the attempt may have run.
   * @param now - present time
   * @param id - the attempt
   * @param reason - why
   */
  fail(now: Millis, id: AttemptId, reason: ErrorName): Reply[] {
    const entry = this.findOpen(id);
    if (entry === undefined) return [];
    entry.rejection = {reason, retryAfterMs: 0};
    this.dropAnswer(entry);
    return this.close(now, entry, 'failed').map(to =>
      address(to, {type: 'failed', reason}),
    );
  }

  /**
   * Tells what became of an attempt. One that is not known never runs.
   * @param now - present time
   * @param from - the entry that asks
   * @param message - its question
   */
  reconcile(now: Millis, from: Incarnation, message: SettleMessage): Reply[] {
    const listener = listenerOf(from, message);
    const entry = this.entries.get(formatId(message.target));
    if (entry !== undefined) return this.replay(entry, listener, message.from);
    const owner = this.ownerOf(message);
    if (owner === undefined || owner.digest !== message.digest) {
      const reason = owner === undefined ? NEVER_RECEIVED.reason : 'key_reused';
      const tombstone = this.addTombstone(now, message.target, reason);
      return rejections(tombstone, listener);
    }
    this.entries.set(formatId(message.target), owner);
    return this.replay(owner, listener, message.from);
  }

  /**
   * An entry wants an answer no longer.
   * @param from - the entry
   * @param id - the attempt, as the entry names it
   * @returns the attempt to stop, if nobody is left who needs it
   */
  cancel(from: Incarnation, id: AttemptId): AttemptId | undefined {
    const entry = this.entries.get(formatId(id));
    if (entry === undefined) return undefined;
    const cancelledId = formatId(id);
    entry.listeners = entry.listeners.filter(
      other => other.to !== from || formatId(other) !== cancelledId,
    );
    if (entry.listeners.length > 0) return undefined;
    const isStoppable = entry.state === 'queued' || entry.idempotent;
    return isStoppable ? entry.id : undefined;
  }

  /**
   * Whether an answer is passed on only as fast as its caller takes it. One
   * that is kept is not: a repeat may need it when the first caller is gone.
   * @param id - the attempt
   */
  isFlowControlled(id: AttemptId): boolean {
    const entry = this.entries.get(formatId(id));
    return entry === undefined || entry.answer.retainedBytes === 0;
  }

  /** Forgets what ended long ago. */
  sweep(now: Millis): void {
    for (const [id, entry] of this.entries) {
      if (entry.endedAt === undefined) continue;
      const isSafeToRerun = entry.idempotent || entry.state === 'not-run';
      const retention = isSafeToRerun
        ? LATE_FRAME_RETENTION
        : ATTEMPT_RETENTION;
      if (now - entry.endedAt <= retention) continue;
      this.entries.delete(id);
      this.dropAnswer(entry);
      if (entry.key === undefined) continue;
      if (this.keyOwners.get(entry.key) === entry)
        this.keyOwners.delete(entry.key);
    }
  }

  private addEntry(
    call: CallMessage,
    deadlineAt: Millis,
    listeners: Listener[],
  ): LedgerEntry {
    const {callId, attempt, idempotent, digest} = call;
    const entry: LedgerEntry = {
      id: {callId, attempt},
      idempotent,
      key: call.key,
      digest,
      deadlineAt,
      state: 'queued',
      rejection: NEVER_RECEIVED,
      answer: new ReplayBuffer(idempotent ? 0 : MAX_CACHED_ANSWER_BYTES),
      listeners,
      endedAt: undefined,
    };
    this.entries.set(formatId(call), entry);
    return entry;
  }

  /** Makes it certain that an attempt which has not come never runs. */
  private addTombstone(
    now: Millis,
    id: AttemptId,
    reason: ErrorName,
  ): LedgerEntry {
    const entry: LedgerEntry = {
      id,
      idempotent: false,
      key: undefined,
      digest: undefined,
      deadlineAt: now,
      state: 'not-run',
      rejection: {reason, retryAfterMs: 0},
      answer: new ReplayBuffer(0),
      listeners: [],
      endedAt: now,
    };
    this.entries.set(formatId(id), entry);
    return entry;
  }

  /** The owner of a key, unless it is certain that it never ran. */
  private ownerOf({key}: Pick<CallMessage, 'key'>): LedgerEntry | undefined {
    if (key === undefined) return undefined;
    const owner = this.keyOwners.get(key);
    return owner?.state === 'not-run' ? undefined : owner;
  }

  /** An earlier attempt of a call that is not idempotent and may have run. */
  private earlierAttempt(call: CallMessage): LedgerEntry | undefined {
    if (call.idempotent) return undefined;
    const {callId} = call;
    for (let attempt = call.attempt - 1; attempt > 0; attempt--) {
      const entry = this.entries.get(formatId({callId, attempt}));
      if (entry !== undefined && entry.state !== 'not-run') return entry;
    }
    return undefined;
  }

  /** Lets an attempt follow the one that has its key. */
  private attach(
    now: Millis,
    entry: LedgerEntry,
    owner: LedgerEntry,
    listener: Listener,
  ): AcceptResult {
    if (owner.digest !== entry.digest) {
      const replies = this.reject(now, entry.id, 'key_reused', 0);
      return {isNew: false, replies};
    }
    this.entries.set(formatId(entry.id), owner);
    return {isNew: false, replies: this.replay(owner, listener, 0)};
  }

  private replay(entry: LedgerEntry, listener: Listener, seq: number): Reply[] {
    const frame = (message: UnaddressedAnswer) => address(listener, message);
    if (entry.state === 'not-run') return rejections(entry, listener);
    if (entry.state === 'failed') {
      return [frame({type: 'failed', reason: entry.rejection.reason})];
    }
    const replies: Reply[] = [];
    const {head, frames, bytes} = entry.answer;
    if (seq === 0 && head !== undefined) {
      replies.push(frame({type: 'head', seq: 0, ...head}));
    }
    const pieces = entry.answer.piecesFrom(seq);
    if (pieces === undefined) {
      return [frame({type: 'failed', reason: 'answer_expired'})];
    }
    pieces.forEach((piece, index) => {
      replies.push(
        frame({type: 'data', seq: Math.max(seq, 1) + index, ...piece}),
      );
    });
    if (entry.state === 'whole') {
      return [...replies, frame({type: 'end', frames, bytes})];
    }
    const id = formatId(listener);
    entry.listeners = entry.listeners.filter(other => formatId(other) !== id);
    entry.listeners.push(listener);
    return [frame({type: 'pending'}), ...replies];
  }

  private findOpen(id: AttemptId): LedgerEntry | undefined {
    const entry = this.entries.get(formatId(id));
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
    this.totalBytes -= entry.answer.retainedBytes;
    entry.answer.discard();
  }

  /** Gives up the oldest answers until the rest is within the bound. */
  private evictAnswers(): void {
    for (const entry of this.entries.values()) {
      if (this.totalBytes <= MAX_CACHED_BYTES) return;
      if (entry.state === 'whole') this.dropAnswer(entry);
    }
  }
}
