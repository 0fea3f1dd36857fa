import {describe, expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {BodyAdmission, CallerMemory} from './index.js';
import type {BodyDecision, BodyTerms, IncomingBody} from './index.js';

const KB = 2 ** 10;
const MB = 2 ** 20;
const LARGE = 3_900_000;
const TICK = 100;
/** Use that bodies keep within, with the limits of the smallest VM. */
const MAX_USE = 40 * MB;

const terms = (change: Partial<BodyTerms> = {}): BodyTerms => ({
  expiresAt: 60_000,
  patience: 975,
  idleTimeout: 15_000,
  ...change,
});

interface Connection {
  readonly name: string;
}
type Body = IncomingBody<Connection>;

/** Plays an entry: applies decisions as its reader does. */
class Player {
  readonly memory = new CallerMemory<Connection>();
  readonly admission = new BodyAdmission(this.memory);
  readonly decisions = new Map<Body, BodyDecision>();
  maxUse = 0;
  now = 0;
  private connections = 0;

  open(length: number | undefined, change?: Partial<BodyTerms>): Body {
    const holder = {name: `c${(this.connections += 1)}`};
    const opened = this.admission.open(
      this.now,
      holder,
      length,
      terms({expiresAt: this.now + 60_000, ...change}),
    );
    this.decisions.set(opened.body, opened.decision);
    this.maxUse = Math.max(this.maxUse, this.memory.usedBytes);
    return opened.body;
  }

  finish(body: Body): void {
    this.admission.close(body);
    this.admission.release(body);
    for (const one of this.admission.admitWaiting(this.now))
      this.decisions.set(one, 'read');
  }

  play(ms: number, each: () => void = () => undefined): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += TICK;
      each();
      for (const [body, decision] of this.admission.check(this.now))
        this.decisions.set(body, decision);
      this.maxUse = Math.max(this.maxUse, this.memory.usedBytes);
    }
  }

  count(decision: BodyDecision, bodies: readonly Body[]): number {
    return bodies.filter(body => this.decisions.get(body) === decision).length;
  }
}

