import {
  Chance,
  SECOND,
  availabilityZone,
  incarnation,
  serviceName,
} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import type {DispatchRequest} from '../../src/daemons/direct/dispatch/index.js';
import {Dispatcher} from '../../src/daemons/direct/dispatch/index.js';
import {retryAfter} from '../../src/direct/index.js';
import type {RejectionCause, Upstream} from '../../src/direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../src/observability/index.js';
import {testRegistration} from './direct_samples.js';
import {
  SteppingGroup,
  TWELVE_RANK_GROUP,
  poissonArrivals,
} from './stepping_group.js';

/** Load of a group, and what disturbs it. */
export interface ReplayLoad {
  readonly entries: number;
  readonly perSecond: number;
  readonly duration: Millis;
  readonly seed: number;
  /** Load of the most loaded rank over the mean. */
  readonly skew: (now: Millis) => number;
  /** Whether the ranks reject each request, as the group is incomplete. */
  readonly isBroken?: (now: Millis) => boolean;
}

/** Policies that a replay can do without, to show what they are worth. */
export interface ReplayPolicies {
  /** Whether dispatchers learn of the gaps between events. */
  readonly limitsStreams: boolean;
}

const ALL_POLICIES: ReplayPolicies = {limitsStreams: true};

/** Callers' results, and the attempts that entries rejected. */
export interface ReplayResult {
  inTime: number;
  late: number;
  /** Callers that were rejected on their last attempt. */
  lost: number;
  readonly rejections: Rejection[];
}

/** An attempt that an entry rejected. */
export interface Rejection {
  readonly at: Millis;
  /** Time for which the attempt was queued. */
  readonly waited: Millis;
}

interface Caller {
  readonly since: Millis;
  readonly events: number;
  retriesLeft: number;
}

const ROUTE = {timeout: 8 * SECOND, latencyTarget: 500, gapTarget: 120};
const PATIENCE: Millis = 2 * SECOND;
const MEAN_EVENTS = 20;
const MAX_EVENTS = 60;
const PROMPT_TOKENS = 850;
/** Time in which a rank rejects a request. */
const REJECTION_TIME: Millis = 4;
const QUEUE_CHECK_INTERVAL: Millis = 50;
const GROUP = 'g';

/** Replay of a load on the dispatchers of several entries before one group. */
class EntryReplay {
  readonly result: ReplayResult = {
    inTime: 0,
    late: 0,
    lost: 0,
    rejections: [],
  };
  private readonly chance: Chance;
  private readonly group: SteppingGroup;
  private readonly ranks: readonly Upstream[];
  private readonly dispatchers: readonly Dispatcher[];
  private readonly scheduled: {at: Millis; run: (now: Millis) => void}[] = [];
  private now: Millis = 0;

  constructor(
    private readonly load: ReplayLoad,
    private readonly policies: ReplayPolicies,
  ) {
    const {seed, skew, isBroken, entries} = load;
    this.chance = new Chance(seed);
    this.group = new SteppingGroup(TWELVE_RANK_GROUP, skew, isBroken);
    const {slots} = TWELVE_RANK_GROUP;
    this.ranks = Array.from({length: TWELVE_RANK_GROUP.ranks}, (_, i) => ({
      registration: testRegistration(`rank-${i}`, {slots}),
      incarnation: incarnation(`rank-${i}@1`),
      warmAt: 0,
      registeredAt: 0,
      isRestart: false,
    }));
    const directory = {
      upstreamsOf: () => this.ranks,
      hasEngines: () => true,
      groupOf: () => GROUP,
      slowdownOf: () => 1,
      entryCount: () => entries,
      isByPriority: () => false,
    };
    const zone = availabilityZone('a');
    this.dispatchers = Array.from(
      {length: entries},
      () =>
        new Dispatcher(
          directory,
          zone,
          this.chance,
          SILENT_LOGGER,
          new Containment(SILENT_LOGGER, new Metrics()),
          new Metrics(),
        ),
    );
  }

  run(): void {
    const {chance, dispatchers, load, scheduled} = this;
    for (const at of poissonArrivals(chance, load.perSecond, load.duration)) {
      const drawn = Math.ceil(-Math.log(1 - chance.fraction()) * MEAN_EVENTS);
      const events = Math.min(MAX_EVENTS, Math.max(1, drawn));
      const caller = {since: at, events, retriesLeft: 1};
      scheduled.push({at, run: now => this.submit(now, caller)});
    }
    for (; this.now < load.duration + ROUTE.timeout; this.now++) {
      const {now} = this;
      const due = scheduled.filter(({at}) => at <= now);
      for (const task of due) {
        scheduled.splice(scheduled.indexOf(task), 1);
        task.run(now);
      }
      this.group.tick(now);
      if (now % QUEUE_CHECK_INTERVAL !== 0) continue;
      for (const one of dispatchers) one.dispatchQueued(now);
    }
  }

