import {
  CallLedger,
  ClaimBatcher,
  ClaimRegistry,
  EntryCall,
  issueKey,
  keyScope,
  parseKey,
} from '../../src/calls/index.js';
import type {
  AnswerMessage,
  AttemptId,
  CallMessage,
  CallRequest,
  Claim,
  ClaimRecord,
  EntryEffect,
  Reply,
  RequestMessage,
} from '../../src/calls/index.js';
import {
  callId,
  incarnation,
  offset,
  organisationName,
  recordId,
  serviceName,
} from '../../src/core/index.js';
import type {Incarnation, Millis} from '../../src/core/index.js';

export type KeyKind = 'none' | 'caller' | 'issued';
export const FAULTS = [
  'drop_frame',
  'repeat_frame',
  'late_frame',
  'cut_link',
  'cut_link_keep_frames',
  'crash_sidecar',
  'crash_entry',
  'pause_entry',
  'long_pause',
  'lose_append',
  'lose_append_answer',
  'delay_append',
  'append_unavailable',
  'refuse',
  'fail_upstream',
  'caller_leaves',
  'ask_again',
] as const;
export type Fault = (typeof FAULTS)[number];

const ANSWER_PARTS = ['head', 'one ', 'two ', 'end'] as const;
/** Links drop older frames, see `Link`. */
const MAX_FRAME_AGE: Millis = 10_000;
const LONG_PAUSE: Millis = 70_000;

interface Frame {
  readonly entry: number;
  readonly sidecar: Incarnation;
  readonly isToSidecar: boolean;
  readonly message: RequestMessage | AnswerMessage;
  readonly sentAt: Millis;
  isDelayed: boolean;
}

interface Sidecar {
  incarnation: Incarnation;
  ledger: CallLedger;
  queued: CallMessage[];
  running: {call: CallMessage; part: number}[];
}

interface Caller {
  readonly request: CallRequest;
  readonly op: string;
  kind: 'done' | 'not-run' | 'unknown' | undefined;
  text: string;
  /** Whether it found an earlier claim and queried its outcome. */
  hasFollowedClaim: boolean;
  /** Whether its operation had already run when the request arrived. */
  readonly hadRun: boolean;
  /** Whether the caller still waits for the answer. */
  isWaiting: boolean;
}

interface Entry {
  incarnation: Incarnation;
  calls: Map<string, {call: EntryCall; caller: Caller}>;
  inbox: (() => void)[];
  claims: ClaimRegistry;
  batcher: ClaimBatcher;
  foldedTo: number;
  pendingClaims: Map<string, {claim: Claim; call: EntryCall}>;
  appending: boolean;
  pausedSteps: number;
  /** Per sidecar, the incarnation at the other end of the link. */
  links: (Incarnation | undefined)[];
}

/** Simulation of entries, sidecars, a log and a service, one step at a time. */
export class CallSimulation {
  now: Millis = 0;
  readonly callers: Caller[] = [];
  readonly violations: string[] = [];
  private frames: Frame[] = [];
  private readonly log: ClaimRecord[] = [];
  private delayed: ClaimRecord[] = [];
  private appendFault: Fault | undefined;
  private rejectNext = false;
  private idCount = 0;
  private readonly runs = new Map<string, string[]>();
  private readonly entries: Entry[];
  private readonly sidecars: Sidecar[];

  constructor() {
    this.entries = [0, 1].map(i => this.newEntry(i));
    this.sidecars = [0, 1].map(i => this.newSidecar(i));
    for (const entry of this.entries) {
      entry.links = this.sidecars.map(s => s.incarnation);
    }
  }

  issuedKey(op: string): string {
    const hex = Buffer.from(op).toString('hex');
    return issueKey(1_000, this.sidecars[0]!.incarnation, hex);
  }

