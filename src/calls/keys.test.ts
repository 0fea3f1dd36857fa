import {describe, expect, it} from 'vitest';

import {HOUR, incarnation} from '../core/index.js';
import {issueKey, parseKey} from './keys.js';

const WALL = Date.UTC(2026, 11, 4);
const SIDECAR = incarnation('depot-1/abc-1');

function uuidV7(wall: number): string {
  const hex = wall.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
}

describe('parseKey', () => {
  const issued = (wall: number) => issueKey(wall, SIDECAR, 'ff');
  it.each([
    {key: 'order-17', result: 'caller'},
    {key: uuidV7(WALL), result: 'caller'},
    {key: uuidV7(WALL - 2 * HOUR), result: 'key_expired'},
    {key: uuidV7(WALL + HOUR), result: 'bad_request'},
    {key: issued(WALL), result: 'issued'},
    {key: issued(WALL - 2 * HOUR), result: 'key_expired'},
    {key: issued(WALL + HOUR), result: 'bad_request'},
    {key: '', result: 'bad_request'},
    {key: 'x'.repeat(300), result: 'bad_request'},
  ])('reads $key as $result', ({key, result}) => {
    const parsed = parseKey(WALL, key, 'digest');
    const told = parsed.match(
      ({kind}) => kind as string,
      fault => fault.reason,
    );
    expect(told).toBe(result);
  });

  it('finds the sidecar that an issued key names', () => {
    const parsed = parseKey(WALL, issued(WALL), 'digest')._unsafeUnwrap();
    expect(parsed).toMatchObject({kind: 'issued', sidecar: SIDECAR});
  });
});
