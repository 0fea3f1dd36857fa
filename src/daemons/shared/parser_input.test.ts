import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {SystemClock} from '../../observability/index.js';
import {ParserInput} from './parser_input.js';
import {ReadGate} from './read_gate.js';

const REQUEST = 'GET /a HTTP/1.1\r\n\r\n';
const REQUESTS = 3_000;
/** Requests that two slices bring at the most. */
const MAX_AT_PAUSE = 256;

let server: Server;
let client: Socket;
let parsed: number;
let isWithinBody: boolean;
/** Number of requests with which the connection is paused. */
let pauseAt: number;
let input: ParserInput;
let accepted: Socket;
let gate: ReadGate;
let held: number[];
let pushed: number[];

beforeEach(async () => {
  [parsed, pauseAt, isWithinBody] = [0, Infinity, false];
  [held, pushed] = [[], []];
  server = createServer({requireHostHeader: false}, (_req, res) => {
    parsed += 1;
    if (parsed === pauseAt) gate.close();
    res.end();
  });
  server.on('connection', socket => {
    accepted = socket;
    const push = socket.push.bind(socket);
    socket.push = (bytes: Buffer | null) => {
      if (bytes !== null) pushed.push(bytes.length);
      return push(bytes);
    };
    gate = new ReadGate(socket, new SystemClock());
    input = new ParserInput(
      socket,
      () => isWithinBody,
      bytes => held.push(bytes),
    );
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => undefined);
  client.resume();
  await once(client, 'connect');
});
afterEach(() => {
  client.destroy();
  server.close();
});

// A read of 64 KB brought 1,400 requests before the connection could be paused.
it('keeps the rest of a read while its connection is paused', async () => {
  pauseAt = 1;
  client.write(REQUEST.repeat(REQUESTS));
  await expect.poll(() => parsed).toBeGreaterThan(0);
  await new Promise(resolve => setTimeout(resolve, 100));
  expect(parsed).toBeLessThan(MAX_AT_PAUSE);
  expect(input.holdsBytes).toBe(true);
  expect(held.at(-1)).toBe(accepted.bytesRead - input.bytesParsed);
});

it('passes on all of it, in order, once it is resumed', async () => {
  pauseAt = 1;
  client.write(REQUEST.repeat(REQUESTS));
  await expect.poll(() => input?.holdsBytes).toBe(true);
  gate.open();
  await expect.poll(() => parsed).toBe(REQUESTS);
  expect(input.holdsBytes).toBe(false);
  expect(held.at(-1)).toBe(0);
});

// A paused stream of Node reads once more: 64 KB for each connection of a crowd.
it('reads nothing further while its connection is paused', async () => {
  pauseAt = 1;
  client.write(REQUEST);
  await expect.poll(() => parsed).toBe(1);
  const {bytesRead} = accepted;
  client.write(REQUEST.repeat(REQUESTS));
  await new Promise(resolve => setTimeout(resolve, 100));
  expect(accepted.bytesRead).toBe(bytesRead);
  gate.open();
  await expect.poll(() => parsed).toBe(1 + REQUESTS);
});

// Bytes of which nothing could be passed on were in no budget.
it('tells of all bytes that it keeps, also if it passes on none', async () => {
  client.write(REQUEST);
  await expect.poll(() => parsed).toBe(1);
  gate.close();
  accepted.push(Buffer.from(REQUEST));
  expect(held).toEqual([REQUEST.length]);
});

it('tells the parser of the end of the connection', async () => {
  const ended = new Promise(resolve => accepted.once('end', resolve));
  client.end(REQUEST.repeat(REQUESTS));
  await ended;
  expect(parsed).toBe(REQUESTS);
});

// Frames of a link would have cost a call of the parser for each KB.
it('passes on whole reads once the connection has left HTTP', async () => {
  client.write(REQUEST);
  await expect.poll(() => parsed).toBe(1);
  input.release();
  pushed.length = 0;
  client.write('x'.repeat(20_000));
  await expect.poll(() => pushed.length).toBeGreaterThan(0);
  expect(Math.max(...pushed)).toBeGreaterThan(1_024);
});

it('passes on larger slices within a body', async () => {
  client.write(REQUEST);
  await expect.poll(() => parsed).toBe(1);
  isWithinBody = true;
  pushed.length = 0;
  client.write(REQUEST.repeat(REQUESTS));
  await expect.poll(() => parsed).toBe(1 + REQUESTS);
  expect(Math.max(...pushed)).toBe(16 * 2 ** 10);
});
