import {once} from 'node:events';
import {createServer, request} from 'node:http';
import type {AddressInfo} from 'node:net';

import {describe, expect, it} from 'vitest';

import {PlatformDialect} from '../../../platform/headers.js';
import {callId} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {AnswerWriter} from '../entry/answer_writer.js';
import {ResponseWriter} from './response_writer.js';

/** Body writers of both forms of deployment, for one response. */
const WRITERS = {
  direct: (res: ResponseParameter) => {
    const writer = new ResponseWriter(res, new PlatformDialect(), () => false);
    return (bytes: Buffer) => writer.write(bytes);
  },
  entry: (res: ResponseParameter) => {
    const writer = new AnswerWriter(res, callId('c1'));
    return (bytes: Buffer) => writer.writeBody(bytes);
  },
};
type ResponseParameter = ConstructorParameters<typeof ResponseWriter>[0];

/** Returns the status of a response whose body comes before any head. */
async function statusOfBodyAlone(
  createWriter: (res: ResponseParameter) => (bytes: Buffer) => boolean,
): Promise<number | undefined> {
  const server = createServer((_req, res) => {
    try {
      createWriter(res)(Buffer.from('data: 1\n\n'));
    } catch {
      const reply = new ResponseWriter(res, new PlatformDialect(), () => true);
      reply.sendError(new Fault('internal'));
    }
    res.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const req = request({host: '127.0.0.1', port, agent: false}).end();
  const [res] = (await once(req, 'response')) as [{statusCode?: number}];
  server.closeAllConnections();
  server.close();
  return res.statusCode;
}

// A stream with a status below 100 became a 200 of the entry's own (MIXED).
describe('a body without a response head', () => {
  it.each(Object.entries(WRITERS))(
    'is never sent as a success (%s)',
    async (_name, createWriter) => {
      expect(await statusOfBodyAlone(createWriter)).toBe(500);
    },
  );
});
