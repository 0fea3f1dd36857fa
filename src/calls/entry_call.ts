import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {AnswerReader} from './answer_reader.js';
import {CLAIM_WITHIN} from './claim_batcher.js';
import type {Claim} from './claim_records.js';
import {callMessage, claimOf, settleMessage, vmOf} from './entry_messages.js';
import type {AttemptName} from './ledger_entry.js';
import type {
  AnswerMessage,
  RefusedMessage,
  RequestMessage,
} from './messages.js';
import {NotRunProof} from './not_run_proof.js';
import {notDone} from './outcome.js';
import type {CallRequest, ClaimResult, EntryEffect} from './types.js';

/** Upstreams that are tried after the first. */
const MAX_RETRIES = 2;
/** Claims and attempts that one call may make before it gives up. */
const MAX_ATTEMPTS = 8;
/** When coming back makes sense if nothing better is known. */
const DEFAULT_RETRY_AFTER: Millis = SECOND;

/**
 * `open`: sent, an answer may come; `settling`: contact was lost and the
 * sidecar is asked what became of the attempt.
 */
type State =
  'looking_up' | 'choosing' | 'claiming' | 'open' | 'settling' | 'settled';

/**
 * One call as its entry sees it, from the request to the caller's last byte.
 * Each method takes one event and returns what has to be done.
 */
export class EntryCall {
  private state: State = 'choosing';
  private attempt = 0;
  private upstream: Incarnation | undefined;
  private readonly tried: Incarnation[] = [];
  private readonly reader = new AnswerReader();
  /** Evidence that nothing has run, as long as there is any. */
  private proof: NotRunProof | undefined = NotRunProof.nothingSent(0);
  /** Whether an earlier attempt ended without telling if it ran. */
  private mayHaveRun = false;
  /** The attempt whose fate decides: the own one, or an earlier call's. */
  private target: AttemptName | undefined;
  /** The claim under which the target runs. */
  private claim: Claim | undefined;
  /** A claim that is seen later may have been released meanwhile. */
  private claimBy: Millis = 0;
  /** Claims proven never to run, whose release is not written yet. */
  private dead: string[] = [];

  /** @param request - the caller's request */
  constructor(readonly request: CallRequest) {}

  /** Whether the caller got its last byte. */
  get settled(): boolean {
    return this.state === 'settled';
  }

