import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {AnswerReader} from './answer_reader.js';
import {CLAIM_TIMEOUT} from './claim_batcher.js';
import type {Claim} from './claim_records.js';
import {
  createCallMessage,
  createClaim,
  createSettleMessage,
  vmOf,
} from './entry_messages.js';
import type {AttemptId} from './ledger_entry.js';
import type {
  AnswerMessage,
  RefusedMessage,
  RequestMessage,
} from './messages.js';
import {NotRunProof} from './not_run_proof.js';
import {failedOutcome} from './outcome.js';
import type {CallRequest, ClaimResult, EntryEffect} from './types.js';

/** Retries at other upstreams after the first attempt. */
const MAX_RETRIES = 2;
/** Maximum number of claims and attempts of one call. */
const MAX_ATTEMPTS = 8;
/** Retry-After if the reason for the failure gives none. */
const DEFAULT_RETRY_AFTER: Millis = SECOND;

/**
 * `open`: sent, awaiting the answer; `settling`: contact was lost and the
 * sidecar is being queried for the attempt's outcome; `settled`: finished.
 */
type State =
  'looking_up' | 'choosing' | 'claiming' | 'open' | 'settling' | 'settled';

/**
 * State machine of one call at its entry, from the request to the last byte of
 * the answer. Each method handles one event and returns the effects to run.
 */
export class EntryCall {
  private state: State = 'choosing';
  private attempt = 0;
  private upstream: Incarnation | undefined;
  private readonly excluded: Incarnation[] = [];
  private readonly reader = new AnswerReader();
  /** Proof that nothing has run, while that is certain. */
  private proof: NotRunProof | undefined = NotRunProof.nothingSent(0);
  /** Whether an earlier attempt ended with an unknown outcome. */
  private mayHaveRun = false;
  /** The attempt that decides the outcome: this call's or an earlier call's. */
  private target: AttemptId | undefined;
  /** The key claim under which the target runs. */
  private claim: Claim | undefined;
  /** After this time, the claim may already have been released. */
  private claimDeadline: Millis = 0;
  /** Ids of claims proven never to run, with the release not yet appended. */
  private pendingReleases: string[] = [];

  /** @param request - the caller's request */
  constructor(readonly request: CallRequest) {}

  /** Whether the call has its final outcome. */
  get isFinished(): boolean {
    return this.state === 'settled';
  }

  /** The upstream process that has, or may have, the call. */
  get destination(): Incarnation | undefined {
    return this.upstream;
  }

  /**
   * Starts the call.
   * @param now - present time
   */
  start(now: Millis): EntryEffect[] {
    const {key} = this.request;
    if (key?.kind === 'caller') {
      this.state = 'looking_up';
      return [{type: 'look_up'}];
    }
    if (key?.kind === 'issued') return this.onUpstreamChosen(now, key.sidecar);
    return [this.choose(undefined)];
  }

  /**
   * Handles the result of looking up the claim that holds the call's key.
   * @param holder - the claim, if the log contains one
   * @param coveredFrom - wall-clock time since which the log has all claims, ms
   */
  onClaimLookup(holder: Claim | undefined, coveredFrom = 0): EntryEffect[] {
    if (this.state !== 'looking_up') return [];
    if (holder !== undefined) return this.followClaim(holder);
    const {key} = this.request;
    const createdAt = key?.kind === 'caller' ? key.createdAt : undefined;
    if (createdAt !== undefined && createdAt < coveredFrom) {
      return this.fail('key_expired', 0);
    }
    return [this.choose(undefined)];
  }

