import {Chance} from '../../../src/core/index.js';
import type {Framing, Weights} from './records.js';
import type {Kind} from './routes.js';

/** What a caller does besides sending a request and reading its answer. */
export type CallerKind =
  | 'plain'
  | 'old'
  | 'slow'
  | 'stalled'
  | 'slow_pipelines'
  | 'pipelines'
  | 'deep_pipelines'
  | 'early_finished'
  | 'early_unfinished'
  | 'garbage'
  | 'half_closes'
  | 'leaves';

/** What a caller does that hands an entry more than it has to take. */
export type AbuserKind =
  | 'stalled_bodies'
  | 'dripped_bodies'
  | 'large_bodies'
  | 'floods'
  | 'unread_floods'
  | 'keyless_floods'
  | 'unread_answers'
  | 'endless_heads';

/** How a run ends at its upstream. */
export type RunEnding =
  | 'whole'
  | 'reset'
  | 'closed'
  | 'twice'
  | 'twice_late'
  | 'twice_next'
  | 'error'
  | 'busy'
  | 'refusal';

/** What happens to the processes. */
export type Fault =
  | 'reload'
  | 'restart'
  | 'roll'
  | 'kill'
  | 'suspend'
  | 'add_entry'
  | 'store'
  | 'upstream_pause'
  | 'upstream_leave';

/** Size of an answer's body. */
export type Size = 'small' | 'medium' | 'large' | 'huge';

/** Range of the body sizes, bytes. */
export const SIZES: Readonly<Record<Size, readonly [number, number]>> = {
  small: [100, 4_000],
  medium: [60_000, 900_000],
  large: [1_100_000, 4_000_000],
  // More than the system takes of an answer whose caller reads slowly.
  huge: [4_600_000, 6_600_000],
};

/** What a seed plays. */
export interface Mix {
  readonly theme: string;
  readonly callers: number;
  /** Callers of `abuserKinds`, beside the others. */
  readonly abusers: number;
  readonly abuserKinds: Weights<AbuserKind>;
  readonly entries: number;
  readonly upstreams: number;
  readonly lengthMs: number;
  /** Heap limit of an entry, MB. */
  readonly heapMb: number;
  readonly maxBodyBytes: number;
  /** Connections of an entry to the upstreams at most. */
  readonly maxConnections: number;
  /** Longest pause of a caller between two requests, ms. */
  readonly pauseMs: number;
  /** Time at which runs begin to fail in the ways of `endings`, ms. */
  readonly failsAfterMs: number;
  /** Shortest and longest time between two faults, ms. */
  readonly faultPauseMs: readonly [number, number];
  /** Share of the faults after which the next one comes at once. */
  readonly overlapShare: number;
  readonly callerKinds: Weights<CallerKind>;
  /** Weight of callers with deep pipelines, which is not varied. */
  readonly deepWeight: number;
  readonly endings: Weights<RunEnding>;
  readonly sizes: Weights<Size>;
  readonly framings: Weights<Framing>;
  readonly kinds: Weights<Kind>;
  readonly faults: Weights<Fault>;
}

const BASE: Mix = {
  theme: 'mixed',
  callers: 24,
  abusers: 0,
  abuserKinds: {
    stalled_bodies: 2,
    dripped_bodies: 1,
    large_bodies: 3,
    floods: 2,
    unread_floods: 2,
    keyless_floods: 1,
    unread_answers: 2,
    endless_heads: 1,
  },
  entries: 3,
  upstreams: 3,
  lengthMs: 15_000,
  heapMb: 128,
  maxBodyBytes: 65_536,
  maxConnections: 64,
  pauseMs: 60,
  failsAfterMs: 0,
  faultPauseMs: [100, 1_000],
  overlapShare: 0.3,
  callerKinds: {
    plain: 12,
    old: 1,
    slow: 1,
    stalled: 1,
    pipelines: 1,
    early_finished: 1,
    early_unfinished: 1,
    garbage: 1,
    half_closes: 1,
    leaves: 1,
  },
  endings: {
    whole: 30,
    reset: 1,
    closed: 1,
    twice: 1,
    twice_late: 1,
    twice_next: 1,
    error: 1,
    busy: 1,
    refusal: 1,
  },
  sizes: {small: 20, medium: 3, large: 1},
  framings: {length: 3, chunks: 3, close: 3},
  kinds: {unsafe: 2, safe: 3, stream: 2, once_stream: 1},
  deepWeight: 0,
  faults: {reload: 2, restart: 2},
};

