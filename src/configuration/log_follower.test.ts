import {describe, expect, it} from 'vitest';

import {publicationOf, tinyText} from '../../test/support/texts.js';
import {offset, recordId, version} from '../core/index.js';
import type {LogPage} from '../core/index.js';
import {LogFollower} from './log_follower.js';

const A = tinyText('a');
const B = tinyText('b');

function checkpointOf(at: number, text: string, foldedTo: number) {
  const state = {version: version(at), text, foldedTo: offset(foldedTo)};
  const author = 'someone';
  return {
    kind: 'checkpoint',
    id: recordId(`c${at}`),
    publicationId: recordId(''),
    author,
    ...state,
  };
}

/** Returns a page whose first record has the offset `earliest`. */
function pageAt(earliest: number, ...data: unknown[]): LogPage {
  const records = data.map((one, i) => ({
    offset: offset(earliest + i),
    data: one,
  }));
  const next = offset(earliest + data.length);
  return {earliest: offset(earliest), next, records};
}

function followPages(...pages: LogPage[]) {
  const follower = new LogFollower();
  const reports = pages.map(page => follower.applyPage(page));
  const {version, foldedTo} = follower.history.folded;
  return {follower, reports, version, foldedTo};
}

const MALFORMED = [
  null,
  'text',
  [],
  {kind: 'publication'},
  {kind: 'checkpoint', id: 'c', version: -1, text: A, foldedTo: 0},
  {...publicationOf(0, A, 'p'), base: 0.5},
  {kind: 'other', id: 'x'},
];