  /**
   * Claims the key at the chosen upstream, or sends the attempt to it.
   * @param now - present time
   * @param upstream - the upstream's process
   */
  onUpstreamChosen(now: Millis, upstream: Incarnation): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    if (now >= this.request.deadlineAt) return this.onDeadline();
    this.attempt += 1;
    this.upstream = upstream;
    if (this.request.key?.kind === 'caller')
      return this.requestClaim(now, upstream);
    return this.dispatch(now, upstream);
  }

  /**
   * Fails the call because no upstream is available.
   * @param reason - why none is available
   * @param retryAfterMs - Retry-After for the caller, ms
   */
  onNoUpstream(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    return this.fail(reason, retryAfterMs);
  }

  /**
   * Handles the outcome of the claim in the log.
   * @param now - present time
   * @param result - whether this call's claim holds the key
   */
  onClaimResult(now: Millis, result: ClaimResult): EntryEffect[] {
    const {claim, upstream} = this;
    if (this.state !== 'claiming' || !claim || !upstream) return [];
    if (result.kind === 'unavailable') {
      return this.fail('log_unavailable', result.retryAfterMs);
    }
    if (result.kind === 'released') {
      this.claim = undefined;
      return this.retryOrFail('never_received', 0);
    }
    if (result.kind === 'lost') {
      this.claim = undefined;
      return this.followClaim(result.holder);
    }
    if (now >= this.request.deadlineAt) return this.onDeadline();
    if (now > this.claimDeadline) return this.fail('log_unavailable', 0);
    return this.dispatch(now, upstream);
  }

  /**
   * Handles a message that no link accepted.
   * @param message - the message
   */
  onSendFailed(message: RequestMessage): EntryEffect[] {
    const isOwn = message.type === 'call' && message.attempt === this.attempt;
    if (!isOwn || (this.state !== 'open' && this.state !== 'settling')) {
      return [];
    }
    if (this.request.key?.kind === 'issued') {
      // An earlier request with the key may have run there.
      this.state = 'settling';
      return [];
    }
    return this.onNotRun(
      NotRunProof.sendFailed(message),
      'no_upstream',
      SECOND,
    );
  }

  /**
   * Handles a sidecar's message about the call.
   * @param message - the message
   */
  onMessage(message: AnswerMessage): EntryEffect[] {
    if (this.state === 'settled') return [{type: 'drop', why: 'settled'}];
    const isOpen = this.state === 'open' || this.state === 'settling';
    if (!isOpen || message.attempt !== this.attempt) {
      return [{type: 'drop', why: 'late'}];
    }
    switch (message.type) {
      case 'pending':
        return [];
      case 'refused':
        return this.onRefused(message);
      case 'head':
        return this.applyRead(this.reader.readHead(message));
      case 'data':
        return this.applyRead(this.reader.readData(message));
      case 'end':
        return this.applyRead(this.reader.readEnd(message));
      case 'failed':
        return this.onLost(message.reason);
    }
  }

  /**
   * Retries or reconciles the attempt after its link was lost.
   * @param peer - the process at the other end
   */
  onLinkLost(peer: Incarnation): EntryEffect[] {
    if (peer !== this.upstream) return [];
    if (this.state === 'settling') return this.reconcile();
    if (this.state !== 'open') return [];
    if (this.request.idempotent) return this.onLost('upstream_lost');
    this.state = 'settling';
    return this.reconcile();
  }

  /**
   * Reconciles after a reconnect, unless a new process replaced the upstream.
   * @param peer - the process at the other end
   */
  onLinkUp(peer: Incarnation): EntryEffect[] {
    if (this.upstream === undefined) return [];
    if (peer === this.upstream) return this.onLinkLost(peer);
    return vmOf(peer) === vmOf(this.upstream)
      ? this.onPeerGone(this.upstream)
      : [];
  }

  /** Whether the sidecar is being queried for the attempt's outcome. */
  get isReconciling(): boolean {
    return this.state === 'settling';
  }

  /** Sends the query again: it or its answer may have been lost. */
  retryReconcile(): EntryEffect[] {
    return this.state === 'settling' ? this.reconcile() : [];
  }

  /**
   * Handles the end of a process: the attempt's outcome stays unknown.
   * @param peer - the process that ended
   */
  onPeerGone(peer: Incarnation): EntryEffect[] {
    if (peer !== this.upstream) return [];
    if (this.state !== 'open' && this.state !== 'settling') return [];
    return this.onLost('upstream_lost');
  }

  onDeadline(): EntryEffect[] {
    if (this.state === 'settled') return [];
    return [...this.cancelAttempt(), ...this.fail('deadline_passed', 0)];
  }

  /** Aborts the call because the entry shuts down. */
  onShutdown(): EntryEffect[] {
    if (this.state === 'settled') return [];
    return [...this.cancelAttempt(), ...this.fail('draining', 0)];
  }

  /** Cancels the attempt and releases its claims: the caller disconnected. */
  onCallerGone(): EntryEffect[] {
    if (this.state === 'settled') return [];
    const effects = [...this.cancelAttempt(), ...this.releaseClaims()];
    this.state = 'settled';
    return effects;
  }

  /**
   * Grants the sidecar credit for frames that the caller consumed.
   * @param frames - number of frames
   */
  grantCredit(frames: number): EntryEffect[] {
    if (this.state !== 'open' || this.upstream === undefined) return [];
    const {callId} = this.request;
    const {attempt} = this;
    const message = {type: 'credit', callId, attempt, frames} as const;
    return [{type: 'send', to: this.upstream, message}];
  }

  private dispatch(now: Millis, upstream: Incarnation): EntryEffect[] {
    this.state = 'open';
    this.excluded.push(upstream);
    this.proof = undefined;
    const {resumeFrom} = this.reader;
    this.reader.restart();
    const {request, attempt} = this;
    this.target = {callId: request.callId, attempt};
    const message = createCallMessage(now, request, attempt, resumeFrom);
    return [{type: 'send', to: upstream, message}];
  }

  private requestClaim(now: Millis, sidecar: Incarnation): EntryEffect[] {
    const {attempt} = this;
    this.state = 'claiming';
    this.claimDeadline = now + CLAIM_TIMEOUT;
    this.claim = createClaim(this.request, attempt, sidecar);
    const releases = this.pendingReleases.splice(0);
    return [{type: 'claim', claim: this.claim, releases}];
  }

  /** Follows the attempt whose claim already holds the key. */
  private followClaim(holder: Claim): EntryEffect[] {
    if (holder.digest !== this.request.key?.digest) {
      return this.fail('key_reused', 0);
    }
    this.state = 'settling';
    this.attempt += 1;
    this.proof = undefined;
    this.claim = holder;
    this.target = {callId: holder.callId, attempt: holder.attempt};
    this.upstream = holder.sidecar;
    this.reader.restart();
    return this.reconcile();
  }

  private reconcile(): EntryEffect[] {
    const {upstream, target, request, attempt} = this;
    if (upstream === undefined || target === undefined) return [];
    const from = this.reader.nextSeq;
    const message = createSettleMessage(request, attempt, target, from);
    return [{type: 'send', to: upstream, message}];
  }

  private onRefused(message: RefusedMessage): EntryEffect[] {
    const {reason, retryAfterMs} = message;
    return this.onNotRun(NotRunProof.rejectedBy(message), reason, retryAfterMs);
  }

  /** Retries or fails after proof that the target never runs. */
  private onNotRun(
    proof: NotRunProof,
    reason: ErrorName,
    retryAfterMs: Millis,
  ): EntryEffect[] {
    this.proof = proof;
    if (this.claim !== undefined) this.pendingReleases.push(this.claim.id);
    this.claim = undefined;
    if (this.request.key?.kind === 'issued') {
      return this.fail(reason, retryAfterMs);
    }
    return this.retryOrFail(reason, retryAfterMs);
  }

  private applyRead(result: EntryEffect[] | 'broken'): EntryEffect[] {
    if (result === 'broken') return this.onBroken();
    if (result.some(({type}) => type === 'end')) this.state = 'settled';
    return result;
  }

  /** Handles a gap in the frames: requests a replay, or loses the attempt. */
  private onBroken(): EntryEffect[] {
    if (this.request.idempotent) return this.onLost('upstream_failed');
    if (this.state === 'settling') return [];
    this.state = 'settling';
    return this.reconcile();
  }

  /** Handles an attempt without a whole answer that may have run. */
  private onLost(reason: ErrorName): EntryEffect[] {
    this.mayHaveRun = true;
    const {isDelivering, resumeFrom} = this.reader;
    const isStuck = isDelivering && resumeFrom === undefined;
    if (!this.request.idempotent || isStuck) return this.fail(reason, 0);
    return [...this.cancelAttempt(), ...this.retryOrFail(reason, 0)];
  }

  private retryOrFail(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    const isLast =
      this.excluded.length > MAX_RETRIES || this.attempt >= MAX_ATTEMPTS;
    if (isLast) return this.fail(reason, retryAfterMs);
    // Not a retry if the call has not been sent yet.
    return [this.choose(this.excluded.length === 0 ? undefined : reason)];
  }

  private choose(retryOf: ErrorName | undefined): EntryEffect {
    this.state = 'choosing';
    return {type: 'choose', exclude: [...this.excluded], retryOf};
  }

  private fail(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    const releases = this.releaseClaims();
    this.state = 'settled';
    const proof =
      this.mayHaveRun || this.reader.isDelivering ? undefined : this.proof;
    const retryAfter = retryAfterMs || DEFAULT_RETRY_AFTER;
    const outcome = failedOutcome(this.request, proof, reason, retryAfter);
    const type = this.reader.isDelivering ? 'abort' : 'finish';
    return [...releases, {type, outcome}];
  }

  /** Releases the key if nothing ran under the call's claims. */
  private releaseClaims(): EntryEffect[] {
    const ids = this.pendingReleases.splice(0);
    if (this.state === 'claiming' && this.claim) ids.push(this.claim.id);
    return ids.length === 0 ? [] : [{type: 'release', releases: ids}];
  }

  private cancelAttempt(): EntryEffect[] {
    if (this.state !== 'open' && this.state !== 'settling') return [];
    if (this.upstream === undefined) return [];
    const {callId} = this.request;
    const message = {type: 'cancel', callId, attempt: this.attempt} as const;
    return [{type: 'send', to: this.upstream, message}];
  }
}
