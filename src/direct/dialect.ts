import type {HeaderLines, Millis, OrganisationName} from '../core/index.js';
import type {PromptPartId, RequestId, UpstreamId} from './types.js';
import type {RequestRate} from './upstream_limits.js';

export type {HeaderLines} from '../core/index.js';

/** Metadata from the headers of a caller's request. */
export interface RequestMetadata {
  /** Undefined if the caller sent no id. */
  readonly id: RequestId | undefined;
  /** Time for which the caller waits for the response. */
  readonly callerTimeout: Millis | undefined;
  /** API key of an organisation. */
  readonly key: string | undefined;
  /** Id of the event after which the caller resumes its stream. */
  readonly resumedAfter: number | undefined;
  readonly promptTokens: number;
  /** The caller's estimate of the output; undefined if it sent none. */
  readonly expectedTokens?: number | undefined;
  /** Parts of the prompt that other requests may share, in prompt order. */
  readonly sharedParts: readonly PromptPartId[];
  /** Last part of the prompt, the same only in repeats of the request. */
  readonly ownPart: PromptPartId | undefined;
}

/** Metadata that an entry adds to the headers of a forwarded request. */
export interface ForwardingMetadata {
  /** Remaining time until the deadline of the final response. */
  readonly timeLeft: Millis;
  readonly expectedUpstream: UpstreamId;
  readonly organisation: OrganisationName | undefined;
  /** Id of the event after which to resume the stream. */
  readonly resumeAfter: number | undefined;
}

/** Metadata from the head of an upstream's response. */
export interface ResponseMetadata {
  /** Id of the request that it responds to, if given. */
  readonly id: string | undefined;
  /** Whether the upstream marked this as its own response. */
  readonly isSealed: boolean;
  /** Whether the upstream reports that the request did not run. */
  readonly isNotRun: boolean;
  /** Whether another upstream now listens at the address. */
  readonly isWrongUpstream: boolean;
  /** Upstream that the response names as the cause of its failure. */
  readonly culprit: string | undefined;
  /** Whether the upstream is draining and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the upstream wants no requests from this VM. */
  readonly backOff: Millis | undefined;
  /** Requests per second that the upstream accepts from all entries together. */
  readonly limit: RequestRate | undefined;
}

/** Header format of the callers and upstreams of an estate. */
export abstract class HeaderDialect {
  /**
   * Parses the headers of a caller's request.
   * @param headers - its header lines
   */
  abstract readRequest(headers: HeaderLines): RequestMetadata;

  /**
   * Returns the headers of the request to an upstream: the caller's end-to-end
   * headers and the metadata of the entry.
   * @param headers - the caller's header lines
   * @param facts - metadata of the entry
   */
  abstract toUpstream(
    headers: HeaderLines,
    facts: ForwardingMetadata,
  ): HeaderLines;

  /**
   * Parses the head of an upstream's response.
   * @param status - HTTP status
   * @param headers - header lines
   */
  abstract readResponse(status: number, headers: HeaderLines): ResponseMetadata;

  /**
   * Returns the headers of the response to the caller, without its framing.
   * @param headers - the upstream's header lines
   */
  abstract toCaller(headers: HeaderLines): HeaderLines;

  /**
   * Returns the Retry-After header of a rejected request.
   * @param delay - time until the retry, ms
   */
  abstract retryAfter(delay: Millis): HeaderLines;
}