  request(at: number, op: string, kind: KeyKind, key: string, span: Millis) {
    const entry = this.entries[at]!;
    const parsed =
      kind === 'none' ? undefined : parseKey(1_000, key, op)._unsafeUnwrap();
    const request: CallRequest = {
      callId: callId(`${entry.incarnation}/${++this.idCount}`),
      service: serviceName('depot'),
      organisation: organisationName('org'),
      weight: 1,
      priority: 'normal',
      idempotent: false,
      deadlineAt: this.now + span,
      method: 'POST',
      path: '/loadings',
      headers: {},
      body: new TextEncoder().encode(op),
      key: parsed,
    };
    const call = new EntryCall(request);
    const hadRun = this.runs.has(op);
    const caller: Caller = {
      ...{request, op, kind: undefined, text: '', isWaiting: true},
      ...{hasFollowedClaim: false, hadRun},
    };
    this.callers.push(caller);
    entry.calls.set(request.callId, {call, caller});
    entry.inbox.push(() =>
      this.applyEffects(entry, call, call.start(this.now)),
    );
  }

  /** Runs one step without a fault; returns false if none is left. */
  step(pick: number): boolean {
    this.now += 1;
    const actions = this.actions();
    if (actions.length === 0) return false;
    actions[pick % actions.length]!();
    return true;
  }

  /** Passes the deadline of every request, then runs to the end. */
  finish(): void {
    this.appendFault = undefined;
    for (let i = 0; i < 3_000 && this.step(0); i++);
    this.now += 700_000;
    for (const entry of this.entries) {
      entry.pausedSteps = 0;
      for (const {call} of entry.calls.values()) {
        entry.inbox.push(() =>
          this.applyEffects(entry, call, call.onDeadline()),
        );
      }
    }
    for (let i = 0; i < 3_000 && this.step(0); i++);
    this.checkOutcomes();
  }

  inject(fault: Fault, pick: number): void {
    const at = pick % 2;
    const entry = this.entries[at]!;
    const frame = this.frames[pick % Math.max(1, this.frames.length)];
    switch (fault) {
      case 'drop_frame':
        this.frames = this.frames.filter(other => other !== frame);
        return;
      case 'repeat_frame':
        if (frame) this.frames.push({...frame, isDelayed: true});
        return;
      case 'late_frame':
        if (frame) frame.isDelayed = true;
        return;
      case 'cut_link':
        return this.cutLink(at, (pick >> 1) % 2, false);
      case 'cut_link_keep_frames':
        return this.cutLink(at, (pick >> 1) % 2, true);
      case 'crash_sidecar':
        return this.crashSidecar(at);
      case 'crash_entry':
        return this.crashEntry(at);
      case 'pause_entry':
        entry.pausedSteps = 15;
        return;
      case 'long_pause':
        this.now += LONG_PAUSE;
        entry.pausedSteps = 15;
        for (const sidecar of this.sidecars) sidecar.ledger.sweep(this.now);
        return;
      case 'refuse':
        this.rejectNext = true;
        return;
      case 'fail_upstream':
        return this.failUpstream(at);
      case 'ask_again':
        return this.forEachCall(entry, call => call.retryReconcile());
      case 'caller_leaves':
        return this.abandonCalls(entry);
      default:
        this.appendFault = fault;
    }
  }

  private actions(): (() => void)[] {
    const actions: (() => void)[] = [];
    for (const [at, entry] of this.entries.entries()) {
      if (entry.pausedSteps > 0) {
        entry.pausedSteps -= 1;
        continue;
      }
      if (entry.inbox.length > 0) actions.push(() => entry.inbox.shift()!());
      if (!entry.appending && this.hasRecord(entry)) {
        actions.push(() => this.appendRecord(entry));
      }
      if (entry.foldedTo < this.log.length) {
        actions.push(() => this.readLog(entry));
      }
      entry.links.forEach((link, s) => {
        if (link === undefined) actions.push(() => this.linkUp(at, s));
      });
    }
    const ready =
      this.frames.find(({isDelayed}) => !isDelayed) ?? this.frames[0];
    if (ready) actions.push(() => this.deliver(ready));
    for (const sidecar of this.sidecars) {
      if (sidecar.queued.length > 0)
        actions.push(() => this.startQueued(sidecar));
      if (sidecar.running.length > 0)
        actions.push(() => this.sendAnswerPart(sidecar));
    }
    if (this.delayed.length > 0) {
      actions.push(() => this.log.push(...this.delayed.splice(0)));
    }
    return actions;
  }

