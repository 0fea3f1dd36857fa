import type {IncomingMessage, ServerResponse} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {Fault} from '../../errors/index.js';

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
 * Reads the body of a request. The server discards a rejected body, so that
 * the caller still receives the error response.
 * @param req - the request
 * @param limit - maximum size of the body, bytes
 * @returns the body, or `body_too_large`, `caller_gone` or the fault of `failBody`
 */
export function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  const tooLarge = err(new Fault('body_too_large'));
  if (declared > limit) return Promise.resolve(tooLarge);
  pendingContinues.get(req)?.writeContinue();
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (result: Result<Buffer, Fault>) => {
      pendingBodies.delete(req);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limit) {
        chunks.push(chunk);
        return;
      }
      req.off('data', onData);
      chunks.length = 0;
      finish(tooLarge);
    };
    pendingBodies.set(req, fault => finish(err(fault)));
    req.on('data', onData);
    req.once('end', () => finish(ok(Buffer.concat(chunks))));
    req.once('close', () => finish(err(new Fault('caller_gone'))));
    req.once('error', () => finish(err(new Fault('caller_gone'))));
  });
}
