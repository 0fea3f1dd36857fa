import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  chunk,
  DirectEstate,
  event,
  requestIdOf,
  ROUTES,
  sealedAnswer,
  sendRaw,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';
import {recordUncaught} from './support/uncaught.js';

let estate: DirectEstate;
const uncaught = recordUncaught();

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(async () => {
  await estate.close();
});

const PATHS = ['/load/1', '/sheet/1', '/plan/1'];

async function withUpstreams(...scripts: Script[]): Promise<void> {
  for (const script of scripts) await estate.addUpstream(script);
  estate.configure(3, ROUTES);
  await estate.waitUntilReady();
}

/** Returns a sealed answer with a status line and one more header line. */
const answerWith =
  (statusLine: string, line = '', framing: 'length' | 'chunks' = 'length') =>
  (head: string) => {
    const [framingLine, body] =
      framing === 'length'
        ? [`Content-Length: ${event(1).length}`, event(1)]
        : ['Transfer-Encoding: chunked', `${chunk(event(1))}0\r\n\r\n`];
    return (
      `${statusLine}\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
      `Response-Seal: s\r\n${line}${framingLine}\r\n\r\n${body}`
    );
  };

// A flipped bit in a status line ended the entry and all that it carried (LOST).
describe('an upstream whose response has a malformed head', () => {
  const heads: [string, (head: string) => string][] = [
    ['status 000', answerWith('HTTP/1.1 000 OK')],
    ['status 000 without a reason', answerWith('HTTP/1.1 000')],
    ['status 0', answerWith('HTTP/1.1 0 OK')],
    ['status 042 in chunks', answerWith('HTTP/1.1 042 OK', '', 'chunks')],
    ['status 099', answerWith('HTTP/1.1 099 OK')],
    ['status 600', answerWith('HTTP/1.1 600 OK')],
    ['status 999', answerWith('HTTP/1.1 999 OK')],
    ['a space before a colon', answerWith('HTTP/1.1 200 OK', 'X : a\r\n')],
    ['a line without a name', answerWith('HTTP/1.1 200 OK', ': a\r\n')],
  ];

  it.each(
    PATHS.flatMap(path => heads.map(([name, bytes]) => ({name, path, bytes}))),
  )('with $name on $path fails that request alone', async ({path, bytes}) => {
    await withUpstreams(({head, socket}) => {
      if (head.includes('X-Sound')) {
        setTimeout(() => socket.write(sealedAnswer(head, event(1))), 100);
      } else socket.write(bytes(head));
    });
    const sound = estate.call(path, {'X-Sound': '1'});
    const answer = await estate.call(path).catch(() => undefined);
    expect(answer?.status).toBe(502);
    expect(await sound).toMatchObject({status: 200, isWhole: true});
    expect(uncaught).toEqual([]);
  });

  it('is tried no more by a request that another upstream can run', async () => {
    let isFirst = true;
    const script: Script = ({head, socket}) => {
      socket.write(
        isFirst
          ? answerWith('HTTP/1.1 000 OK')(head)
          : sealedAnswer(head, 'done'),
      );
      isFirst = false;
    };
    await withUpstreams(script, script);
    const answer = await estate.call('/sheet/1', {}, 'GET');
    expect(answer).toMatchObject({status: 200, body: 'done', isWhole: true});
  });
});

// One request of any caller with a valid key ended the entry (LOST).
describe('a caller whose request has a malformed header line', () => {
  it.each([
    ['a space before a colon', 'X : a'],
    ['no name', ': a'],
    ['a second length in disguise', 'Content-Length : 9'],
  ])('with %s gets 400, and others are served', async (_name, line) => {
    await withUpstreams(({head, socket}) => {
      setTimeout(() => socket.write(sealedAnswer(head, 'done')), 100);
    });
    const sound = estate.call('/load/1');
    const answer = await sendRaw(
      estate.callersAddress,
      'POST /load/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: odd\r\n' +
        `Authorization: Bearer k1\r\n${line}\r\nContent-Length: 4\r\n\r\nload`,
    );
    expect(answer.text).toMatch(/^HTTP\/1\.1 400 /);
    expect(await sound).toMatchObject({status: 200, isWhole: true});
    const received = estate.upstreams.flatMap(one => one.received);
    expect(received.filter(head => head.includes(': odd'))).toEqual([]);
    expect(uncaught).toEqual([]);
  });
});

// On-call found neither a line nor a count of a request that was refused before it was
// admitted.
describe('a request that is refused as it is read', () => {
  const head = (lines: string) =>
    'POST /load/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: odd\r\n' +
    `Connection: close\r\n${lines}\r\n\r\n`;

  it.each([
    ['bad_request', 400, 'X : a\r\nContent-Length: 0'],
    ['headers_too_large', 431, `X: ${'a'.repeat(20_000)}`],
    ['body_too_large', 413, 'Content-Length: 70000'],
  ])('is counted as %s', async (reason, status, lines) => {
    await withUpstreams(() => undefined);
    const answer = await sendRaw(estate.callersAddress, head(lines));
    expect(answer.text).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
    const {body} = await estate.operate('/metrics');
    expect(body).toContain(
      `baobabspan_refusals_total{reason="${reason}",service=""} 1`,
    );
  });
});
