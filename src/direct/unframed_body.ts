import {createHash} from 'node:crypto';
import type {Hash} from 'node:crypto';

import type {HeaderDialect} from './dialect.js';
import {EmbeddedHeadScanner} from './embedded_head.js';
import type {EmbeddedHead, ScanResult} from './embedded_head.js';

const CONTENT_LENGTH = 'content-length';
const TRANSFER_ENCODING = 'transfer-encoding';
const WHOLE_NUMBER = /^\d{1,15}$/;
const NO_BYTES = Buffer.alloc(0);

/** What is known of a body that its connection delimits. */
export type BodyState =
  /** More bytes may follow. */
  | 'open'
  /** All of it was received. */
  | 'whole'
  /** Another response began, and it is unknown whether this one was complete. */
  | 'ambiguous';

/** Head of a further response that began within a body. */
interface ExtraHead {
  /** Undefined if the head broke off. */
  readonly status: number | undefined;
  /** Id of the request that it names. */
  readonly id: string | undefined;
}

/** A further response that began within a body. */
export interface ExtraResponse extends ExtraHead {
  /** Bytes of the body before it. */
  readonly bodyBytes: number;
  /** Whether it proves that the body before it is whole. */
  readonly isBodyWhole: boolean;
}

/** The response that a body belongs to. */
export interface ResponseIdentity {
  readonly status: number;
  /** Id of its request. */
  readonly id: string | undefined;
}

/**
 * Delimits the body of a response without a length. It ends with its connection,
 * unless the upstream sends a further response on it. That one begins with a head
 * that the dialect recognises as an upstream's. It proves the body whole if it
 * repeats this response: same request, status and length, or same content.
 */
export class UnframedBody {
  private readonly body: EmbeddedHeadScanner;
  private readonly content = new ContentDigest();
  /** Body of the further response; undefined before its head. */
  private repeated: EmbeddedHeadScanner | undefined;
  private readonly repeatedContent = new ContentDigest();
  private currentState: BodyState = 'open';
  private extraHead: ExtraHead | undefined;

  /**
   * @param dialect - recognises the heads of upstreams
   * @param response - the response
   */
  constructor(
    private readonly dialect: HeaderDialect,
    private readonly response: ResponseIdentity,
  ) {
    this.body = new EmbeddedHeadScanner(this.isUpstreamHead);
  }

  /** What is known of the body. */
  get state(): BodyState {
    return this.currentState;
  }

  /** The further response, if one began. */
  get extra(): ExtraResponse | undefined {
    if (this.extraHead === undefined) return undefined;
    const isBodyWhole = this.currentState === 'whole';
    return {...this.extraHead, isBodyWhole, bodyBytes: this.content.bytes};
  }

  /**
   * Adds bytes of the connection.
   * @param chunk - the bytes
   * @returns the bytes of the body that are now known
   */
  push(chunk: Buffer): Buffer {
    if (this.currentState !== 'open') return NO_BYTES;
    if (this.repeated !== undefined) {
      this.compare(this.repeated.push(chunk));
      return NO_BYTES;
    }
    const {body, head, rest} = this.body.push(chunk);
    this.content.add(body);
    if (head !== undefined) this.beginRepeat(head, rest ?? NO_BYTES);
    return body;
  }

  /**
   * Ends the body with its connection, closed in order.
   * @returns the rest of the body
   */
  close(): Buffer {
    if (this.currentState !== 'open') return NO_BYTES;
    if (this.repeated !== undefined) {
      this.repeatedContent.add(this.repeated.take());
      this.endRepeat();
      return NO_BYTES;
    }
    if (this.body.hasPartialHead) {
      this.extraHead = {status: undefined, id: undefined};
      this.currentState = 'ambiguous';
      return NO_BYTES;
    }
    this.currentState = 'whole';
    return this.body.take();
  }

  private beginRepeat(head: EmbeddedHead, rest: Buffer): void {
    const {status, headers} = head;
    const {id} = this.dialect.readResponse(status, headers);
    this.extraHead = {status, id};
    const length = lengthOf(head);
    const {response, content} = this;
    const isRepeat =
      id !== undefined && id === response.id && status === response.status;
    if (!isRepeat || length === 'unknown') this.currentState = 'ambiguous';
    else if (length !== 'open')
      this.currentState = length === content.bytes ? 'whole' : 'ambiguous';
    else {
      this.repeated = new EmbeddedHeadScanner(this.isUpstreamHead);
      this.compare(this.repeated.push(rest));
    }
  }

  private compare({body, head}: ScanResult): void {
    this.repeatedContent.add(body);
    if (head !== undefined) this.endRepeat();
    else if (this.repeatedContent.bytes > this.content.bytes)
      this.currentState = 'ambiguous';
  }

  private endRepeat(): void {
    const isEqual = this.repeatedContent.equals(this.content);
    this.currentState = isEqual ? 'whole' : 'ambiguous';
  }

  private readonly isUpstreamHead = ({status, headers}: EmbeddedHead) => {
    const {id, isSealed, isNotRun} = this.dialect.readResponse(status, headers);
    return id !== undefined || isSealed || isNotRun;
  };
}

/** Length and digest of content that is not stored. */
class ContentDigest {
  private readonly hash: Hash = createHash('sha256');
  private length = 0;

  get bytes(): number {
    return this.length;
  }

  add(content: Buffer): void {
    this.length += content.length;
    this.hash.update(content);
  }

  /** Ends both digests. */
  equals(other: ContentDigest): boolean {
    if (this.length !== other.length) return false;
    return this.hash.digest().equals(other.hash.digest());
  }
}

/**
 * Returns the length that a head names; `open` if its connection delimits the
 * body, `unknown` if it is delimited in another way.
 */
function lengthOf({headers}: EmbeddedHead): number | 'open' | 'unknown' {
  const values = (name: string) =>
    headers.flatMap(([key, value]) =>
      key.toLowerCase() === name ? [value] : [],
    );
  if (values(TRANSFER_ENCODING).length > 0) return 'unknown';
  const lengths = values(CONTENT_LENGTH);
  if (lengths.length === 0) return 'open';
  const [length = ''] = lengths;
  return lengths.length === 1 && WHOLE_NUMBER.test(length)
    ? Number(length)
    : 'unknown';
}
