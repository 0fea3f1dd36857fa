import {once} from 'node:events';
import {connect} from 'node:net';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {ERRORS} from '../../errors/index.js';
import {
  Metrics,
  SILENT_LOGGER,
  SystemClock,
} from '../../observability/index.js';
import {OperatorServer} from './operator_server.js';

describe('OperatorServer', () => {
  let reason: string | undefined;
  let status: () => object;
  let server: OperatorServer;
  let address: string;

  beforeEach(async () => {
    reason = undefined;
    status = () => ({role: 'entry'});
    server = new OperatorServer({
      clock: new SystemClock(),
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      notReadyReason: () => reason,
      status: () => status(),
    });
    address = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => server.close());

  const get = async (path: string) => {
    const res = await request(`http://${address}${path}`);
    return {code: res.statusCode, text: await res.body.text()};
  };

  it.each<[string, string | undefined, number, string]>([
    ['/healthz', 'draining', 200, 'ok\n'],
    ['/readyz', undefined, 200, 'ready\n'],
    ['/readyz?verbose=1', undefined, 200, 'ready\n'],
    ['/readyz', 'draining', 503, 'draining\n'],
    ['/status', undefined, 200, '{\n  "role": "entry"\n}\n'],
    ['/none', undefined, 404, 'not found\n'],
  ])('responds to %s', async (path, notReady, code, text) => {
    reason = notReady;
    expect(await get(path)).toEqual({code, text});
  });

  it('initializes the counters of each error name to 0', async () => {
    const {text} = await get('/metrics');
    for (const name of Object.keys(ERRORS)) {
      expect(text).toContain(`refusals_total{reason="${name}",service=""} 0`);
      expect(text).toContain(`retries_total{reason="${name}",service=""} 0`);
      expect(text).toContain(`closed_links_total{reason="${name}"} 0`);
      expect(text).toContain(`dropped_frames_total{reason="${name}"} 0`);
    }
  });

  // A probe may half-close its connection after the request.
  it.each(['/readyz', '/metrics'])(
    'responds to a half-close (%s)',
    async path => {
      const socket = connect({
        port: Number(address.split(':')[1]),
        host: '127.0.0.1',
        allowHalfOpen: true,
      });
      let text = '';
      socket.setEncoding('latin1').on('data', (part: string) => (text += part));
      socket.end(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
      await once(socket, 'close');
      expect(text).toContain('HTTP/1.1 200 OK');
    },
  );

  // Its end was held back by up to 30 s, for as long as the client sent bytes.
  it('closes at once beside a client that sent CONNECT', async () => {
    const socket = connect({
      port: Number(address.split(':')[1]),
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    socket.on('error', () => undefined);
    socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(socket, 'data');
    const closedAt = performance.now();
    await server.close();
    expect(performance.now() - closedAt).toBeLessThan(1_000);
    socket.destroy();
  });

  it('keeps serving after the status handler throws', async () => {
    status = () => {
      throw new Error('status unavailable');
    };
    await expect(get('/status')).rejects.toThrow();
    expect((await get('/healthz')).code).toBe(200);
  });
});
