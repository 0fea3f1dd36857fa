import {get} from 'node:http';

import type {Chance} from '../../../src/core/index.js';
import type {EntrySlot} from './fleet.js';

/** Interval at which entries are asked whether they are ready, ms. */
const ASK_INTERVAL_MS = 1_000;
/** Time for an answer, ms. */
const ANSWER_TIMEOUT_MS = 900;
/** Misses in a row after which an entry gets no new connections. */
const MAX_MISSES = 2;
/** Share of the entries below which all of them get connections. */
const MIN_SHARE = 0.5;

/** The platform's balancer: it asks each entry at its readiness port. */
export class Balancer {
  /** Misses in a row; an entry that has not been ready yet has all of them. */
  private readonly misses = new Map<EntrySlot, number>();
  private readonly timer: NodeJS.Timeout;

  /** @param slots - the entries */
  constructor(private readonly slots: readonly EntrySlot[]) {
    this.timer = setInterval(() => this.askAll(), ASK_INTERVAL_MS);
  }

  /**
   * Draws an entry for a new connection.
   * @param chance - the seed's generator
   */
  pick(chance: Chance): EntrySlot {
    const {slots} = this;
    const ready = slots.filter(slot => this.missesOf(slot) < MAX_MISSES);
    const isEnough = ready.length >= MIN_SHARE * slots.length;
    return chance.pick(isEnough ? ready : slots);
  }

  /** Stops asking. */
  close(): void {
    clearInterval(this.timer);
  }

  private missesOf(slot: EntrySlot): number {
    return this.misses.get(slot) ?? MAX_MISSES;
  }

  private askAll(): void {
    for (const slot of this.slots)
      void isReady(slot.ports.readiness).then(isHit =>
        this.misses.set(slot, isHit ? 0 : this.missesOf(slot) + 1),
      );
  }
}

/** Asks on a connection of its own, which no former process has kept. */
function isReady(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const options = {
      host: '127.0.0.1',
      port,
      path: '/api/readiness',
      agent: false,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    };
    const req = get(options, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('error', () => resolve(false));
  });
}
