import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {MINUTE, incarnation} from '../core/index.js';
import type {Incarnation, Millis} from '../core/index.js';
import {Fault} from '../errors/index.js';
import {KEY_WINDOW} from './call_ledger.js';
import type {CallKey} from './types.js';

/** Maximum tolerated clock difference between two VMs. */
const MAX_CLOCK_SKEW: Millis = 5 * MINUTE;
const MAX_KEY_LENGTH = 255;
const ISSUED_KEY = /^bsk1\.([A-Za-z0-9_-]+)\.([0-9a-z]+)\.([0-9a-f]+)$/;
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const BASE36 = 36;
const HEX = 16;

/**
 * Issues an idempotency key that names the sidecar that stores it.
 * @param wall - wall-clock time, ms since 1970
 * @param sidecar - the sidecar
 * @param random - unique hexadecimal text
 */
export function issueKey(
  wall: number,
  sidecar: Incarnation,
  random: string,
): string {
  const name = Buffer.from(sidecar).toString('base64url');
  return `bsk1.${name}.${Math.floor(wall).toString(BASE36)}.${random}`;
}

/**
 * Parses the `Idempotency-Key` of a request.
 * @param wall - wall-clock time, ms since 1970
 * @param value - the key
 * @param digest - SHA-256 of method, path and body
 * @returns the key, `key_expired` if its timestamp is too old, or `bad_request`
 */
export function parseKey(
  wall: number,
  value: string,
  digest: string,
): Result<CallKey, Fault> {
  if (value === '' || value.length > MAX_KEY_LENGTH) {
    const detail = `Idempotency-Key: must have 1 to ${MAX_KEY_LENGTH} characters`;
    return err(new Fault('bad_request', detail));
  }
  const [, name, issued] = ISSUED_KEY.exec(value) ?? [];
  const createdAt =
    issued === undefined ? uuidTimestamp(value) : parseInt(issued, BASE36);
  if (createdAt !== undefined && wall - createdAt > KEY_WINDOW) {
    return err(new Fault('key_expired'));
  }
  if (createdAt !== undefined && createdAt - wall > MAX_CLOCK_SKEW) {
    const detail = 'Idempotency-Key: its date is in the future';
    return err(new Fault('bad_request', detail));
  }
  if (name === undefined) return ok({kind: 'caller', value, digest, createdAt});
  const sidecar = incarnation(Buffer.from(name, 'base64url').toString('utf8'));
  return ok({kind: 'issued', value, digest, sidecar});
}

/** Returns the timestamp of a version 7 UUID, ms since 1970. */
function uuidTimestamp(value: string): number | undefined {
  const [, high, low] = UUID_V7.exec(value) ?? [];
  return high === undefined ? undefined : parseInt(`${high}${low}`, HEX);
}