  private applyEffects(
    entry: Entry,
    call: EntryCall,
    effects: EntryEffect[],
  ): void {
    const known = entry.calls.get(call.request.callId);
    if (known === undefined) return;
    for (const effect of effects) this.applyEffect(entry, known, effect);
    if (call.isFinished) entry.calls.delete(call.request.callId);
  }

  private applyEffect(
    entry: Entry,
    {call, caller}: {call: EntryCall; caller: Caller},
    effect: EntryEffect,
  ): void {
    const {service, organisation, key} = call.request;
    const later = (events: () => EntryEffect[]) =>
      entry.inbox.push(() => this.applyEffects(entry, call, events()));
    switch (effect.type) {
      case 'look_up': {
        const scope = keyScope({service, organisation, key: key!.value});
        const standing = entry.claims.find(scope);
        return void later(() => call.onClaimLookup(standing));
      }
      case 'claim':
        caller.hasFollowedClaim = false;
        entry.batcher.addReleases(effect.releases);
        entry.batcher.addClaim(effect.claim);
        entry.pendingClaims.set(effect.claim.id, {claim: effect.claim, call});
        return;
      case 'release':
        for (const claimId of effect.releases) {
          entry.pendingClaims.delete(claimId);
          entry.batcher.withdraw(claimId);
        }
        return;
      case 'choose': {
        const free = this.sidecars.find(
          s => !effect.exclude.includes(s.incarnation),
        );
        if (free === undefined) {
          return void later(() => call.onNoUpstream('no_upstream', 1));
        }
        return void later(() =>
          call.onUpstreamChosen(this.now, free.incarnation),
        );
      }
      case 'send':
        return this.send(entry, call, effect.to, effect.message);
      case 'body':
        caller.text += new TextDecoder().decode(effect.bytes);
        return;
      case 'end':
        return this.recordOutcome(caller, 'done');
      case 'abort':
      case 'finish': {
        const {kind, reason} = effect.outcome;
        if (kind === 'not-run') this.checkNotRun(caller, reason);
        return this.recordOutcome(caller, kind);
      }
    }
  }

  /**
   * Records a violation if the operation had run before and the reason of
   * `not-run` isn't limited to this request.
   */
  private checkNotRun(caller: Caller, reason: string): void {
    if (!caller.hadRun) return;
    const kind = caller.request.key?.kind;
    const isAboutRequestOnly =
      ['log_unavailable', 'key_reused'].includes(reason) ||
      (['deadline_passed', 'no_upstream', 'overloaded'].includes(reason) &&
        kind === 'caller' &&
        !caller.hasFollowedClaim);
    if (isAboutRequestOnly) return;
    this.violations.push(
      `${caller.request.callId}: not-run ${reason}, but ran`,
    );
  }

  private recordOutcome(
    caller: Caller,
    kind: NonNullable<Caller['kind']>,
  ): void {
    if (caller.kind)
      this.violations.push(`${caller.request.callId}: two outcomes`);
    caller.kind = kind;
  }

  private send(
    entry: Entry,
    call: EntryCall,
    to: Incarnation,
    message: RequestMessage,
  ): void {
    const s = entry.links.indexOf(to);
    if (s < 0) {
      const gone = !this.sidecars.some(one => one.incarnation === to);
      entry.inbox.push(() => {
        this.applyEffects(entry, call, call.onSendFailed(message));
        if (gone) this.applyEffects(entry, call, call.onPeerGone(to));
      });
      return;
    }
    const {caller} = entry.calls.get(call.request.callId) ?? {};
    const isOther =
      message.type === 'settle' && message.target.callId !== message.callId;
    if (caller && isOther) caller.hasFollowedClaim = true;
    const at = this.entries.indexOf(entry);
    const frame = {
      entry: at,
      sidecar: to,
      isToSidecar: true,
      message,
      isDelayed: false,
    };
    this.frames.push({...frame, sentAt: this.now});
  }

  private reply(sidecar: Sidecar, replies: readonly Reply[]): void {
    const load = {queued: 0, running: 0, concurrency: 1, drainPerSecond: 0};
    for (const {to, message} of replies) {
      const entry = this.entries.findIndex(one => one.incarnation === to);
      if (!this.entries[entry]?.links.includes(sidecar.incarnation)) continue;
      const full = {...message, load} as unknown as AnswerMessage;
      const from = sidecar.incarnation;
      const frame = {entry, sidecar: from, isToSidecar: false, message: full};
      this.frames.push({...frame, sentAt: this.now, isDelayed: false});
    }
  }

