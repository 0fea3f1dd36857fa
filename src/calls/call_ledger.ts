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

/** Retention of attempts that are safe to rerun: covers late frames only. */
const LATE_FRAME_RETENTION: Millis = MINUTE;
/** Time after its creation in which an idempotency key is valid. */
export const KEY_WINDOW: Millis = HOUR;
/** Retention of all other attempts: longer than the window of their key. */
const ATTEMPT_RETENTION: Millis = KEY_WINDOW + 5 * MINUTE;
/** Ledger size above which new non-idempotent attempts are rejected. */
const MAX_LEDGER_ENTRIES = 100_000;
/** Largest answer that is cached for replay, bytes. */
const MAX_CACHED_ANSWER_BYTES = 256 * 2 ** 10;
/** Total size of all cached answers, bytes. */
const MAX_CACHED_BYTES = 16 * 2 ** 20;
const FULL_RETRY_AFTER: Millis = MINUTE;

/** Result of accepting an attempt. */
export interface AcceptResult {
  /** Whether the attempt is new and may be queued. */
  readonly isNew: boolean;
  readonly replies: readonly Reply[];
}

/**
 * Deduplicates attempts at a sidecar: each is accepted once, a rejected one
 * never runs later, and answers are cached for replay to duplicates.
 */
export class CallLedger {
  private readonly entries = new Map<string, LedgerEntry>();
  /** The attempt that owns each issued key. */
  private readonly keyOwners = new Map<string, LedgerEntry>();
  private totalBytes = 0;

  /** @param maxEntries - maximum number of retained attempts */
  constructor(private readonly maxEntries = MAX_LEDGER_ENTRIES) {}

  /** Number of retained attempts. */
  get size(): number {
    return this.entries.size;
  }

  /** Total size of all cached answers, bytes. */
  get cachedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Accepts an attempt, unless it is a duplicate or its key has an owner.
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
      const notRun = known.state === 'not-run';
      return {isNew: false, replies: notRun ? rejections(known, listener) : []};
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
   * Marks a queued attempt as running; rejects it after its deadline.
   * @param now - present time
   * @param id - the attempt
   * @returns whether the attempt may run, and the replies to send
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
   * Rejects an attempt that has not run, so that it never runs.
   * @param now - present time
   * @param id - the attempt
   * @param reason - why it is rejected
   * @param retryAfterMs - Retry-After for the caller, ms
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
   * Records the head of the upstream's answer.
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
   * Records a piece of the upstream's answer.
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
   * Marks the upstream's answer as complete.
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
   * Records an attempt without a complete answer; it may have run.
   * @param now - present time
   * @param id - the attempt
   * @param reason - why it failed
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
   * Reports an attempt's outcome. An unknown attempt never runs from then on.
   * @param now - present time
   * @param from - the entry that queries
   * @param message - its query
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
   * Removes an entry from the listeners of an answer.
   * @param from - the entry
   * @param id - the attempt, under the entry's id
   * @returns the attempt to stop, if it has no listeners left
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
   * Returns whether an answer is sent only as fast as its caller consumes it.
   * A cached one is not: a duplicate may need it after the caller is gone.
   * @param id - the attempt
   */
  isFlowControlled(id: AttemptId): boolean {
    const entry = this.entries.get(formatId(id));
    return entry === undefined || entry.answer.retainedBytes === 0;
  }

  /**
   * Removes ended attempts whose retention has passed.
   * @param now - present time
   */
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

  /** Adds a tombstone, so that an attempt not yet received never runs. */
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

  /** Returns the owner of a key, unless it was rejected. */
  private ownerOf({key}: Pick<CallMessage, 'key'>): LedgerEntry | undefined {
    if (key === undefined) return undefined;
    const owner = this.keyOwners.get(key);
    return owner?.state === 'not-run' ? undefined : owner;
  }

  /** Returns an earlier attempt of a non-idempotent call that may have run. */
  private earlierAttempt(call: CallMessage): LedgerEntry | undefined {
    if (call.idempotent) return undefined;
    const {callId} = call;
    for (let attempt = call.attempt - 1; attempt > 0; attempt--) {
      const entry = this.entries.get(formatId({callId, attempt}));
      if (entry !== undefined && entry.state !== 'not-run') return entry;
    }
    return undefined;
  }

  /** Attaches a duplicate to the attempt that owns its key. */
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

  /** Evicts the oldest cached answers until the total is within its limit. */
  private evictAnswers(): void {
    for (const entry of this.entries.values()) {
      if (this.totalBytes <= MAX_CACHED_BYTES) return;
      if (entry.state === 'whole') this.dropAnswer(entry);
    }
  }
}
