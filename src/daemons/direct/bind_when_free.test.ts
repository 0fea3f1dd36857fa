import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import {expect, it} from 'vitest';

import {acceptLinks} from '../../links/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import {bindWhenFree, isFailedBindLogged} from './bind_when_free.js';

// A sidecar whose port was taken as it started ended with code 1 (FAULT).
it('binds the links of a sidecar once their port is free', async () => {
  const holder = createServer().listen(0, '127.0.0.1');
  await once(holder, 'listening');
  const {port} = holder.address() as AddressInfo;
  let attempts = 0;
  let address = '';
  const binding = bindWhenFree(`127.0.0.1:${port}`, SILENT_LOGGER, async () => {
    attempts += 1;
    if (attempts === 3) holder.close();
    const server = await acceptLinks(
      '127.0.0.1',
      port,
      () => {
        throw new Error('no connections here');
      },
      {message: () => {}, open: () => {}, closed: () => {}},
    );
    address = server.address;
    await server.close();
  });
  await binding;
  expect(attempts).toBeGreaterThanOrEqual(3);
  expect(address).toBe(`127.0.0.1:${port}`);
});

// A process whose address was not configured yet, or whose machine was short of
// descriptors, ended with code 1 (FAULT).
it.each(['EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])(
  'waits while a port cannot be bound for %s',
  async code => {
    let attempts = 0;
    await bindWhenFree('127.0.0.1:80', SILENT_LOGGER, () => {
      attempts += 1;
      if (attempts > 1) return Promise.resolve();
      return Promise.reject(Object.assign(new Error('later'), {code}));
    });
    expect(attempts).toBe(2);
  },
);

// A process with a wrong address logged one line, and was never ready (FAULT).
it('logs a port that stays unbound again, and another error at once', () => {
  const logged = Array.from({length: 200}, (_, i) => i + 1).filter(attempt =>
    isFailedBindLogged({
      attempt,
      code: attempt < 120 ? 'EADDRINUSE' : 'EADDRNOTAVAIL',
      codeBefore:
        attempt === 1
          ? undefined
          : attempt <= 120
            ? 'EADDRINUSE'
            : 'EADDRNOTAVAIL',
    }),
  );
  expect(logged).toEqual([1, 50, 100, 120, 150, 200]);
});

it('reports other errors at once', async () => {
  const bind = () =>
    Promise.reject(Object.assign(new Error('denied'), {code: 'EACCES'}));
  await expect(
    bindWhenFree('127.0.0.1:80', SILENT_LOGGER, bind),
  ).rejects.toThrow('denied');
});