  private deliver(frame: Frame): void {
    this.frames = this.frames.filter(other => other !== frame);
    if (this.now - frame.sentAt > MAX_FRAME_AGE) return;
    const sidecar = this.sidecars.find(s => s.incarnation === frame.sidecar);
    const entry = this.entries[frame.entry]!;
    if (!frame.isToSidecar) {
      const known = entry.calls.get(frame.message.callId);
      const message = frame.message as AnswerMessage;
      if (!known) return;
      const {call} = known;
      entry.inbox.push(() =>
        this.applyEffects(entry, call, call.onMessage(message)),
      );
      return;
    }
    if (sidecar) this.receive(sidecar, entry.incarnation, frame);
  }

  private receive(sidecar: Sidecar, from: Incarnation, frame: Frame): void {
    const message = frame.message as RequestMessage;
    const {ledger} = sidecar;
    if (message.type === 'settle') {
      this.reply(sidecar, ledger.reconcile(this.now, from, message));
    } else if (message.type === 'cancel') {
      const stop = ledger.cancel(from, message);
      if (stop) this.cancelQueued(sidecar, stop);
    } else if (message.type === 'call') {
      const {isNew, replies} = ledger.accept(this.now, from, message);
      this.reply(sidecar, replies);
      if (isNew && this.rejectNext) {
        this.rejectNext = false;
        const refusal = ledger.reject(this.now, message, 'overloaded', 1);
        this.reply(sidecar, refusal);
      } else if (isNew) sidecar.queued.push(message);
    }
  }

  private cancelQueued(sidecar: Sidecar, name: AttemptId): void {
    const call = sidecar.queued.find(
      one => one.callId === name.callId && one.attempt === name.attempt,
    );
    if (call === undefined) return;
    sidecar.queued = sidecar.queued.filter(one => one !== call);
    const replies = sidecar.ledger.reject(this.now, call, 'overloaded', 1);
    this.reply(sidecar, replies);
  }

  private startQueued(sidecar: Sidecar): void {
    const call = sidecar.queued.shift()!;
    const {isStarted: run, replies} = sidecar.ledger.start(this.now, call);
    this.reply(sidecar, replies);
    if (!run) return;
    const op = new TextDecoder().decode(call.body);
    const ran = [...(this.runs.get(op) ?? []), call.callId];
    this.runs.set(op, ran);
    if (ran.length > 1) this.violations.push(`${op}: ran ${ran.join()}`);
    sidecar.running.push({call, part: 0});
  }

  private sendAnswerPart(sidecar: Sidecar): void {
    const job = sidecar.running[0]!;
    const {call} = job;
    const part = ANSWER_PARTS[job.part++]!;
    const {ledger} = sidecar;
    const text = `${part}${new TextDecoder().decode(call.body)} `;
    if (part === 'head') {
      this.reply(sidecar, ledger.recordHead(call, {status: 200, headers: {}}));
    } else if (part === 'end') {
      this.reply(sidecar, ledger.complete(this.now, call));
      sidecar.running.shift();
    } else {
      const body = new TextEncoder().encode(text);
      this.reply(sidecar, ledger.recordData(call, {body}));
    }
  }

  private hasRecord(entry: Entry): boolean {
    return entry.batcher.next(0, () => this.recordId(entry)) !== undefined;
  }

  private recordId(entry: Entry) {
    return recordId(`${entry.incarnation}/r${++this.idCount}`);
  }

  private appendRecord(entry: Entry): void {
    const record = entry.batcher.next(0, () => this.recordId(entry))!;
    const fault = this.appendFault;
    this.appendFault = undefined;
    if (fault === 'append_unavailable') {
      for (const [id, {call}] of [...entry.pendingClaims]) {
        entry.pendingClaims.delete(id);
        const result = {kind: 'unavailable', retryAfterMs: 1} as const;
        this.applyEffects(entry, call, call.onClaimResult(this.now, result));
      }
    }
    if (fault === 'delay_append') this.delayed.push(record);
    if (fault === undefined || fault === 'lose_append_answer') {
      this.log.push(record);
    }
    if (fault === undefined) entry.batcher.confirm(record.id);
  }