describe('BodyAdmission', () => {
  it.each([
    ['200 of 3.9 MB', 200, LARGE],
    ['800 of 0.9 MB', 800, 900_000],
    ['800 without a length', 800, undefined],
    ['800 of 64 KB', 800, 64 * KB],
  ])(
    'keeps stalled bodies within the budget and serves small ones: %s',
    (_, count, length) => {
      const player = new Player();
      const stalled = Array.from({length: count}, () => player.open(length));
      let served = 0;
      player.play(3_000, () => {
        const small = player.open(2 * KB);
        if (player.decisions.get(small) === 'read') served += 1;
        player.finish(small);
      });
      // All but those in the time after which stalled bodies are rejected.
      expect(served).toBeGreaterThanOrEqual(27);
      expect(player.maxUse).toBeLessThanOrEqual(MAX_USE);
      expect(player.count('wait', stalled)).toBe(0);
      player.play(16_000);
      expect(player.count('read', stalled)).toBe(0);
      expect(player.memory.usedBytes).toBe(0);
    },
  );

  it('serves bodies in the budget one after the other', () => {
    const player = new Player();
    const bodies = Array.from({length: 24}, () => player.open(LARGE));
    expect(player.count('read', bodies)).toBe(8);
    player.play(500);
    for (const body of bodies.slice(0, 8)) player.finish(body);
    expect(player.count('read', bodies.slice(8, 16))).toBe(8);
    expect(player.count('wait', bodies.slice(16))).toBe(8);
    player.play(400, () => {
      for (const body of bodies.slice(8, 16))
        player.admission.recordBytes(player.now, body, 64 * KB);
    });
    expect(player.count('wait', bodies.slice(16))).toBe(8);
    player.play(200, () => {
      for (const body of bodies.slice(8, 16))
        player.admission.recordBytes(player.now, body, 64 * KB);
    });
    expect(player.count('memory_exhausted', bodies.slice(16))).toBe(8);
    expect(player.count('read', bodies.slice(8, 16))).toBe(8);
  });

  // They waited for no bytes, and were counted as waiting for good.
  it('reads requests without a body while the memory is used up', () => {
    const player = new Player();
    const holder = {name: 'pipelining'};
    player.memory.add(holder, 45 * MB);
    for (let count = 0; count < 200; count += 1) {
      const {body, decision} = player.admission.open(0, holder, 0, terms());
      expect(decision).toBe('read');
      player.finish(body);
    }
    expect(player.admission.waitingCount).toBe(0);
  });

  // A sound caller beside thousands of pipelined requests was rejected with 408.
  it('rejects no slow body while other bytes than those of bodies fill the memory', () => {
    const player = new Player();
    player.memory.add({name: 'pipelining'}, 39.9 * MB);
    const body = player.open(10 * KB);
    player.play(3_000);
    expect(player.decisions.get(body)).toBe('read');
  });

  it('rejects a large body at once if many wait', () => {
    const player = new Player();
    const bodies = Array.from({length: 400}, () => player.open(LARGE));
    expect(player.count('wait', bodies)).toBe(128);
    expect(player.count('memory_exhausted', bodies)).toBe(400 - 8 - 128);
  });

  it('rejects a slow drip that others wait for, and no body that progresses', () => {
    const player = new Player();
    const [slow, sound] = [player.open(16 * MB), player.open(16 * MB)];
    player.play(900, () => {
      player.admission.recordBytes(player.now, slow, KB);
      player.admission.recordBytes(player.now, sound, 20 * KB);
    });
    const waiting = player.open(LARGE);
    expect(player.decisions.get(waiting)).toBe('wait');
    player.play(100, () => {
      player.admission.recordBytes(player.now, slow, KB);
      player.admission.recordBytes(player.now, sound, 20 * KB);
    });
    expect(player.decisions.get(slow)).toBe('request_timeout');
    expect(player.decisions.get(sound)).toBe('read');
    expect(player.decisions.get(waiting)).toBe('read');
  });

  it('rejects a body without a byte for the idle timeout if no other waits', () => {
    const player = new Player();
    const [drip, stalled] = [player.open(LARGE), player.open(LARGE)];
    player.play(14_900, () =>
      player.admission.recordBytes(player.now, drip, 1),
    );
    expect(player.decisions.get(stalled)).toBe('read');
    player.play(200, () => player.admission.recordBytes(player.now, drip, 1));
    expect(player.decisions.get(stalled)).toBe('request_timeout');
    expect(player.decisions.get(drip)).toBe('read');
  });

  it('rejects a body that comes too late to be served', () => {
    const player = new Player();
    const late = player.open(LARGE, {expiresAt: 2_000});
    player.play(1_900, () =>
      player.admission.recordBytes(player.now, late, 64 * KB),
    );
    expect(player.decisions.get(late)).toBe('read');
    player.play(200, () =>
      player.admission.recordBytes(player.now, late, 64 * KB),
    );
    expect(player.decisions.get(late)).toBe('request_timeout');
  });

  // Its bytes wait in the system's buffers; they are read after the check.
  it('does not count a pause of the process as one of its callers', () => {
    const player = new Player();
    const body = player.open(LARGE);
    player.play(1_000);
    player.now += 30_000;
    player.play(TICK);
    expect(player.decisions.get(body)).toBe('read');
    player.play(15_000);
    expect(player.decisions.get(body)).toBe('request_timeout');
  });

  it('releases all that it has charged, in any order of events', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const chance = new Chance(seed);
      const player = new Player();
      const open = new Set<Body>();
      for (let step = 0; step < 400; step += 1) {
        const length = chance.pick([undefined, 0, KB, 100 * KB, MB, LARGE]);
        open.add(player.open(length, {patience: 300, idleTimeout: 1_000}));
        player.play(chance.pick([0, TICK]));
        for (const body of open) {
          const decision = player.decisions.get(body);
          if (decision === 'request_timeout' || decision === 'memory_exhausted')
            open.delete(body);
          else if (chance.pick([true, false, false, false])) {
            player.finish(body);
            open.delete(body);
          }
        }
        expect(player.maxUse).toBeLessThanOrEqual(MAX_USE);
      }
      for (const body of open) player.finish(body);
      expect(player.memory.usedBytes).toBe(0);
      expect(player.admission.reservedBytes).toBe(0);
      expect(player.admission.waitingCount).toBe(0);
      expect(player.admission.incompleteCount).toBe(0);
    }
  });
});
