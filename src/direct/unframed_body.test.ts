import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {PlatformDialect} from '../../platform/headers.js';
import {bufferWork} from '../../test/support/buffer_work.js';
import {UnframedBody} from './index.js';

const ID = 'r1';
const bytes = (text: string) => Buffer.from(text, 'latin1');

const headOf = (status = '200 OK', id = ID, more = '') =>
  `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${more}\r\n`;

/** Pushes a text in chunks that end at the cuts, and closes. */
function read(text: string, cuts: readonly number[] = []) {
  const body = new UnframedBody(new PlatformDialect(), {status: 200, id: ID});
  const ends = [...new Set([...cuts, text.length])].sort((a, b) => a - b);
  const known = ends.map((end, i) =>
    body.push(bytes(text.slice(ends[i - 1] ?? 0, end))),
  );
  const stateBefore = body.state;
  known.push(body.close());
  const {state, extra} = body;
  return {
    body: Buffer.concat(known).toString('latin1'),
    state,
    stateBefore,
    extra,
  };
}

/** Texts that are heads, parts of heads, or near them. */
const fragment = fc.constantFrom(
  'x',
  'H',
  'HTTP/1.',
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200\n',
  'HTTP/1.1 500 Error\r\n',
  'HTTP/1.1 2',
  '\r\n',
  '\n',
  '\x00',
  'a: b\r\n',
  'a b\r\n',
  `Request-Id: ${ID}\r\n`,
  'Request-Id: r2\r\n',
  'Content-Length: 3\r\n',
  'HTTP/1.1 200 OK\r\n\r\n',
  headOf(),
);

describe('UnframedBody', () => {
  it('decides the same regardless of chunk boundaries', () => {
    fc.assert(
      fc.property(
        fc.array(fragment, {maxLength: 12}),
        fc.array(fc.nat(400), {maxLength: 40}),
        (fragments, cuts) => {
          const text = fragments.join('');
          const within = cuts.filter(cut => cut < text.length);
          expect(read(text, within)).toEqual(read(text));
        },
      ),
      {numRuns: 2_000},
    );
  });

  it('never releases a byte of a head that names a request', () => {
    fc.assert(
      fc.property(
        fc.array(fragment, {maxLength: 6}),
        fc.array(fragment, {maxLength: 6}),
        fc.array(fc.nat(400), {maxLength: 40}),
        (before, after, cuts) => {
          const prefix = before.join('');
          const text = `${prefix}${headOf()}${after.join('')}`;
          const within = cuts.filter(cut => cut < text.length);
          expect(prefix.startsWith(read(text, within).body)).toBe(true);
        },
      ),
      {numRuns: 2_000},
    );
  });

  it('returns any body without a head unchanged', () => {
    const alphabet = fc.constantFrom(...'HTP/1. 20\r\n:x');
    fc.assert(
      fc.property(
        fc.array(alphabet, {maxLength: 60}),
        fc.array(fc.nat(60)),
        (letters, cuts) => {
          const text = `${letters.join('')}\n.`;
          const got = read(
            text,
            cuts.filter(cut => cut < text.length),
          );
          expect(got).toMatchObject({body: text, state: 'whole'});
        },
      ),
      {numRuns: 2_000},
    );
  });

  it.each<[string, string, string, string]>([
    ['is repeated', 'abc', headOf() + 'abc', 'whole'],
    ['is empty and repeated', '', headOf(), 'whole'],
    [
      'is repeated with a length',
      'abc',
      headOf('200 OK', ID, 'Content-Length: 3\r\n'),
      'whole',
    ],
    ['is repeated twice', 'abc', `${headOf()}abc${headOf()}abc`, 'whole'],
    ['has a shorter repeat', 'abc', headOf() + 'ab', 'ambiguous'],
    ['has a longer repeat', 'abc', headOf() + 'abcd', 'ambiguous'],
    ['has a repeat of other content', 'abc', headOf() + 'abd', 'ambiguous'],
    [
      'has a repeat of another length',
      'abc',
      headOf('200 OK', ID, 'Content-Length: 4\r\n') + 'abc',
      'ambiguous',
    ],
    [
      'has a repeat with two lengths',
      'abc',
      headOf('200 OK', ID, 'Content-Length: 3\r\nContent-Length: 3\r\n'),
      'ambiguous',
    ],
    [
      'is followed by a failure of the same length',
      'abc',
      headOf('500 Error', ID, 'Content-Length: 3\r\n') + 'abc',
      'ambiguous',
    ],
    [
      "is followed by another request's response",
      'abc',
      headOf('200 OK', 'r2') + 'abc',
      'ambiguous',
    ],
    ['is followed by part of a head', 'abc', 'HTTP/1.1 200 O', 'ambiguous'],
  ])('that %s is known to be so', (_name, body, rest, state) => {
    const got = read(body + rest);
    expect(got.state).toBe(state);
    expect(got.body).toBe(body);
    expect(got.extra).toMatchObject({
      bodyBytes: body.length,
      isBodyWhole: state === 'whole',
    });
  });

  it('is whole before its connection closes, if its repeat has a length', () => {
    const repeat = headOf('200 OK', ID, 'Content-Length: 3\r\n');
    expect(read(`abc${repeat}`).stateBefore).toBe('whole');
    expect(read(`abc${headOf()}abc`).stateBefore).toBe('open');
  });

  it('takes a time in proportion to its size', () => {
    const adversarial = [
      'HTTP/1.1 200 ',
      'HTTP/1.1 200 OK\r\n',
      'HTTP/1.1 200 OK\r\na: ',
      'HTTP/1.1 200 HTTP/1.1 200 \x00',
      `HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(1_000)}`,
    ];
    for (const part of adversarial) {
      const text = bytes(part.repeat(Math.ceil(2 ** 21 / part.length)));
      const body = new UnframedBody(new PlatformDialect(), {
        status: 200,
        id: ID,
      });
      const startedAt = performance.now();
      for (let at = 0; at < text.length; at += 1_000)
        body.push(text.subarray(at, at + 1_000));
      const ms = performance.now() - startedAt;
      expect(ms, JSON.stringify(part.slice(0, 40))).toBeLessThan(5_000);
    }
  });

  // Each chunk was copied together with all that was held back of a possible head.
  it('does work in proportion to a possible head that arrives by the byte', () => {
    const workOf = (size: number) => {
      const head = `HTTP/1.1 200 OK\r\nX: ${'a'.repeat(size)}`;
      const cuts = Array.from({length: head.length}, (_, at) => at);
      return bufferWork(() => read(head, cuts));
    };
    expect(workOf(2 ** 13)).toBeLessThan(2.5 * workOf(2 ** 12));
  });
});
