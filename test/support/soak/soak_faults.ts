import type {Chance} from '../../../src/core/index.js';
import {pause} from '../direct_estate.js';
import type {EntrySlot} from './fleet.js';
import {draw} from './records.js';
import type {Fault, Mix} from './mix.js';
import type {Upstreams} from './upstreams.js';
import type {StoreTrouble} from './store_proxy.js';

/** Durations of faults, ms. */
const SUSPENDED_MS = [300, 4_000] as const;
const STORE_TROUBLE_MS = [500, 6_000] as const;
const UPSTREAM_PAUSE_MS = [500, 4_000] as const;
/** Entries at most, with those that are added. */
const MAX_ENTRIES = 9;
/** Share of the restarts that hit a process before it is ready. */
const EARLY_SHARE = 0.15;
/** Longest time between the restarts of a roll-out, ms. */
const ROLL_PAUSE_MS = 500;
/** Attempts to find a moment at which an entry may be killed. */
const KILL_TRIES = 10;
const TROUBLES: readonly StoreTrouble[] = [
  'slow',
  'reset',
  'one_way',
  'silence',
];

/** The estate as the faults change it. */
export interface FaultHost {
  readonly mix: Mix;
  readonly chance: Chance;
  readonly slots: readonly EntrySlot[];
  readonly upstreams: Upstreams;
  readonly upstreamNames: readonly string[];
  /** What was played, in the order in which it began. */
  readonly played: string[];
  /** Whether an answer is under way that a killed entry would leave looking whole. */
  hasFragile(slot: number): boolean;
  addEntry(): Promise<void>;
  /** An upstream leaves, and another one comes. */
  replaceUpstream(): Promise<void>;
}

/** Plays the faults of a seed, in series and overlapping. */
export class SoakFaults {
  private readonly pending = new Set<Promise<void>>();

  /** @param host - the estate */
  constructor(private readonly host: FaultHost) {}

  /**
   * Plays faults until a time, and waits for their ends.
   * @param until - the time
   */
  async run(until: number): Promise<void> {
    const {chance, mix} = this.host;
    await pause(mix.failsAfterMs + chance.between(...mix.faultPauseMs));
    while (performance.now() < until) {
      const fault = draw(chance, mix.faults);
      const done = this.play(fault).finally(() => this.pending.delete(done));
      this.pending.add(done);
      if (chance.fraction() < mix.overlapShare) continue;
      await pause(chance.between(...mix.faultPauseMs));
    }
    await Promise.all(this.pending);
  }

  private async play(fault: Fault): Promise<void> {
    const {chance, slots, upstreams, upstreamNames} = this.host;
    const slot = chance.pick(slots);
    this.host.played.push(fault);
    switch (fault) {
      case 'reload':
        return slot.reload();
      case 'restart':
        // A series of restarts would leave no entry that serves.
        if (
          slot.process.hasLogged('ready') ||
          chance.fraction() < EARLY_SHARE
        ) {
          slot.restart();
        }
        return;
      case 'roll': {
        const isKill = chance.fraction() < 0.5;
        for (const one of slots) {
          if (isKill) await this.kill(one);
          else one.restart();
          await pause(chance.between(0, ROLL_PAUSE_MS));
        }
        return;
      }
      case 'kill':
        return this.kill(slot);
      case 'suspend':
        return slot.suspend(chance.between(...SUSPENDED_MS));
      case 'add_entry':
        return slots.length < MAX_ENTRIES ? this.host.addEntry() : undefined;
      case 'store':
        return this.troubleStore();
      case 'upstream_pause':
        return upstreams.pauseReading(
          chance.pick(upstreamNames),
          chance.between(...UPSTREAM_PAUSE_MS),
        );
      case 'upstream_leave':
        return this.host.replaceUpstream();
    }
  }

  private async kill(slot: EntrySlot): Promise<void> {
    for (let i = 0; i < KILL_TRIES; i++) {
      if (!this.host.hasFragile(slot.number)) return slot.kill();
      await pause(100);
    }
    this.host.played.push('kill_given_up');
  }

  /** The store turns some or all entries away, or is slow, or silent. */
  private async troubleStore(): Promise<void> {
    const {chance, slots} = this.host;
    const some = chance.sample(slots, chance.between(1, slots.length));
    const trouble = chance.pick(TROUBLES);
    this.host.played.push(`${trouble} for ${some.length}`);
    for (const {proxy} of some) proxy.set(trouble);
    await pause(chance.between(...STORE_TROUBLE_MS));
    for (const {proxy} of some) proxy.set('none');
  }
}
