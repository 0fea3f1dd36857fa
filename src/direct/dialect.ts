import type {Millis, OrganisationName} from '../core/index.js';
import type {RequestId, UpstreamId} from './types.js';

/** Header lines of a message, names as they came. */
export type HeaderLines = readonly (readonly [name: string, value: string])[];

/** What the headers of a caller's request say. */
export interface RequestMetadata {
  /** Nothing when the caller gave none. */
  readonly id: RequestId | undefined;
  /** How long the caller will wait. */
  readonly callerTimeout: Millis | undefined;
  /** Key of an organisation. */
  readonly key: string | undefined;
  /** Event that the caller resumes its stream after. */
  readonly resumedAfter: number | undefined;
  readonly promptTokens: number;
}

/** What an entry tells an upstream besides the caller's own headers. */
export interface ForwardingMetadata {
  /** Time left until the final answer is due. */
  readonly timeLeft: Millis;
  readonly expectedUpstream: UpstreamId;
  readonly organisation: OrganisationName | undefined;
  /** Event after which a stream is to go on. */
  readonly resumeAfter: number | undefined;
}

/** What the head of an upstream's answer says. */
export interface ResponseMetadata {
  /** Request that it answers; nothing when it does not say. */
  readonly id: string | undefined;
  /** The upstream vouches that this is its own answer. */
  readonly isSealed: boolean;
  /** The upstream says that the request did not run. */
  readonly isNotRun: boolean;
  /** Another upstream has taken over the address. */
  readonly isWrongUpstream: boolean;
  /** Upstream on which the answer blames its failure. */
  readonly culprit: string | undefined;
  /** The upstream drains: it wants no further work. */
  readonly isLeaving: boolean;
  /** For how long the upstream wants no requests from this VM. */
  readonly backOff: Millis | undefined;
}

/** How callers and upstreams of an estate write what an entry needs. */
export abstract class HeaderDialect {
  /**
   * Reads a caller's request.
   * @param headers - its header lines
   */
  abstract readRequest(headers: HeaderLines): RequestMetadata;

  /**
   * Headers of the request to an upstream: the caller's own, without those
   * that only this connection is concerned with, and what the entry says.
   * @param headers - the caller's header lines
   * @param facts - what the entry says
   */
  abstract toUpstream(
    headers: HeaderLines,
    facts: ForwardingMetadata,
  ): HeaderLines;

  /**
   * Reads the head of an upstream's answer.
   * @param status - its status
   * @param headers - its header lines
   */
  abstract readResponse(status: number, headers: HeaderLines): ResponseMetadata;

  /**
   * Headers of the answer to the caller, without its framing.
   * @param headers - the upstream's header lines
   */
  abstract toCaller(headers: HeaderLines): HeaderLines;

  /**
   * Retry-After of a rejected request.
   * @param delay - until the retry, ms
   */
  abstract retryAfter(delay: Millis): HeaderLines;
}
