import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {RouteDecision, RouteTable} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';

/** Short, since another VM receives the caller's next attempt. */
const DRAINING_RETRY_AFTER: Millis = 50;

/** What the decision on a request's head depends on. */
export interface HeadState {
  /** Whether a request that is complete now can still be finished. */
  readonly isAccepting: boolean;
  /** Routes of the configuration in force; undefined before the first. */
  readonly table: RouteTable | undefined;
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
}

/** Rejection of a request by its head. */
export interface HeadRejection {
  readonly fault: Fault;
  readonly retryAfter?: Millis;
  /** Version of the configuration that decided. */
  readonly version?: number;
}

/** A request that the configuration in force allows. */
export interface AllowedHead {
  readonly table: RouteTable;
  readonly decision: Extract<RouteDecision, {kind: 'allowed'}>;
}

/**
 * Decides by its head whether a request is served: before its body is read, and
 * again after, by the configuration then in force.
 * @param state - the process and the head
 */
export function decideOnHead({
  isAccepting,
  table,
  host,
  path,
  key,
}: HeadState): Result<AllowedHead, HeadRejection> {
  if (!isAccepting) {
    const fault = new Fault('draining');
    return err({fault, retryAfter: DRAINING_RETRY_AFTER});
  }
  if (table === undefined)
    return err({fault: new Fault('no_configuration'), retryAfter: SECOND});
  const decision = table.decide(host, path, key);
  if (decision.kind === 'allowed') return ok({table, decision});
  const isKnown = decision.kind === 'unauthorized';
  const fault = new Fault(isKnown ? 'unauthorized' : 'unknown_route');
  return err({fault, version: table.configuration.version});
}
