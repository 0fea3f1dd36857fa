import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {BodyAdmission, FIRST_PART} from '../../admission/index.js';
import type {
  BodyDecision,
  BodyTerms,
  CallerMemory,
  IncomingBody,
} from '../../admission/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import {BodyBuffer, BufferedBody} from './buffered_body.js';
import {hasCostlyChunks} from './chunk_collector.js';
import {declaredLength, failBody, receiveBody} from './request_body.js';

/** Interval at which bodies that are not complete are checked. */
const CHECK_INTERVAL: Millis = SECOND / 10;
/** Longest time for which callers wait until a new request is read. */
const MAX_PATIENCE: Millis = SECOND;
/** Part of its timeout for which a caller waits until a new request is read. */
const PATIENCE_SHARE = 1 / 3;
/** Time in which a rejection reaches its caller. */
const RESPONSE_MARGIN: Millis = 25;

/** Limits of one request's body. */
export interface BodyLimits {
  /** Maximum size, bytes. */
  readonly maxBytes: number;
  /** Time for which its caller waits for the response, if known. */
  readonly callerTimeout: Millis | undefined;
  /** Longest time without a byte. */
  readonly idleTimeout: Millis;
}

/** Reads the bodies of callers' requests within a memory budget. */
export class BodyReader<Holder extends object> {
  private readonly admission: BodyAdmission<Holder>;
  /** Applies decisions on bodies that are not complete. */
  private readonly apply = new WeakMap<
    IncomingBody<Holder>,
    (decision: BodyDecision) => void
  >();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param clock - the clock
   * @param memory - budget of what callers hand in
   */
  constructor(
    private readonly clock: Clock,
    private readonly memory: CallerMemory<Holder>,
  ) {
    this.admission = new BodyAdmission(memory);
  }

  /** What decisions on bodies depend on, as fields of a log line. */
  get fields(): Readonly<Record<string, number>> {
    return {
      memory_used: this.memory.usedBytes,
      bodies_bytes: this.admission.reservedBytes,
      bodies_waiting: this.admission.waitingCount,
      bodies_incomplete: this.admission.incompleteCount,
      bodies_costly: this.admission.costlyCount,
    };
  }

  /**
   * Reads a body as the budget allows it. The rest of one that is rejected is
   * discarded as it arrives.
   * @param req - the request
   * @param holder - connection that the body is charged to until its release
   * @param limits - limits of the body
   * @returns the body, or `body_too_large`, `memory_exhausted`,
   * `request_timeout`, `caller_gone` or the fault of `failBody`
   */
  async read(
    req: IncomingMessage,
    holder: Holder,
    limits: BodyLimits,
  ): Promise<Result<BufferedBody, Fault>> {
    const length = declaredLength(req);
    if (length !== undefined && length > limits.maxBytes)
      return err(new Fault('body_too_large'));
    if (length === 0) return readEmpty(req);
    const now = this.clock.now();
    const terms = {
      ...termsOf(now, limits),
      isCostly: () => hasCostlyChunks(req),
    };
    const {body, decision} = this.admission.open(now, holder, length, terms);
    if (decision === 'memory_exhausted')
      return err(new Fault('memory_exhausted', 'too many bodies wait'));
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL).unref();
    const buffer = new BodyBuffer(length ?? FIRST_PART);
    const failed = await this.receive(req, body, buffer, decision, limits);
    this.admission.close(body);
    if (failed !== undefined) {
      this.release(body);
      return err(failed);
    }
    const content = buffer.take();
    this.admission.release(body, body.reserved - content.length);
    return ok(new BufferedBody(content, () => this.release(body)));
  }

  /** Fills a buffer with a body; returns why it failed. */
  private receive(
    req: IncomingMessage,
    body: IncomingBody<Holder>,
    buffer: BodyBuffer,
    decision: BodyDecision,
    {maxBytes}: BodyLimits,
  ): Promise<Fault | undefined> {
    return new Promise(resolve => {
      let pending: Buffer | undefined;
      let capacity = buffer.capacity;
      const resume = receiveBody(req, {
        onChunk: chunk => {
          const now = this.clock.now();
          this.admission.recordBytes(now, body, chunk.length);
          if (chunk.length <= buffer.free) {
            buffer.add(chunk);
            return undefined;
          }
          const size = buffer.size + chunk.length;
          if (size > maxBytes) return new Fault('body_too_large');
          const doubled = Math.max(size, 2 * buffer.capacity);
          capacity = Math.min(doubled, maxBytes);
          pending = chunk;
          const next = this.admission.reserve(now, body, capacity);
          if (next === 'memory_exhausted')
            return new Fault(next, 'too many bodies wait');
          if (next === 'wait') req.pause();
          else addPending();
          return undefined;
        },
        onEnd: resolve,
      });
      const addPending = () => {
        if (pending === undefined) return;
        buffer.grow(capacity);
        this.admission.release(body, body.reserved - capacity);
        buffer.add(pending);
        pending = undefined;
      };
      this.apply.set(body, made => {
        if (made === 'read') {
          addPending();
          resume();
        } else if (made !== 'wait') {
          failBody(req, new Fault(made, DETAILS[made]));
        }
      });
      if (decision === 'read') resume();
    });
  }

  private release(body: IncomingBody<Holder>): void {
    this.admission.release(body);
    for (const admitted of this.admission.admitWaiting(this.clock.now()))
      this.apply.get(admitted)?.('read');
  }

  private check(): void {
    for (const [body, decision] of this.admission.check(this.clock.now()))
      this.apply.get(body)?.(decision);
    if (this.admission.incompleteCount > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

/** Waits for the end of a request without a body, which holds no memory. */
async function readEmpty(
  req: IncomingMessage,
): Promise<Result<BufferedBody, Fault>> {
  const failed = await new Promise<Fault | undefined>(resolve => {
    const start = receiveBody(req, {
      onChunk: () => undefined,
      onEnd: resolve,
    });
    start();
  });
  if (failed !== undefined) return err(failed);
  return ok(new BufferedBody(Buffer.alloc(0)));
}

/**
 * Returns whether a rejection depends on the other bodies.
 * @param reason - why a request was rejected
 */
export function isBodyRejection(reason: ErrorName): boolean {
  return reason in DETAILS;
}

const DETAILS = {
  memory_exhausted: 'waited for memory',
  request_timeout: 'the body made no progress',
};

function termsOf(
  now: Millis,
  {callerTimeout = Infinity, idleTimeout}: BodyLimits,
): BodyTerms {
  const patience = Math.min(MAX_PATIENCE, callerTimeout * PATIENCE_SHARE);
  return {
    patience: patience - RESPONSE_MARGIN,
    expiresAt: now + callerTimeout - RESPONSE_MARGIN,
    idleTimeout,
  };
}