  private submit(now: Millis, caller: Caller): void {
    const dispatcher = this.chance.pick(this.dispatchers);
    const deadlineAt = caller.since + ROUTE.timeout;
    const req: DispatchRequest = {
      service: serviceName('assistant'),
      promptTokens: PROMPT_TOKENS,
      priority: 1,
      triedIncarnations: new Set(),
      target: ROUTE.latencyTarget,
      targetAt: now + ROUTE.latencyTarget,
      expiresAt: Math.min(now + PATIENCE, deadlineAt),
      mayWait: true,
      trySpend: () => true,
      reject: cause => {
        this.result.rejections.push({at: this.now, waited: this.now - now});
        const reason = cause === 'group_down' ? cause : 'busy';
        this.comeBack(caller, reason, deadlineAt - this.now);
      },
      send: (sentAt, upstream) =>
        this.send(sentAt, dispatcher, upstream, req, caller),
    };
    dispatcher.submit(now, req);
  }

  private comeBack(
    caller: Caller,
    cause: RejectionCause,
    timeLeft: Millis,
  ): void {
    if (caller.retriesLeft === 0) {
      this.result.lost += 1;
      return;
    }
    caller.retriesLeft -= 1;
    const at = this.now + retryAfter(cause, timeLeft, this.chance);
    this.scheduled.push({at, run: now => this.submit(now, caller)});
  }

  private send(
    sentAt: Millis,
    dispatcher: Dispatcher,
    upstream: Upstream,
    req: DispatchRequest,
    caller: Caller,
  ): void {
    const {loads} = dispatcher;
    loads.recordSent(upstream.incarnation, PROMPT_TOKENS);
    const recordEnded = (now: Millis, hasStarted: boolean) => {
      const outcome = hasStarted ? 'good' : 'neutral';
      loads.recordEnded(now, upstream.incarnation, PROMPT_TOKENS, outcome);
      dispatcher.recordEnded(now, GROUP, hasStarted);
    };
    if (this.load.isBroken?.(sentAt) === true) {
      const run = (now: Millis) => {
        dispatcher.markGroupUnavailable(now, upstream, 'missing rank');
        recordEnded(now, false);
        req.reject('group_down', {reason: 'down', queueLength: 0, downtime: 0});
      };
      this.scheduled.push({at: sentAt + REJECTION_TIME, run});
      return;
    }
    let isOnTime = true;
    let lastAt = caller.since;
    this.group.submit({
      rank: this.ranks.indexOf(upstream),
      promptTokens: PROMPT_TOKENS,
      events: caller.events,
      onEvent: (now, index) => {
        const {latencyTarget, gapTarget} = ROUTE;
        const gap = now - lastAt;
        isOnTime &&= gap <= (index === 0 ? latencyTarget : gapTarget);
        lastAt = now;
        if (index === 0)
          dispatcher.recordStarted(now, GROUP, sentAt, latencyTarget);
        else if (this.policies.limitsStreams)
          dispatcher.recordGap(now, GROUP, gap, gapTarget);
      },
      onEnd: now => {
        recordEnded(now, true);
        this.result[isOnTime ? 'inTime' : 'late'] += 1;
      },
    });
  }
}

/**
 * Replays a load on the dispatchers of several entries before one model group.
 * Callers that are rejected retry once, after the Retry-After.
 * @param load - the load
 * @param policies - policies in use
 */
export function replay(
  load: ReplayLoad,
  policies: Partial<ReplayPolicies> = {},
): ReplayResult {
  const run = new EntryReplay(load, {...ALL_POLICIES, ...policies});
  run.run();
  return run.result;
}

/**
 * Returns the skew of a group whose maps follow periodic demand shifts in two
 * stages; copying lengthens passes.
 * @param interval - time between two shifts
 * @param peak - skew right after a shift
 */
export function shiftingSkew(
  interval: Millis,
  peak: number,
): (now: Millis) => number {
  return now => {
    const since = now % interval;
    if (now < interval) return BALANCED_SKEW;
    if (since < 600) return peak;
    if (since < 1_200) return peak * COPY_FACTOR;
    if (since < 1_800) return 1.4 * COPY_FACTOR;
    return BALANCED_SKEW;
  };
}

/** Skew of a map that fits the demand. */
export const BALANCED_SKEW = 1.1;
const COPY_FACTOR = 1.15;