  private readLog(entry: Entry): void {
    const record = this.log[entry.foldedTo]!;
    entry.claims.fold(offset(entry.foldedTo), record);
    entry.foldedTo += 1;
    entry.batcher.confirm(record.id);
    for (const [id, {claim, call}] of [...entry.pendingClaims]) {
      if (!entry.claims.hasSeen(id)) continue;
      entry.pendingClaims.delete(id);
      const standing = entry.claims.find(keyScope(claim));
      const result =
        standing === undefined
          ? ({kind: 'released'} as const)
          : standing.id === id
            ? ({kind: 'won'} as const)
            : ({kind: 'lost', holder: standing} as const);
      entry.inbox.push(() =>
        this.applyEffects(entry, call, call.onClaimResult(this.now, result)),
      );
    }
  }

  private cutLink(at: number, s: number, keep: boolean): void {
    const entry = this.entries[at]!;
    const peer = entry.links[s];
    if (peer === undefined) return;
    entry.links[s] = undefined;
    const ofLink = (frame: Frame) =>
      frame.entry === at && frame.sidecar === peer;
    for (const frame of this.frames.filter(ofLink)) frame.isDelayed = true;
    if (!keep) this.frames = this.frames.filter(frame => !ofLink(frame));
    this.forEachCall(entry, call => call.onLinkLost(peer));
  }

  private linkUp(at: number, s: number): void {
    const entry = this.entries[at]!;
    const peer = this.sidecars[s]!.incarnation;
    entry.links[s] = peer;
    this.forEachCall(entry, call => call.onLinkUp(peer));
  }

  private forEachCall(entry: Entry, event: (call: EntryCall) => EntryEffect[]) {
    for (const {call} of entry.calls.values()) {
      entry.inbox.push(() => this.applyEffects(entry, call, event(call)));
    }
  }

  private crashSidecar(s: number): void {
    [0, 1].forEach(at => this.cutLink(at, s, true));
    this.sidecars[s] = this.newSidecar(s);
  }

  private crashEntry(at: number): void {
    for (const {caller} of this.entries[at]!.calls.values())
      caller.isWaiting = false;
    const entry = this.newEntry(at);
    entry.links = this.sidecars.map(() => undefined);
    this.entries[at] = entry;
  }

  private failUpstream(s: number): void {
    const sidecar = this.sidecars[s]!;
    const job = sidecar.running.shift();
    if (!job) return;
    const {ledger} = sidecar;
    this.reply(sidecar, ledger.fail(this.now, job.call, 'upstream_failed'));
  }

  private abandonCalls(entry: Entry): void {
    for (const {call, caller} of entry.calls.values()) {
      caller.isWaiting = false;
      entry.inbox.push(() =>
        this.applyEffects(entry, call, call.onCallerGone()),
      );
    }
  }

  private newEntry(at: number): Entry {
    return {
      incarnation: incarnation(`entry-${at}/${++this.idCount}`),
      calls: new Map(),
      inbox: [],
      claims: new ClaimRegistry(),
      batcher: new ClaimBatcher(),
      foldedTo: 0,
      pendingClaims: new Map(),
      appending: false,
      pausedSteps: 0,
      links: [],
    };
  }

  private newSidecar(at: number): Sidecar {
    const name = incarnation(`depot-${at}/${++this.idCount}`);
    const ledger = new CallLedger();
    return {incarnation: name, ledger, queued: [], running: []};
  }

  private checkOutcomes(): void {
    for (const {request, op, kind, text, isWaiting} of this.callers) {
      const id = request.callId;
      const ran = this.runs.get(op) ?? [];
      if (kind === 'not-run' && ran.includes(id)) {
        this.violations.push(`${id}: outcome not-run, but ran`);
      }
      if (kind === 'done' && (ran.length !== 1 || text !== wholeAnswer(op))) {
        this.violations.push(`${id}: done with "${text}", ${ran.length} runs`);
      }
      if (kind === undefined && isWaiting) {
        this.violations.push(`${id}: no outcome`);
      }
    }
  }
}

function wholeAnswer(op: string): string {
  return `one ${op} two ${op} `;
}
