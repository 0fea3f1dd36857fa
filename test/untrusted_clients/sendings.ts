/** What clients send that stay outside of the limits, or just within them. */
import {blockOf, chunkedBody} from './crowd.js';
import type {Sending} from './crowd.js';

const MEBIBYTE = 2 ** 20;
const BODY_BYTES = 4 * MEBIBYTE;

/** Framing of a chunked body. */
const CHUNKED = 'Transfer-Encoding: chunked';

/** Heads that do not end. */
export const ENDLESS_HEADS: Readonly<Record<string, Sending>> = {
  'one header line': {
    begin: 'POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nX: ',
    repeated: blockOf('a'),
  },
  'header lines of 28 bytes': {
    begin: 'POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\n',
    repeated: blockOf('X-Filler-01: abcdefghijklm\r\n'),
  },
  'header lines of 6 bytes': {
    begin: 'POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\n',
    repeated: blockOf('ab:c\r\n'),
  },
  'empty lines before a request': {begin: '', repeated: blockOf('\r\n')},
};

/**
 * Returns bodies, by name, with what their clients send.
 * @param headOf - returns the head of a request with a framing line
 */
export function bodiesWith(
  headOf: (framing: string) => string,
): Readonly<Record<string, Sending>> {
  const chunked = headOf(CHUNKED);
  return {
    'one chunk that stops short': {
      begin: `${chunked}${(BODY_BYTES - 100).toString(16)}\r\n`,
      repeated: blockOf('x'),
      times: BODY_BYTES / 2 ** 16 - 1,
    },
    'chunks of 64 KB that stop short': chunkedBody(
      chunked,
      64_000,
      BODY_BYTES - 64_000,
    ),
    'chunks of 64 KB without end': chunkedBody(chunked, 64_000, Infinity),
    'chunks of one byte that stop short': chunkedBody(
      chunked,
      1,
      BODY_BYTES - 1,
    ),
    'lines without end behind the last chunk': {
      begin: `${chunked}1\r\nx\r\n0\r\n`,
      repeated: blockOf('ab:c\r\n'),
    },
    'an announced length of 4 GB': {
      begin: headOf(`Content-Length: ${4 * 2 ** 30}`),
      repeated: blockOf('x'),
    },
  };
}

/** Blocks of 64 KB that a client sends of requests ahead of their responses. */
const PIPELINE_BLOCKS = 100;

/**
 * Returns requests that are sent ahead of their responses, by name. Those without
 * the usual headers are the shortest, so that one read brings the most.
 * @param path - path of the requests
 * @param usual - the usual header lines, each with its end
 */
export function pipelinesTo(
  path: string,
  usual: string,
): Readonly<Record<string, Sending>> {
  const post = `POST ${path} HTTP/1.1\r\n`;
  const get = `GET ${path} HTTP/1.1\r\n`;
  const ofLength = 'Content-Length: 1\r\n\r\nx';
  const ofChunks = `${CHUNKED}\r\n\r\n1\r\nx\r\n0\r\n\r\n`;
  const requests = {
    'POST without a header': post + ofLength,
    'POST with a Host': `${post}Host: a\r\n${ofLength}`,
    'chunked POST with a Host': `${post}Host: a\r\n${ofChunks}`,
    'POST with the usual headers': post + usual + ofLength,
    'chunked POST with the usual headers': post + usual + ofChunks,
    'GET without a header': `${get}\r\n`,
    'GET with a Host': `${get}Host: a\r\n\r\n`,
    'GET with the usual headers': `${get}${usual}\r\n`,
    'GET with an unknown Expect': `${get}Expect: x\r\n\r\n`,
    'GET of HTTP/1.0': `GET ${path} HTTP/1.0\r\nConnection: keep-alive\r\n\r\n`,
  };
  const sendings = Object.entries(requests).map(([name, request]) => {
    const sending = {
      begin: '',
      repeated: blockOf(request),
      times: PIPELINE_BLOCKS,
    };
    return [name, sending] as const;
  });
  return Object.fromEntries(sendings);
}
