import {createHash} from 'node:crypto';

import type {OrganisationName} from '../core/index.js';
import {promptPartId} from './types.js';
import type {PromptPartId} from './types.js';

/** Begins the ids that stand for whole requests; prompt parts have hex ids. */
const PREFIX = 'request-';
/** Length of the hash, in hexadecimal digits. */
const HASH_LENGTH = 32;

/** What the repeats of a request have in common. */
export interface RepeatableRequest {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly organisation: OrganisationName | undefined;
  readonly body: Uint8Array;
}

/**
 * Returns the id under which a request without a prompt is quarantined: the same
 * for all repeats of the request.
 * @param request - the request
 */
export function requestFingerprint({
  method,
  path,
  organisation,
  body,
}: RepeatableRequest): PromptPartId {
  const hash = createHash('sha256')
    .update(JSON.stringify([method, path, organisation ?? null]))
    .update(body)
    .digest('hex');
  return promptPartId(PREFIX + hash.slice(0, HASH_LENGTH));
}

/**
 * Returns whether an id stands for a whole request.
 * @param part - the id
 */
export function isRequestFingerprint(part: PromptPartId): boolean {
  return part.startsWith(PREFIX);
}
