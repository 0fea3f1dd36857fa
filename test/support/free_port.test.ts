import {describe, expect, it} from 'vitest';

import {PortBlocks} from './free_port.js';

const PORTS = 60;

describe('PortBlocks', () => {
  // Guards against two test files whose processes bind the same port: an entry
  // that waited for its port looked ready through the entry of the other file.
  it('gives each of two processes that begin alike its own ports', async () => {
    const [one, other] = [new PortBlocks(7), new PortBlocks(7)];
    const taken: number[] = [];
    for (let i = 0; i < PORTS; i++) {
      taken.push(...(await Promise.all([one.take(), other.take()])));
    }
    expect(new Set(taken).size).toBe(2 * PORTS);
  });

  it('returns a port again only after many others', async () => {
    const ports = new PortBlocks(100);
    const taken: number[] = [];
    for (let i = 0; i < 1_200; i++) taken.push(await ports.take());
    const [first] = taken;
    expect(taken.indexOf(first!, 1)).toBeGreaterThan(900);
  });
});
