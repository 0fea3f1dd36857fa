import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  chunk,
  DirectEstate,
  event,
  pause,
  requestIdOf,
  ROUTES,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(() => estate.close());

async function withUpstreams(...scripts: Script[]): Promise<void> {
  for (const script of scripts) await estate.addUpstream(script);
  estate.configure(3, ROUTES);
  await estate.waitUntilReady();
}

const answerDone: Script = ({head, socket}) =>
  socket.write(sealedAnswer(head, 'done'));
const rejectUnrun: Script = ({socket}) =>
  socket.write(
    'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
  );
const resetConnection: Script = ({socket}) => socket.resetAndDestroy();

const receivedHeads = () => estate.upstreams.flatMap(({received}) => received);

describe('DirectEntry', () => {
  it('answers 503 and is not ready without a configuration', async () => {
    const answer = await estate.call('/load/1');
    expect(answer.status).toBe(503);
    expect(answer.headers['retry-after']).toBeDefined();
    expect(await estate.readinessStatus()).toBe(503);
  });

  it('forwards the request and its answer unchanged', async () => {
    await withUpstreams(answerDone);
    const answer = await estate.call('/load/1?x=%20y', {'X-Own': 'kept'});
    expect(answer).toMatchObject({status: 200, body: 'done', isWhole: true});
    expect(answer.headers['response-seal']).toBe('s');
    const [head = ''] = receivedHeads();
    expect(head).toContain('POST /load/1?x=%20y HTTP/1.1');
    expect(head).toMatch(/X-Own: kept/);
    expect(head).toMatch(/Tenant: depot/);
    expect(head).toMatch(/Expect-Instance: i-1/);
    expect(head).not.toMatch(/authorization/i);
    const left = Number(/Deadline-Ms: (\d+)/.exec(head)?.[1]);
    expect(left).toBeGreaterThan(1_000);
    expect(left).toBeLessThanOrEqual(1_200);
  });

  it.each<[string, Script, number]>([
    ['reset', resetConnection, 502],
    [
      'cut short',
      ({head, socket}) => {
        socket.end(sealedAnswer(head, 'done').slice(0, -2));
      },
      502,
    ],
    [
      'without a seal',
      ({head, socket}) => {
        socket.write(
          sealedAnswer(head, 'done').replace('Response-Seal: s\r\n', ''),
        );
      },
      502,
    ],
    ['not HTTP', ({socket}) => socket.end('#!garbage\r\n\r\n'), 502],
    [
      'for another request',
      ({head, socket}) => {
        socket.write(
          sealedAnswer(head.replace(requestIdOf(head), 'r-other'), 'stray'),
        );
      },
      502,
    ],
    ['missing', () => undefined, 504],
  ])(
    'runs an unsafe request once when its answer is %s',
    async (_name, script, status) => {
      await withUpstreams(script, script);
      const answer = await estate.call('/load/1');
      expect(answer.status).toBe(status);
      expect(answer.headers['response-seal']).toBeUndefined();
      expect(receivedHeads()).toHaveLength(1);
    },
  );

  it('rejects an unsafe request at once with Retry-After if it provably did not run', async () => {
    await withUpstreams(rejectUnrun);
    const answer = await estate.call('/load/1');
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(answer.ms).toBeLessThan(400);
  });

  it.each<[string, Script]>([
    ['reset', resetConnection],
    ['rejected', rejectUnrun],
    [
      'failed',
      ({head, socket}) => {
        socket.write(sealedAnswer(head, 'oops', '500 Error'));
      },
    ],
  ])('retries a safe request once when it is %s', async (_name, first) => {
    let isFirst = true;
    const script: Script = received => {
      const answer = isFirst ? first : answerDone;
      isFirst = false;
      answer(received);
    };
    await withUpstreams(script, script);
    const answer = await estate.call('/sheet/1', {}, 'GET');
    expect(answer).toMatchObject({status: 200, body: 'done'});
    expect(receivedHeads()).toHaveLength(2);
  });

  it("forwards an upstream's own error unchanged", async () => {
    await withUpstreams(({head, socket}) => {
      socket.write(sealedAnswer(head, 'broken', '500 Error'));
    });
    const answer = await estate.call('/load/1');
    expect(answer).toMatchObject({status: 500, body: 'broken'});
    expect(answer.headers['response-seal']).toBe('s');
  });

  it('resumes a stream that was cut within an event, in the same answer', async () => {
    let isFirst = true;
    const script: Script = ({head, socket}) => {
      const from = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
      const open =
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
        `Response-Seal: s${isFirst ? 1 : 2}\r\n` +
        'Transfer-Encoding: chunked\r\n\r\n';
      if (isFirst) {
        isFirst = false;
        socket.write(open + chunk(event(1)) + chunk(event(2).slice(0, 9)));
        setTimeout(() => socket.resetAndDestroy(), 60);
        return;
      }
      const rest = [1, 2, 3, 4].filter(id => id > from).map(event);
      socket.write(`${open}${chunk(rest.join(''))}0\r\n\r\n`);
    };
    await withUpstreams(script, script);
    const answer = await estate.call('/plan/1');
    expect(answer.isWhole).toBe(true);
    expect(answer.body).toBe([1, 2, 3, 4].map(event).join(''));
    expect(answer.headers['response-seal']).toBe('s1');
    expect(receivedHeads()[1]).toMatch(/Last-Event-Id: 1\b/);
  });

  it('does not complete the answer of a stream that could not be resumed', async () => {
    const script: Script = ({head, socket}) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
          'Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n' +
          chunk(event(1)),
      );
      setTimeout(() => socket.resetAndDestroy(), 40);
    };
    await withUpstreams(script, script);
    const answer = await estate.call('/plan/1');
    expect(answer.isWhole).toBe(false);
    expect(receivedHeads()).toHaveLength(2);
  });

  it('adds no length to an answer without one', async () => {
    await withUpstreams(({head, socket}) => {
      socket.end(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
          'Response-Seal: s\r\n\r\ndone',
      );
    });
    const answer = await estate.call('/load/1');
    expect(answer.body).toBe('done');
    expect(answer.headers['content-length']).toBeUndefined();
    expect(answer.headers['transfer-encoding']).toBeUndefined();
    expect(answer.headers['connection']).toBe('close');
  });

  it('drops an idle connection that receives a second answer', async () => {
    await withUpstreams(({head, socket}) => {
      socket.write(sealedAnswer(head, 'first'));
      setTimeout(() => socket.write(sealedAnswer(head, 'again')), 30);
    });
    expect((await estate.call('/sheet/1', {}, 'GET')).body).toBe('first');
    await new Promise(resolve => setTimeout(resolve, 120));
    const answer = await estate.call('/sheet/2', {}, 'GET');
    expect(answer).toMatchObject({status: 200, body: 'first'});
    expect(receivedHeads()).toHaveLength(2);
  });

  it('rejects at once while a group is unavailable, after one rank reported it', async () => {
    await withUpstreams(({socket}) => {
      socket.write(
        'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAt-Server: i-gone\r\n' +
          'Content-Length: 0\r\n\r\n',
      );
    });
    await estate.call('/sheet/1', {}, 'GET');
    const answers = await Promise.all(
      Array.from({length: 20}, () => estate.call('/sheet/1', {}, 'GET')),
    );
    expect(answers.every(({status}) => status === 503)).toBe(true);
    expect(receivedHeads().length).toBeLessThanOrEqual(3);
  });

  it.each<[string, string, number]>([
    ['a successful answer', '200 OK', 200],
    ['an error', '500 Error', 500],
  ])(
    'sends no more requests to an upstream that reported leaving with %s',
    async (_name, status, seen) => {
      const leaving: Script = ({head, socket}) => {
        const whole = sealedAnswer(head, 'last', status);
        socket.write(whole.replace('\r\n', '\r\nServer-Leaving: 1\r\n'));
      };
      await withUpstreams(leaving);
      expect((await estate.call('/load/1')).status).toBe(seen);
      await estate.addUpstream(answerDone);
      await new Promise(resolve => setTimeout(resolve, 1_600));
      for (let i = 0; i < 5; i++) {
        expect((await estate.call('/load/1')).body).toBe('done');
      }
      expect(estate.upstreams[0]!.received).toHaveLength(1);
    },
  );

  it('applies the Retry-After of an upstream across connections', async () => {
    await withUpstreams(({socket}) => {
      socket.end(
        'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1\r\n' +
          'Content-Length: 0\r\n\r\n',
      );
    });
    await estate.call('/sheet/1', {}, 'GET');
    const answers = await Promise.all(
      Array.from({length: 10}, () => estate.call('/sheet/1', {}, 'GET')),
    );
    for (const {status, headers, ms} of answers) {
      expect(status).toBe(503);
      expect(Number(headers['retry-after'])).toBeGreaterThan(0.8);
      expect(ms).toBeLessThan(300);
    }
    expect(receivedHeads()).toHaveLength(1);
    await new Promise(resolve => setTimeout(resolve, 1_000));
    await estate.call('/sheet/1', {}, 'GET');
    expect(receivedHeads()).toHaveLength(2);
  });

  it('resets the connection of a request that it aborts', async () => {
    // After an orderly close a slow upstream could still read the request.
    let reset = '';
    await withUpstreams(({socket}) => {
      socket.once(
        'error',
        err => (reset = (err as NodeJS.ErrnoException).code!),
      );
    });
    await estate.call('/sheet/1', {'Deadline-Ms': '300'}, 'GET');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(reset).toBe('ECONNRESET');
  });

  it('closes the upstream connection when the deadline passes', async () => {
    let closed = 0;
    await withUpstreams(({socket}) => {
      socket.once('close', () => (closed += 1));
    });
    const call = estate.call('/sheet/1', {'Deadline-Ms': '300'}, 'GET');
    expect((await call).status).toBe(504);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(closed).toBe(1);
  });

  it('applies newer versions only, and rejects an unknown key', async () => {
    await withUpstreams(answerDone);
    expect((await estate.call('/load/1')).status).toBe(200);
    estate.configure(5, [wireRoute('/other/', 'safe')]);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect((await estate.call('/load/1')).status).toBe(404);
    estate.configure(4, ROUTES);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect((await estate.call('/load/1')).status).toBe(404);
    const wrong = await estate.call('/other/1', {Authorization: 'Bearer x'});
    expect(wrong.status).toBe(401);
  });

  it('keeps serving with its last configuration while the store is down', async () => {
    await withUpstreams(answerDone);
    estate.store.failureStatus = 503;
    await new Promise(resolve => setTimeout(resolve, 300));
    expect((await estate.call('/load/1')).status).toBe(200);
    expect(await estate.readinessStatus()).toBe(200);
  });

  it('finishes open requests while draining', async () => {
    await withUpstreams(({head, socket}) => {
      setTimeout(() => socket.write(sealedAnswer(head, 'late')), 700);
    });
    const call = estate.call('/load/1');
    await new Promise(resolve => setTimeout(resolve, 100));
    const drained = estate.drain();
    expect(await estate.readinessStatus()).toBe(503);
    const answer = await call;
    expect(answer).toMatchObject({status: 200, body: 'late'});
    expect(answer.headers['connection']).toBe('close');
    await drained;
  });

  it('rejects requests that arrive too late in a drain to be finished', async () => {
    await withUpstreams(({head, socket}) => {
      // Still running when the process ends.
      const isLong = head.includes('/load/long');
      setTimeout(
        () => socket.write(sealedAnswer(head, 'x')),
        isLong ? 4_200 : 10,
      );
    });
    const long = estate.call('/load/long', {'Deadline-Ms': '9000'});
    await new Promise(resolve => setTimeout(resolve, 50));
    const drained = estate.drain();
    expect((await estate.call('/load/2')).status).toBe(200);
    await new Promise(resolve => setTimeout(resolve, 3_100));
    const late = await estate.call('/load/3');
    expect(late.status).toBe(503);
    expect(JSON.parse(late.body)).toMatchObject({reason: 'draining'});
    expect(late.headers['retry-after']).toBeDefined();
    expect(late.headers['connection']).toBe('close');
    await Promise.all([long.catch(() => undefined), drained]);
  }, 15_000);

  /** Puts a route in force that waits longer than a drain takes. */
  async function configureSlowRoute(): Promise<void> {
    const slow = wireRoute('/slow/', 'unsafe', {TimeoutMs: 9_000});
    estate.configure(4, [...ROUTES, slow]);
    await vi.waitFor(async () => {
      const {body} = await estate.operate('/status');
      expect(JSON.parse(body)).toMatchObject({version: 4});
    });
  }

  it('answers requests that are still open at the end of a drain', async () => {
    await withUpstreams(() => undefined);
    await configureSlowRoute();
    const send = () => estate.call('/slow/1', {'Deadline-Ms': '9000'});
    const open = send();
    await pause(100);
    let answer: Awaited<typeof open> | undefined;
    void open.then(received => (answer = received));
    await estate.drain();
    // It may have run, so nothing that promises the opposite.
    expect(answer).toMatchObject({status: 502, isWhole: true});
  }, 15_000);

  it('rejects a request whose body arrives too late in a drain', async () => {
    await withUpstreams(answerDone);
    await configureSlowRoute();
    const drained = estate.drain();
    await pause(2_000);
    const answer = estate.callSlowly('/slow/1', 1_400);
    expect((await answer).status).toBe(503);
    expect(receivedHeads()).toHaveLength(0);
    await drained;
  }, 15_000);
});