/**
 * Runs begin to fail after more than a window, on a service with so few requests
 * that the fixed part of the budget outweighs the ratio; the faults come then.
 */
const STORM: Partial<Mix> = {
  callers: 8,
  upstreams: 6,
  lengthMs: 24_000,
  failsAfterMs: 11_000,
  pauseMs: 300,
  faultPauseMs: [1_500, 4_500],
  overlapShare: 0.05,
  callerKinds: {plain: 1},
  endings: {whole: 1, error: 12, refusal: 2, reset: 4},
  sizes: {small: 1},
  kinds: {safe: 1},
};

/** One theme for each remainder of the seed; all but storms mix in the rest. */
const THEMES: readonly Partial<Mix>[] = [
  {
    theme: 'limits',
    callers: 300,
    abusers: 1,
    entries: 7,
    upstreams: 6,
    heapMb: 64,
    maxBodyBytes: 1_000_000,
    faults: {
      reload: 2,
      restart: 2,
      kill: 1,
      suspend: 1,
      store: 1,
      upstream_pause: 1,
    },
  },
  {
    theme: 'answers',
    endings: {
      whole: 8,
      reset: 2,
      closed: 2,
      twice: 4,
      twice_late: 4,
      twice_next: 2,
    },
    sizes: {small: 4, medium: 4, large: 1},
    framings: {length: 1, chunks: 1, close: 2},
  },
  {
    theme: 'drains',
    callerKinds: {plain: 4, slow: 6, slow_pipelines: 3, stalled: 1, old: 1},
    endings: {whole: 1},
    sizes: {small: 2, medium: 1, large: 2, huge: 3},
    kinds: {unsafe: 1, safe: 2},
    faults: {restart: 1},
    faultPauseMs: [500, 2_500],
    overlapShare: 0.1,
  },
  {
    theme: 'callers',
    callerKinds: {
      plain: 4,
      old: 2,
      slow: 1,
      stalled: 1,
      pipelines: 3,
      early_finished: 3,
      early_unfinished: 3,
      garbage: 3,
      half_closes: 2,
      leaves: 2,
    },
    endings: {whole: 1},
    deepWeight: 1,
  },
  {theme: 'storm', ...STORM, faults: {roll: 4, restart: 1, kill: 2, reload: 1}},
  {
    theme: 'suspended',
    faults: {
      suspend: 3,
      upstream_pause: 2,
      kill: 1,
      restart: 1,
      upstream_leave: 1,
    },
  },
  {
    theme: 'store',
    faults: {store: 4, restart: 2, upstream_leave: 2, add_entry: 1, reload: 1},
  },
  {
    theme: 'storm_store',
    ...STORM,
    faults: {
      store: 3,
      roll: 2,
      add_entry: 2,
      restart: 2,
      suspend: 1,
      upstream_pause: 1,
    },
  },
  {
    theme: 'bytes',
    abusers: 3,
    deepWeight: 2,
    maxBodyBytes: 4_000_000,
    maxConnections: 256,
    endings: {whole: 30, reset: 1, error: 1, busy: 1},
    faults: {
      restart: 2,
      reload: 2,
      kill: 1,
      suspend: 1,
      store: 1,
      upstream_pause: 2,
    },
    faultPauseMs: [500, 2_500],
    overlapShare: 0.1,
  },
];

/**
 * Returns what a seed plays: its theme, with the weights of the other kinds
 * varied.
 * @param seed - the seed
 */
export function mixOf(seed: number): Mix {
  const mix = {...BASE, ...THEMES[seed % THEMES.length]};
  const chance = new Chance(seed);
  const vary = <T extends string>(weights: Weights<T>): Weights<T> =>
    Object.fromEntries(
      Object.entries<number>(weights as Record<string, number>).map(
        ([kind, weight]) => [kind, weight * (0.3 + 1.4 * chance.fraction())],
      ),
    ) as Weights<T>;
  const faults = vary(mix.faults);
  return {
    ...mix,
    faults,
    callerKinds: {
      ...vary(mix.callerKinds),
      deep_pipelines: mix.deepWeight,
    },
    endings: vary(mix.endings),
    sizes: vary(mix.sizes),
    framings: vary(mix.framings),
    kinds: vary(mix.kinds),
    abuserKinds: vary(mix.abuserKinds),
  };
}
