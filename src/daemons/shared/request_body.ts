import type {IncomingMessage, ServerResponse} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {Fault} from '../../errors/index.js';

/** Callers that wait for leave to send their body. */
const pendingContinues = new WeakMap<IncomingMessage, ServerResponse>();

/**
 * Keeps a caller waiting with its body until it is read.
 * @param req - a request with `Expect: 100-continue`
 * @param res - its response
 */
export function deferContinue(req: IncomingMessage, res: ServerResponse): void {
  pendingContinues.set(req, res);
}

/**
 * Reads the body of a request. A refused body is left for the server to
 * discard, so that the refusal still reaches the caller.
 * @param req - the request
 * @param limit - largest body that is taken, bytes
 * @returns the body, or `body_too_large` or `caller_gone`
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
    const onData = (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limit) {
        chunks.push(chunk);
        return;
      }
      req.off('data', onData);
      chunks.length = 0;
      resolve(tooLarge);
    };
    req.on('data', onData);
    req.once('end', () => resolve(ok(Buffer.concat(chunks))));
    req.once('close', () => resolve(err(new Fault('caller_gone'))));
    req.once('error', () => resolve(err(new Fault('caller_gone'))));
  });
}