describe('LogFollower', () => {
  it.each(MALFORMED)('skips a malformed record: %j', data => {
    const {reports, version, foldedTo} = followPages(
      pageAt(0, data, publicationOf(0, A, 'p1')),
    );
    expect(reports[0]?.malformed).toEqual([0]);
    expect({version, foldedTo}).toEqual({version: 1, foldedTo: 1});
  });

  it.each([
    ['stale base', publicationOf(0, B, 'p2'), 'stale_base'],
    ['base ahead', publicationOf(2, B, 'p2'), 'stale_base'],
    ['no YAML', publicationOf(1, 'schema: [', 'p2'), 'invalid_text'],
    ['a scalar', publicationOf(1, 'schema', 'p2'), 'invalid_text'],
    ['no schema', publicationOf(1, 'a: 1', 'p2'), 'invalid_text'],
    ['schema 0', publicationOf(1, 'schema: 0', 'p2'), 'invalid_text'],
    ['schema 1.5', publicationOf(1, 'schema: 1.5', 'p2'), 'invalid_text'],
    ['schema "2"', publicationOf(1, 'schema: "2"', 'p2'), 'invalid_text'],
  ])('rejects a publication with %s', (_name, publication, reason) => {
    const {follower, version} = followPages(
      pageAt(0, publicationOf(0, A, 'p1'), publication),
    );
    expect(version).toBe(1);
    expect(follower.history.verdictOf(recordId('p2'))).toMatchObject({
      accepted: false,
      reason,
      author: 'author-of-p1',
    });
  });

  it('evaluates a duplicate alike wherever the fold starts', () => {
    const ahead = publicationOf(1, B, 'ahead');
    const log = [ahead, publicationOf(0, A, 'p1'), ahead];
    const whole = followPages(pageAt(0, ...log));
    const later = new LogFollower();
    const half = followPages(pageAt(0, ...log.slice(0, 2)));
    later.adopt(half.follower.history.folded);
    later.applyPage(pageAt(2, ahead));
    expect(later.history.folded).toEqual(whole.follower.history.folded);
  });

  it('returns the first verdict for a duplicate of the version in force', () => {
    const p1 = publicationOf(0, A, 'p1');
    const {follower} = followPages(pageAt(0, p1, p1));
    const accepted = {accepted: true, version: 1};
    expect(follower.history.verdictOf(p1.id)).toEqual(accepted);
    const later = new LogFollower();
    later.adopt(follower.history.folded);
    expect(later.history.verdictOf(p1.id)).toEqual(accepted);
  });

  it.each([
    ['includes all that expired', 6, 6, true],
    ['includes more', 7, 6, true],
    ['misses one record', 5, 6, false],
    ['is much older', 0, 6, false],
    ['claims to include itself', 8, 6, false],
  ])('a checkpoint that %s', (_name, foldedTo, gone, isTrusted) => {
    const first = gone + 1;
    const page = pageAt(first, {}, checkpointOf(4, A, foldedTo));
    const {follower, version} = followPages(page);
    expect(follower.hasGap).toBe(!isTrusted);
    expect(version).toBe(isTrusted ? 4 : 0);
    expect(follower.isCaughtUp).toBe(isTrusted);
  });

  it('folds the records after a checkpoint of a later page', () => {
    const publication = publicationOf(4, B, 'p5');
    const first = pageAt(7, publication);
    const {follower} = followPages(first, pageAt(7, publication, {}));
    expect(follower.hasGap).toBe(true);
    follower.applyPage({
      ...pageAt(9, checkpointOf(4, A, 6)),
      earliest: offset(7),
    });
    expect(follower.position).toBe(7);
    const rest = [publication, {}, checkpointOf(4, A, 6)];
    follower.applyPage(pageAt(7, ...rest));
    expect(follower.history.folded).toMatchObject({version: 5, foldedTo: 9});
  });

  it('folds what follows after the log has come back from an older copy', () => {
    const log = [publicationOf(0, A, 'p1'), publicationOf(1, B, 'p2'), {}];
    const {follower} = followPages(pageAt(0, ...log));
    expect(follower.history.folded.version).toBe(2);
    follower.applyPage({...pageAt(1), earliest: offset(0)});
    expect(follower.position).toBe(1);
    const third = publicationOf(2, A, 'p3');
    follower.applyPage({...pageAt(1, third), earliest: offset(0)});
    expect(follower.history.folded.version).toBe(3);
  });

  it('rereads records that were read but not folded', () => {
    const {follower} = followPages(pageAt(7, {}, {}, {}));
    expect(follower.position).toBe(10);
    const publicationId = recordId('');
    const state = {version: version(4), text: A, author: '', publicationId};
    follower.adopt({...state, foldedTo: offset(8)});
    expect(follower.position).toBe(9);
  });

  it('does not fold past a record missing from the page', () => {
    const {foldedTo} = followPages({
      ...pageAt(1, publicationOf(0, A, 'p1')),
      earliest: offset(0),
    });
    expect(foldedTo).toBe(-1);
  });

  it('stops at a newer schema and relays the adopted state', () => {
    const newer = tinyText('b', 2);
    const {follower, foldedTo} = followPages(
      pageAt(
        0,
        publicationOf(0, A, 'p1'),
        publicationOf(1, newer, 'p2'),
        publicationOf(2, B, 'p3'),
      ),
    );
    expect(foldedTo).toBe(0);
    expect(follower.history.blockedAt).toBe(1);
    expect(follower.position).toBe(3);
    const p2 = recordId('p2');
    const state = {version: version(2), text: newer, author: '', foldedTo: 1};
    follower.adopt({...state, foldedTo: offset(1), publicationId: p2});
    expect(follower.history.inForce?.version).toBe(1);
    expect(follower.history.isUnreadable).toBe(true);
    follower.applyPage({
      ...pageAt(2, publicationOf(2, B, 'p3')),
      earliest: offset(0),
    });
    expect(follower.history.inForce?.version).toBe(3);
  });

  it.each([
    ['an older state', {version: 3, text: A, foldedTo: 0}],
    ['a lower version further on', {version: 1, text: A, foldedTo: 9}],
    ['another text for the version', {version: 2, text: A, foldedTo: 9}],
    ['a text that no program accepts', {version: 3, text: '][', foldedTo: 9}],
  ])('does not adopt %s', (_name, state) => {
    const {follower} = followPages(
      pageAt(0, publicationOf(0, A, 'p1'), publicationOf(1, B, 'p2')),
    );
    const adopted = follower.adopt({
      version: version(state.version),
      text: state.text,
      author: '',
      publicationId: recordId(''),
      foldedTo: offset(state.foldedTo),
    });
    expect(adopted).toBe(false);
    expect(follower.history.inForce?.version).toBe(2);
  });
});
