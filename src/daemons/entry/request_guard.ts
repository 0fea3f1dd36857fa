import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {headerPairs, malformedField} from '../../core/index.js';
import {Fault} from '../../errors/index.js';

/** Limits within those of links: a request above them would close its link. */
const MAX_HEADERS = 90;
const MAX_NAME_LENGTH = 200;
const MAX_VALUE_LENGTH = 16_000;
const MAX_TARGET_LENGTH = 8_000;

/** Characters of a target in origin form; others must be escaped. */
const TARGET_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,;=:@%/?-]*$/;
/** Malformed escapes, and those of a slash, a dot or a control character. */
const FORBIDDEN_ESCAPE = /%(?![0-9a-f]{2})|%(?:2f|5c|2e|[01][0-9a-f]|7f)/i;
const DOT_SEGMENT = /\/\.{1,2}(?:\/|$)/;

/** Headers that parsers interpret differently when repeated. */
const SINGLE_VALUE_HEADERS = new Set([
  'authorization',
  'content-length',
  'content-type',
  'expect',
  'host',
  'idempotency-key',
  'transfer-encoding',
]);

const reject = (detail: string) => err(new Fault('bad_request', detail));

function checkTarget(target: string): Result<void, Fault> {
  if (target.length > MAX_TARGET_LENGTH) return reject('target: too long');
  if (!TARGET_PATTERN.test(target))
    return reject('target: not an absolute path');
  const [path = ''] = target.split('?', 1);
  if (FORBIDDEN_ESCAPE.test(path)) return reject('target: escape not allowed');
  if (DOT_SEGMENT.test(path)) return reject('target: dot segment');
  return path.includes('//') ? reject('target: empty segment') : ok();
}

function checkHeaders(req: IncomingMessage): Result<void, Fault> {
  const {rawHeaders} = req;
  if (rawHeaders.length > 2 * MAX_HEADERS) return reject('headers: too many');
  const line = malformedField(headerPairs(rawHeaders));
  if (line !== undefined) return reject(`headers: ${line} is malformed`);
  const seen = new Set<string>();
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]?.toLowerCase() ?? '';
    const length = rawHeaders[i + 1]?.length ?? 0;
    const fits = name.length <= MAX_NAME_LENGTH && length <= MAX_VALUE_LENGTH;
    if (!fits) return reject('headers: one is too long');
    const isSingleValue =
      SINGLE_VALUE_HEADERS.has(name) || name.startsWith('baobabspan-');
    if (isSingleValue && seen.has(name))
      return reject(`${name}: more than once`);
    seen.add(name);
  }
  if (!seen.has('host') && req.httpVersion !== '1.0') {
    return reject('host: is missing');
  }
  const encoding = req.headers['transfer-encoding'];
  if (encoding === undefined) return ok();
  if (encoding.toLowerCase() !== 'chunked') {
    return reject('transfer-encoding: must be chunked');
  }
  return seen.has('content-length') ? reject('content-length: not now') : ok();
}

/**
 * Rejects a request that the next parser might interpret differently.
 * @param req - the request
 * @returns nothing, or `bad_request`
 */
export function guardRequest(req: IncomingMessage): Result<void, Fault> {
  return checkTarget(req.url ?? '').andThen(() => checkHeaders(req));
}
