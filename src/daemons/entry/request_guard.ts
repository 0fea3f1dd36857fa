import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {Fault} from '../../errors/index.js';

/** Bounds that a link takes too, so that no request can close one. */
const MAX_HEADERS = 90;
const MAX_NAME_LENGTH = 200;
const MAX_VALUE_LENGTH = 16_000;
const MAX_TARGET_LENGTH = 8_000;

/** Characters of a target in origin form; whatever else must be escaped. */
const TARGET = /^\/[A-Za-z0-9._~!$&'()*+,;=:@%/?-]*$/;
/** Escapes that are malformed, or that hide a slash, a dot or a control. */
const BAD_ESCAPE = /%(?![0-9a-f]{2})|%(?:2f|5c|2e|[01][0-9a-f]|7f)/i;
const DOT_SEGMENT = /\/\.{1,2}(?:\/|$)/;

/** Headers whose repetition would mean two things to two readers. */
const ONCE = new Set([
  'authorization',
  'content-length',
  'content-type',
  'expect',
  'host',
  'idempotency-key',
  'transfer-encoding',
]);

const refuse = (detail: string) => err(new Fault('bad_request', detail));

function checkTarget(target: string): Result<void, Fault> {
  if (target.length > MAX_TARGET_LENGTH) return refuse('target: too long');
  if (!TARGET.test(target)) return refuse('target: not an absolute path');
  const [path = ''] = target.split('?', 1);
  if (BAD_ESCAPE.test(path)) return refuse('target: escape not allowed');
  if (DOT_SEGMENT.test(path)) return refuse('target: dot segment');
  return path.includes('//') ? refuse('target: empty segment') : ok();
}

function checkHeaders(req: IncomingMessage): Result<void, Fault> {
  const {rawHeaders} = req;
  if (rawHeaders.length > 2 * MAX_HEADERS) return refuse('headers: too many');
  const seen = new Set<string>();
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]?.toLowerCase() ?? '';
    const length = rawHeaders[i + 1]?.length ?? 0;
    const fits = name.length <= MAX_NAME_LENGTH && length <= MAX_VALUE_LENGTH;
    if (!fits) return refuse('headers: one is too long');
    const isOnce = ONCE.has(name) || name.startsWith('baobabspan-');
    if (isOnce && seen.has(name)) return refuse(`${name}: more than once`);
    seen.add(name);
  }
  if (!seen.has('host') && req.httpVersion !== '1.0') {
    return refuse('host: is missing');
  }
  const encoding = req.headers['transfer-encoding'];
  if (encoding === undefined) return ok();
  if (encoding.toLowerCase() !== 'chunked') {
    return refuse('transfer-encoding: must be chunked');
  }
  return seen.has('content-length') ? refuse('content-length: not now') : ok();
}

/**
 * Refuses a request that the next reader might understand otherwise.
 * @param req - the request
 * @returns nothing, or `bad_request`
 */
export function guardRequest(req: IncomingMessage): Result<void, Fault> {
  return checkTarget(req.url ?? '').andThen(() => checkHeaders(req));
}
