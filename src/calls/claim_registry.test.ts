import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  callId,
  incarnation,
  offset,
  organisationName,
  recordId,
  serviceName,
} from '../core/index.js';
import {ClaimBatcher} from './claim_batcher.js';
import {ClaimRegistry} from './claim_registry.js';
import {keyScope} from './claim_records.js';
import type {Claim, ClaimRecord} from './claim_records.js';

const claim = (id: string): Claim => ({
  id,
  callId: callId(id),
  attempt: 1,
  service: serviceName('depot'),
  organisation: organisationName('org'),
  key: 'k',
  digest: 'd',
  sidecar: incarnation('depot-1/1'),
});
const record = (
  id: string,
  claims: string[],
  releases: string[] = [],
): ClaimRecord => ({
  kind: 'claims',
  id: recordId(id),
  wall: 0,
  releases,
  claims: claims.map(claim),
});
const SCOPE = keyScope(claim('any'));

function fold(records: readonly ClaimRecord[]): ClaimRegistry {
  const registry = new ClaimRegistry();
  records.forEach((one, at) => registry.fold(offset(at), one));
  return registry;
}

describe('ClaimBook', () => {
  const A = record('r1', ['a']);
  const B = record('r2', ['b']);
  const FREE_A = record('r3', [], ['a']);
  it.each([
    {title: 'the first claim holds the key', log: [A, B], stands: 'a'},
    {title: 'log order decides', log: [B, A], stands: 'b'},
    {title: 'a release frees the key', log: [A, FREE_A], stands: undefined},
    {
      title: 'a later claim holds the released key',
      log: [A, FREE_A, B],
      stands: 'b',
    },
    {
      title: 'a lost claim does not hold the released key',
      log: [A, B, FREE_A],
      stands: undefined,
    },
    {title: 'a duplicate record', log: [A, FREE_A, A], stands: undefined},
    {
      title: 'a claim repeated in another record',
      log: [A, FREE_A, record('r4', ['a'])],
      stands: undefined,
    },
    {
      title: 'a release repeated after a new claim',
      log: [A, FREE_A, B, FREE_A, record('r5', [], ['a'])],
      stands: 'b',
    },
    {title: 'a release that comes first', log: [FREE_A, A], stands: undefined},
    {
      title: 'a release and a claim in one record',
      log: [A, record('r6', ['b'], ['a'])],
      stands: 'b',
    },
  ])('$title', ({log, stands}) => {
    expect(fold(log).find(SCOPE)?.id).toBe(stands);
  });

  it('prunes claims that the log no longer retains', () => {
    const registry = fold([A, B]);
    registry.pruneBefore(offset(1));
    expect(registry.find(SCOPE)).toBeUndefined();
    expect([registry.hasSeen('a'), registry.hasSeen('b')]).toEqual([
      false,
      true,
    ]);
  });

  it('depends only on the first occurrence of each record', () => {
    const records = fc.array(
      fc.record({
        id: fc.constantFrom('r1', 'r2', 'r3', 'r4'),
        claims: fc.array(fc.constantFrom('a', 'b', 'c'), {maxLength: 2}),
        releases: fc.array(fc.constantFrom('a', 'b', 'c'), {maxLength: 1}),
      }),
    );
    fc.assert(
      fc.property(records, drawn => {
        const log = drawn.map(one => record(one.id, one.claims, one.releases));
        const first = log.filter(
          (one, at) => log.findIndex(other => other.id === one.id) === at,
        );
        expect(fold(log).find(SCOPE)?.id).toBe(fold(first).find(SCOPE)?.id);
      }),
      {seed: 21, numRuns: 500},
    );
  });
});

describe('ClaimBatcher', () => {
  let lastId = 0;
  const next = (batcher: ClaimBatcher) =>
    batcher.next(0, () => recordId(`r${++lastId}`));

  it('retries the same record until it is confirmed', () => {
    const batcher = new ClaimBatcher();
    batcher.addClaim(claim('a'));
    const first = next(batcher);
    batcher.addClaim(claim('b'));
    expect(next(batcher)).toBe(first);
    batcher.confirm(first!.id);
    expect(next(batcher)?.claims.map(({id}) => id)).toEqual(['b']);
  });

  it('releases a withdrawn claim only once it may be in the log', () => {
    const batcher = new ClaimBatcher();
    batcher.addClaim(claim('a'));
    batcher.withdraw('a');
    expect(next(batcher)).toBeUndefined();
    batcher.addClaim(claim('b'));
    const sent = next(batcher);
    batcher.withdraw('b');
    batcher.confirm(sent!.id);
    expect(next(batcher)).toMatchObject({claims: [], releases: ['b']});
  });
});