  /** The process that has, or may have, the call. */
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
    if (key?.kind === 'issued') return this.chosen(now, key.sidecar);
    return [this.choose(undefined)];
  }

  /**
   * The standing claim of the call's key was looked up.
   * @param standing - the claim, if the log has shown one
   * @param coveredFrom - time from which the log still has all claims
   */
  lookedUp(standing: Claim | undefined, coveredFrom = 0): EntryEffect[] {
    if (this.state !== 'looking_up') return [];
    if (standing !== undefined) return this.follow(standing);
    const {key} = this.request;
    const madeAt = key?.kind === 'caller' ? key.madeAt : undefined;
    if (madeAt !== undefined && madeAt < coveredFrom) {
      return this.giveUp('key_expired', 0);
    }
    return [this.choose(undefined)];
  }

  /**
   * An upstream was chosen.
   * @param now - present time
   * @param upstream - the upstream's process
   */
  chosen(now: Millis, upstream: Incarnation): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    if (now >= this.request.deadlineAt) return this.deadline();
    this.attempt += 1;
    this.upstream = upstream;
    if (this.request.key?.kind === 'caller')
      return this.wantClaim(now, upstream);
    return this.dispatch(now, upstream);
  }

  /**
   * No upstream can be had.
   * @param reason - why
   * @param retryAfterMs - when coming back makes sense, ms
   */
  noneToChoose(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    return this.giveUp(reason, retryAfterMs);
  }

  /**
   * The log told what became of the claim.
   * @param now - present time
   * @param result - whether the claim stands
   */
  claimed(now: Millis, result: ClaimResult): EntryEffect[] {
    const {claim, upstream} = this;
    if (this.state !== 'claiming' || !claim || !upstream) return [];
    if (result.kind === 'unavailable') {
      return this.giveUp('log_unavailable', result.retryAfterMs);
    }
    if (result.kind === 'released') {
      this.claim = undefined;
      return this.retryOr('never_received', 0);
    }
    if (result.kind === 'lost') {
      this.claim = undefined;
      return this.follow(result.standing);
    }
    if (now >= this.request.deadlineAt) return this.deadline();
    if (now > this.claimBy) return this.giveUp('log_unavailable', 0);
    return this.dispatch(now, upstream);
  }

  /**
   * A message could not be handed to any link.
   * @param message - the message
   */
  unsent(message: RequestMessage): EntryEffect[] {
    const isOwn = message.type === 'call' && message.attempt === this.attempt;
    if (!isOwn || (this.state !== 'open' && this.state !== 'settling')) {
      return [];
    }
    if (this.request.key?.kind === 'issued') {
      // An earlier request with the key may have run there.
      this.state = 'settling';
      return [];
    }
    return this.notRun(
      NotRunProof.notHandedOver(message),
      'no_upstream',
      SECOND,
    );
  }

  /**
   * A sidecar's message about the call.
   * @param message - the message
   */
  receive(message: AnswerMessage): EntryEffect[] {
    if (this.state === 'settled') return [{type: 'drop', why: 'settled'}];
    const isOpen = this.state === 'open' || this.state === 'settling';
    if (!isOpen || message.attempt !== this.attempt) {
      return [{type: 'drop', why: 'late'}];
    }
    switch (message.type) {
      case 'pending':
        return [];
      case 'refused':
        return this.refused(message);
      case 'head':
        return this.read(this.reader.head(message));
      case 'data':
        return this.read(this.reader.data(message));
      case 'end':
        return this.read(this.reader.end(message));
      case 'failed':
        return this.lost(message.reason);
    }
  }

  /**
   * The link to a process was lost.
   * @param peer - the process
   */
  linkLost(peer: Incarnation): EntryEffect[] {
    if (peer !== this.upstream) return [];
    if (this.state === 'settling') return this.ask();
    if (this.state !== 'open') return [];
    if (this.request.idempotent) return this.lost('upstream_lost');
    this.state = 'settling';
    return this.ask();
  }

  /**
   * A link to a process opened.
   * @param peer - the process
   */
  linkUp(peer: Incarnation): EntryEffect[] {
    if (this.upstream === undefined) return [];
    if (peer === this.upstream) return this.linkLost(peer);
    return vmOf(peer) === vmOf(this.upstream) ? this.gone(this.upstream) : [];
  }

  /** Whether the sidecar is being asked what became of the call. */
  get settling(): boolean {
    return this.state === 'settling';
  }

  /** Asks once more: a question or its answer may have been lost. */
  askAgain(): EntryEffect[] {
    return this.state === 'settling' ? this.ask() : [];
  }

  /**
   * A process is gone for good: nobody can tell what it did.
   * @param peer - the process
   */
  gone(peer: Incarnation): EntryEffect[] {
    if (peer !== this.upstream) return [];
    if (this.state !== 'open' && this.state !== 'settling') return [];
    return this.lost('upstream_lost');
  }

  /** The deadline passed. */
  deadline(): EntryEffect[] {
    if (this.state === 'settled') return [];
    return [...this.cancel(), ...this.giveUp('deadline_passed', 0)];
  }

  /** The entry stops before the call is over. */
  cut(): EntryEffect[] {
    if (this.state === 'settled') return [];
    return [...this.cancel(), ...this.giveUp('draining', 0)];
  }

  /** The caller went away. */
  callerGone(): EntryEffect[] {
    if (this.state === 'settled') return [];
    const effects = [...this.cancel(), ...this.releases()];
    this.state = 'settled';
    return effects;
  }

  /**
   * The caller took frames: lets the sidecar send more.
   * @param frames - how many
   */
  consumed(frames: number): EntryEffect[] {
    if (this.state !== 'open' || this.upstream === undefined) return [];
    const {callId} = this.request;
    const {attempt} = this;
    const message = {type: 'credit', callId, attempt, frames} as const;
    return [{type: 'send', to: this.upstream, message}];
  }

  private dispatch(now: Millis, upstream: Incarnation): EntryEffect[] {
    this.state = 'open';
    this.tried.push(upstream);
    this.proof = undefined;
    const {resumeFrom} = this.reader;
    this.reader.restart();
    const {request, attempt} = this;
    this.target = {callId: request.callId, attempt};
    const message = callMessage(now, request, attempt, resumeFrom);
    return [{type: 'send', to: upstream, message}];
  }

  private wantClaim(now: Millis, sidecar: Incarnation): EntryEffect[] {
    const {attempt} = this;
    this.state = 'claiming';
    this.claimBy = now + CLAIM_WITHIN;
    this.claim = claimOf(this.request, attempt, sidecar);
    const releases = this.dead.splice(0);
    return [{type: 'claim', claim: this.claim, releases}];
  }

  /** Waits for what becomes of the claim that came first. */
  private follow(standing: Claim): EntryEffect[] {
    if (standing.digest !== this.request.key?.digest) {
      return this.giveUp('key_reused', 0);
    }
    this.state = 'settling';
    this.attempt += 1;
    this.proof = undefined;
    this.claim = standing;
    this.target = {callId: standing.callId, attempt: standing.attempt};
    this.upstream = standing.sidecar;
    this.reader.restart();
    return this.ask();
  }

  private ask(): EntryEffect[] {
    const {upstream, target, request, attempt} = this;
    if (upstream === undefined || target === undefined) return [];
    const from = this.reader.expected;
    const message = settleMessage(request, attempt, target, from);
    return [{type: 'send', to: upstream, message}];
  }

  private refused(message: RefusedMessage): EntryEffect[] {
    const {reason, retryAfterMs} = message;
    return this.notRun(NotRunProof.refusedBy(message), reason, retryAfterMs);
  }

  /** The target never ran and never will. */
  private notRun(
    proof: NotRunProof,
    reason: ErrorName,
    retryAfterMs: Millis,
  ): EntryEffect[] {
    this.proof = proof;
    if (this.claim !== undefined) this.dead.push(this.claim.id);
    this.claim = undefined;
    if (this.request.key?.kind === 'issued') {
      return this.giveUp(reason, retryAfterMs);
    }
    return this.retryOr(reason, retryAfterMs);
  }

  private read(read: EntryEffect[] | 'broken'): EntryEffect[] {
    if (read === 'broken') return this.broken();
    if (read.some(({type}) => type === 'end')) this.state = 'settled';
    return read;
  }

  /** Frames are missing: a kept answer is asked for, another is given up. */
  private broken(): EntryEffect[] {
    if (this.request.idempotent) return this.lost('upstream_failed');
    if (this.state === 'settling') return [];
    this.state = 'settling';
    return this.ask();
  }

  /** The attempt ended without a whole answer and may have run. */
  private lost(reason: ErrorName): EntryEffect[] {
    this.mayHaveRun = true;
    const {flowing, resumeFrom} = this.reader;
    const stuck = flowing && resumeFrom === undefined;
    if (!this.request.idempotent || stuck) return this.giveUp(reason, 0);
    return [...this.cancel(), ...this.retryOr(reason, 0)];
  }

  private retryOr(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    const isLast =
      this.tried.length > MAX_RETRIES || this.attempt >= MAX_ATTEMPTS;
    if (isLast) return this.giveUp(reason, retryAfterMs);
    // A call that was sent nowhere yet is no retry.
    return [this.choose(this.tried.length === 0 ? undefined : reason)];
  }

  private choose(retryOf: ErrorName | undefined): EntryEffect {
    this.state = 'choosing';
    return {type: 'choose', exclude: [...this.tried], retryOf};
  }

  private giveUp(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    const releases = this.releases();
    this.state = 'settled';
    const proof =
      this.mayHaveRun || this.reader.flowing ? undefined : this.proof;
    const wait = retryAfterMs || DEFAULT_RETRY_AFTER;
    const outcome = notDone(this.request, proof, reason, wait);
    const type = this.reader.flowing ? 'abort' : 'finish';
    return [...releases, {type, outcome}];
  }

  /** Frees the key when nothing ran under the call's claims. */
  private releases(): EntryEffect[] {
    const ids = this.dead.splice(0);
    if (this.state === 'claiming' && this.claim) ids.push(this.claim.id);
    return ids.length === 0 ? [] : [{type: 'release', releases: ids}];
  }

  private cancel(): EntryEffect[] {
    if (this.state !== 'open' && this.state !== 'settling') return [];
    if (this.upstream === undefined) return [];
    const {callId} = this.request;
    const message = {type: 'cancel', callId, attempt: this.attempt} as const;
    return [{type: 'send', to: this.upstream, message}];
  }
}
