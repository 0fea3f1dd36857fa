import {describe, expect, it} from 'vitest';

import {ConcurrencyLimiter} from './index.js';

const TARGET = 400;

describe('ConcurrencyLimiter', () => {
  it('lowers the limit on late starts and raises it on quick ones', () => {
    let entries = 6;
    const limit = new ConcurrencyLimiter(() => entries);
    const sendAll = () => {
      let sent = 0;
      for (; limit.hasCapacity; sent++) limit.recordSent();
      return sent;
    };
    expect(sendAll()).toBe(4);
    for (let i = 0; i < 4; i++) limit.recordStarted(i, 100, TARGET);
    expect(sendAll()).toBe(8);
    for (let i = 0; i < 8; i++) limit.recordStarted(i * 400, 900, TARGET);
    expect(sendAll()).toBe(2);
    // With many entries, one request each is enough to fill a group.
    entries = 38;
    for (let i = 0; i < 2; i++)
      limit.recordStarted(9_000 + i * 400, 900, TARGET);
    expect(sendAll()).toBe(1);
  });
});
