import {wireRoute} from '../direct_estate.js';

/** Retry class of a request, by its route. */
export type Kind = 'unsafe' | 'safe' | 'stream' | 'once_stream';

/** Time that callers wait, ms. */
export const CALLER_DEADLINE_MS = 6_500;
/** Time that callers who read slowly wait, and timeout of the routes, ms. */
export const SLOW_DEADLINE_MS = 12_000;
/** Upstreams that a repeatable request may be sent to. */
export const MAX_ATTEMPTS = 4;
/** Bound of the retries of all entries. */
export const RETRY_RATIO = 0.2;
export const RETRY_SLACK = 88;
export const RETRY_WINDOW_MS = 10_000;
/** Time that a caller may take for the head of a request, ms. */
export const HEADER_TIMEOUT_MS = 3_000;
/** Time from SIGTERM to the end of a process, seconds. */
export const GRACE_S = 10;

/** Properties of each kind of request. */
export const KINDS: Readonly<
  Record<Kind, {prefix: string; isStream: boolean; isOnce: boolean}>
> = {
  unsafe: {prefix: '/load/', isStream: false, isOnce: true},
  safe: {prefix: '/sheet/', isStream: false, isOnce: false},
  stream: {prefix: '/plan/', isStream: true, isOnce: false},
  once_stream: {prefix: '/walk/', isStream: true, isOnce: true},
};

const change = {TimeoutMs: SLOW_DEADLINE_MS, MaxAttempts: MAX_ATTEMPTS};

/** The routes, in the platform's format. */
export const SOAK_ROUTES = [
  wireRoute('/load/', 'unsafe', change),
  wireRoute('/sheet/', 'safe', change),
  wireRoute('/plan/', 'streaming', change),
  wireRoute('/walk/', 'streaming', {...change, Resumable: false}),
];
