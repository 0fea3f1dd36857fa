import type {IncomingMessage, ServerResponse} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {Fault} from '../../errors/index.js';
import {BodyBuffer} from './buffered_body.js';

/** First capacity for a small body without a length, bytes. */
const FIRST_CAPACITY = 4 * 2 ** 10;

/** Requests whose callers wait for `100 Continue` to send the body. */
const pendingContinues = new WeakMap<IncomingMessage, ServerResponse>();
/** Fails the read of each body that is being read. */
const pendingBodies = new WeakMap<IncomingMessage, (fault: Fault) => void>();

/**
 * Defers `100 Continue` until the body is read.
 * @param req - a request with `Expect: 100-continue`
 * @param res - its response
 */
export function deferContinue(req: IncomingMessage, res: ServerResponse): void {
  pendingContinues.set(req, res);
}

/**
 * Returns whether the body of a request is being read.
 * @param req - the request
 */
export function isReadingBody(req: IncomingMessage): boolean {
  return pendingBodies.has(req);
}

/**
 * Fails the read of a body whose rest is unreadable.
 * @param req - the request
 * @param fault - what the reader receives
 */
export function failBody(req: IncomingMessage, fault: Fault): void {
  pendingBodies.get(req)?.(fault);
}

/**
 * Returns the declared length of a request's body.
 * @param req - the request
 * @returns the length in bytes, 0 without a body; undefined for chunks
 */
export function declaredLength({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Receives the bytes of a body. */
export interface BodySink {
  /**
   * Called with each chunk.
   * @param chunk - the chunk
   * @returns a fault to fail the body with
   */
  onChunk(chunk: Buffer): Fault | undefined;
  /** Called once: with a fault, or without one at the end of a whole body. */
  onEnd(fault?: Fault): void;
}

/**
 * Passes the body of a request to a sink. The rest of a body that has failed is
 * discarded, so that the caller still receives the error response.
 * @param req - the request
 * @param sink - receives the bytes
 * @returns starts or resumes the reading
 */
export function receiveBody(req: IncomingMessage, sink: BodySink): () => void {
  let isStarted = false;
  let hasEnded = false;
  const end = (fault?: Fault) => {
    if (hasEnded) return;
    hasEnded = true;
    pendingBodies.delete(req);
    req.off('data', onData);
    if (fault !== undefined) req.resume();
    sink.onEnd(fault);
  };
  const onData = (chunk: Buffer) => {
    const fault = sink.onChunk(chunk);
    if (fault !== undefined) end(fault);
  };
  pendingBodies.set(req, end);
  req.once('end', () => end());
  req.once('close', () => end(new Fault('caller_gone')));
  req.once('error', () => end(new Fault('caller_gone')));
  return () => {
    if (hasEnded) return;
    if (!isStarted) {
      pendingContinues.get(req)?.writeContinue();
      req.on('data', onData);
    }
    isStarted = true;
    req.resume();
  };
}

/**
 * Reads the small body of a request.
 * @param req - the request
 * @param limit - maximum size of the body, bytes
 * @returns the body, or `body_too_large`, `caller_gone` or the fault of `failBody`
 */
export function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Fault>> {
  const tooLarge = new Fault('body_too_large');
  if ((declaredLength(req) ?? 0) > limit) return Promise.resolve(err(tooLarge));
  return new Promise(resolve => {
    // Kept chunks of one byte would take a hundred times their length.
    const buffer = new BodyBuffer(declaredLength(req) ?? FIRST_CAPACITY);
    const start = receiveBody(req, {
      onChunk: chunk => {
        const size = buffer.size + chunk.length;
        if (size > limit) return tooLarge;
        if (chunk.length > buffer.free)
          buffer.grow(Math.max(size, Math.min(2 * buffer.capacity, limit)));
        buffer.add(chunk);
        return undefined;
      },
      onEnd: fault =>
        resolve(fault === undefined ? ok(buffer.take()) : err(fault)),
    });
    start();
  });
}

/**
 * Returns whether a request has a body.
 * @param req - the request
 */
export function hasBody({headers}: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}
