import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {Readable} from 'node:stream';

import {afterEach, describe, expect, it, vi} from 'vitest';

import type {AnswerHead, CallMessage} from '../../calls/index.js';
import {callId, organisationName, serviceName} from '../../core/index.js';
import {UpstreamRequest, createUpstreamAgent} from './upstream_request.js';

const servers: Server[] = [];
afterEach(() => servers.splice(0).forEach(server => server.close()));

const CALL: CallMessage = {
  type: 'call',
  callId: callId('c1'),
  attempt: 1,
  service: serviceName('assistant'),
  organisation: organisationName('depot'),
  weight: 1,
  priority: 'normal',
  idempotent: true,
  remainingMs: 1_000,
  method: 'GET',
  path: '/plan',
  headers: {},
  body: new Uint8Array(0),
  credit: 64,
};
const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;
const headOf = (status: string, more: string) =>
  `HTTP/1.1 ${status}\r\nContent-Type: text/event-stream\r\n${more}\r\n`;

/** Sends a call to an upstream that writes the bytes and closes. */
function answerOf(bytes: string, change: Partial<CallMessage> = {}) {
  return resultOf(socket => socket.end(bytes), change);
}

/** Sends a call to an upstream that answers with a script. */
async function resultOf(
  script: (socket: Socket) => void,
  change: Partial<CallMessage> = {},
) {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => script(socket));
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const agent = createUpstreamAgent();
  let [body, head]: [string, AnswerHead | undefined] = ['', undefined];
  let end: 'complete' | 'unreachable' | string = '';
  await new UpstreamRequest(
    `http://127.0.0.1:${port}`,
    agent,
    {...CALL, ...change},
    {
      onHead: received => (head = received),
      onData: piece => (body += Buffer.from(piece.body).toString()),
      onEnd: () => (end = 'complete'),
      isFlowControlled: () => false,
      onUnreachable: () => (end = 'unreachable'),
      onFailure: detail => (end = detail),
    },
  ).run();
  await agent.destroy();
  return {end, body, head: head as AnswerHead | undefined};
}

describe('UpstreamRequest', () => {
  it('completes a stream that ends with its connection', async () => {
    const answer = await answerOf(headOf('200 OK', '') + event(1));
    expect(answer).toMatchObject({end: 'complete', body: event(1)});
  });

  it.each([true, false])(
    'fails for a stream that ends within an event (idempotent: %s)',
    async idempotent => {
      const bytes = headOf('200 OK', '') + event(1) + 'id: 2\ndat';
      const {end} = await answerOf(bytes, {idempotent});
      expect(end).toBe('the stream ended within an event');
    },
  );

  // The entry that is given such a head throws as it writes it to the caller.
  it.each([
    ['status 000', headOf('000 OK', '')],
    ['status 000 without a reason', headOf('000', '')],
    ['status 0', headOf('0 OK', '')],
    ['status 042', headOf('042 OK', '')],
    ['status 099', headOf('099 OK', '')],
    ['status 150', headOf('150 OK', '')],
    ['status 600', headOf('600 OK', '')],
    ['a space before a colon', headOf('200 OK', 'X : a\r\n')],
    ['a line without a name', headOf('200 OK', ': a\r\n')],
  ])('fails for a head with %s', async (_name, head) => {
    const answer = await answerOf(head + event(1));
    expect(answer.head).toBeUndefined();
    expect(['', 'complete', 'unreachable']).not.toContain(answer.end);
  });

  it('does not continue a stream with an error', async () => {
    const bytes =
      headOf('500 Error', 'Baobabspan-Resumed-From: 1\r\n') + event(2);
    const {head} = await answerOf(bytes, {resumeFrom: 1});
    expect(head?.firstEvent).toBeUndefined();
  });

  it.each([
    ['with its last bytes', 0],
    ['later', 30],
  ])(
    'fails for an answer without a length that is reset %s',
    async (_name, delay) => {
      const {end, body} = await resultOf(socket => {
        socket.write(headOf('200 OK', '') + event(1));
        if (delay === 0) socket.resetAndDestroy();
        else setTimeout(() => socket.resetAndDestroy(), delay);
      });
      expect(body).toBe(event(1));
      expect(['', 'complete', 'unreachable']).not.toContain(end);
    },
  );

  it('fails for a head that breaks off at any byte', async () => {
    const head = headOf('200 OK', 'Content-Length: 4\r\n');
    for (let cut = 1; cut < head.length; cut += 5) {
      const {end, head: received} = await answerOf(head.slice(0, cut));
      expect(end, `cut at byte ${cut}`).not.toBe('complete');
      expect(received).toBeUndefined();
    }
  });

  // Each chunk was an object in the queue of the body: 16 answers that waited for credit
  // took 106 MB of a sidecar's heap, whose limit is 96 MB (Fault).
  it('queues few parts of an answer in chunks of one byte', async () => {
    const push = vi.spyOn(Readable.prototype, 'push');
    const head =
      'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n' +
      'Transfer-Encoding: chunked\r\n\r\n';
    const {end, body} = await answerOf(
      `${head}${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`,
    );
    const parts = push.mock.calls.length;
    push.mockRestore();
    expect(end).toBe('complete');
    expect(body === 'x'.repeat(100_000)).toBe(true);
    // The read that brings the head is not collected.
    expect(parts).toBeLessThan(20_000);
  });
});
