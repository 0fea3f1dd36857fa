import {Chance} from '../../../src/core/index.js';
import {KeyedLogServer} from '../../../standins/keyed_log_server.js';
import {pause} from '../direct_estate.js';
import {Balancer} from './balancer.js';
import {EntrySlot} from './fleet.js';
import {mixOf} from './mix.js';
import type {Mix} from './mix.js';
import {Oracle, isFragile} from './oracle.js';
import type {RequestRecord, Seen} from './records.js';
import {nextRead} from '../../../src/daemons/shared/next_read.js';
import {HEADER_TIMEOUT_MS, SLOW_DEADLINE_MS, SOAK_ROUTES} from './routes.js';
import {SoakAbuser} from './soak_abuser.js';
import {SoakCaller} from './soak_caller.js';
import type {CallerHost} from './soak_caller.js';
import {SoakFaults} from './soak_faults.js';
import type {FaultHost} from './soak_faults.js';
import {Upstreams} from './upstreams.js';
import type {UpstreamsHost} from './upstreams.js';

const LIMITS = {
  MaxHeaderBytes: 16_384,
  HeaderTimeoutMs: HEADER_TIMEOUT_MS,
  IdleTimeoutMs: 15_000,
};
/** Places of all upstreams for each caller: few requests are refused as busy. */
const SLOTS_PER_CALLER = 2;
const SLOTS_PER_ABUSER = 150;
const START_TIMEOUT_MS = 20_000;
/** Time that a leaving upstream goes on serving, ms. */
const LEAVING_MS = 4_000;
/** Time before the end of the load at which the last fault begins, ms. */
const CALM_MS = 2_000;
/** Interval at which the soak looks whether it is held up itself. */
const WATCH_INTERVAL_MS = 50;
/** Gap between two looks from which on arrivals are not judged by the clock. */
const STALL_MS = 250;
/** Violations that are printed of each rule and kind of caller. */
const SHOWN = 2;
const SHOWN_LINES = 6;

/** One seed of the soak: entries as processes, callers, upstreams and faults. */
export class SoakPlay implements CallerHost, UpstreamsHost, FaultHost {
  readonly mix: Mix;
  readonly chance: Chance;
  readonly slots: EntrySlot[] = [];
  readonly upstreamNames: string[] = [];
  readonly upstreams: Upstreams;
  readonly played: string[] = [];
  endsAt = Infinity;
  private readonly store = new KeyedLogServer();
  private readonly oracle: Oracle;
  private readonly records = new Map<string, RequestRecord>();
  private readonly faults: SoakFaults;
  private readonly balancer = new Balancer(this.slots);
  private upstreamCount = 0;
  /** Times at which this process was held up, from and to. */
  private readonly stalls: [number, number][] = [];
  private readonly watch: NodeJS.Timeout;
  private storeAddress = '';

  /** @param seed - decides the mix */
  constructor(private readonly seed: number) {
    this.mix = mixOf(seed);
    this.chance = new Chance(seed);
    this.faults = new SoakFaults(this);
    let last = performance.now();
    this.watch = setInterval(() => {
      const now = performance.now();
      if (now - last > STALL_MS) this.stalls.push([last, now]);
      last = now;
      for (const slot of this.slots) slot.watchMemory();
    }, WATCH_INTERVAL_MS);
    this.upstreams = new Upstreams(this.mix, seed, this);
    this.oracle = new Oracle(this.slots, () => [
      ...this.upstreams.pauses,
      ...this.stalls,
    ]);
  }

  get isOver(): boolean {
    return performance.now() >= this.endsAt;
  }

  /** Plays the seed and returns a line for each violation. */
  async run(): Promise<string[]> {
    await this.start();
    const {mix} = this;
    const startsAt = performance.now();
    await this.upstreams.failFrom(startsAt + mix.failsAfterMs);
    this.endsAt = startsAt + mix.lengthMs;
    const callers = Array.from({length: mix.callers}, (_, i) =>
      new SoakCaller(i, this).run(),
    );
    const abusers = Array.from({length: mix.abusers}, (_, i) =>
      new SoakAbuser(i, this).run(),
    );
    await Promise.all([
      ...callers,
      ...abusers,
      this.faults.run(this.endsAt - CALM_MS),
    ]);
    // What a run that a caller left behind does is told at its end.
    await pause(500);
    this.oracle.judgePlay([...this.records.values()]);
    return this.report();
  }

  /** Ends the processes of the play. */
  async close(): Promise<void> {
    clearInterval(this.watch);
    this.balancer.close();
    this.endsAt = 0;
    await Promise.all(this.slots.map(slot => slot.close()));
    await this.upstreams.closeAll();
    await this.store.close();
  }

  /** Summary of what was played, in one line. */
  get summary(): string {
    const all = [...this.records.values()];
    const counts = new Map<string, number>();
    for (const {seen} of all) {
      const end = seen?.isWhole === true ? `${seen.status}` : 'cut';
      const key = seen === undefined ? 'unseen' : end;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const outcomes = [...counts].map(([key, count]) => `${key}: ${count}`);
    const repeats = all.reduce(
      (n, one) => n + Math.max(0, one.runs.length - 1),
      0,
    );
    return (
      `seed ${this.seed} (${this.mix.theme}): ${all.length} requests, ` +
      `${outcomes.join(', ')}; ${repeats} repeats, ` +
      `${this.oracle.closestBudget.toFixed(2)} of the budget; ` +
      `${this.oracle.soundServed}; ${this.stalls.length} stalls; ` +
      `peaks ${this.slots.map(({peakMb}) => peakMb).join(', ')} MB; ` +
      `played ${this.played.join(', ')}`
    );
  }

  /** Number of requests that were answered with success and whole. */
  get served(): number {
    return [...this.records.values()].filter(
      ({seen}) => seen?.status === 200 && seen.isWhole,
    ).length;
  }

  pickEntry(): {slot: number; port: number} {
    const {number, ports} = this.balancer.pick(this.chance);
    return {slot: number, port: ports.callers};
  }

  register(record: RequestRecord): void {
    this.records.set(record.id, record);
  }

  find(id: string): RequestRecord | undefined {
    return this.records.get(id);
  }

  flag(rule: string, id: string, detail: string): void {
    this.oracle.flag(rule, id, detail);
  }

  onSeen(record: RequestRecord, seen: Seen): void {
    record.seen = seen;
    void this.judge(record, seen);
  }

  private async judge(record: RequestRecord, seen: Seen): Promise<void> {
    // What the upstream told of its run before it answered may be read after it.
    await nextRead();
    this.oracle.judge(record, seen);
    // Its bytes were compared; thousands of bodies don't fit in memory.
    record.seen = {...seen, body: Buffer.alloc(0)};
  }

  hasFragile(slot: number): boolean {
    const now = performance.now();
    return [...this.records.values()].some(
      one =>
        one.slot === slot &&
        one.seen === undefined &&
        now - one.sentAt < 2 * SLOW_DEADLINE_MS &&
        isFragile(one),
    );
  }

  async addEntry(): Promise<void> {
    const {length} = this.slots;
    this.slots.push(
      await EntrySlot.start(length, this.storeAddress, this.mix.heapMb),
    );
  }

  async replaceUpstream(): Promise<void> {
    const name = this.upstreamNames.shift();
    if (name === undefined) return;
    this.store.put('keyed.servers', name);
    await this.addUpstream();
    await pause(LEAVING_MS);
    await this.upstreams.close(name);
  }

  private async start(): Promise<void> {
    this.storeAddress = (await this.store.listen()).replace('http://', '');
    const {mix} = this;
    for (let i = 0; i < mix.upstreams; i++) await this.addUpstream();
    this.store.put('keyed.op', 'config', {
      Version: 1,
      Routes: SOAK_ROUTES,
      Services: [{Name: 'app', MaxConnections: mix.maxConnections}],
      Limits: {...LIMITS, MaxBodyBytes: mix.maxBodyBytes},
      Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
    });
    for (let i = 0; i < mix.entries; i++) await this.addEntry();
    const until = performance.now() + START_TIMEOUT_MS;
    for (const {process} of this.slots) {
      while (!(await process.isReady())) {
        if (performance.now() > until) throw new Error('an entry is not ready');
        await pause(50);
      }
    }
  }

  private async addUpstream(): Promise<void> {
    this.upstreamCount += 1;
    const name = `u${this.upstreamCount}`;
    const {callers, abusers, upstreams} = this.mix;
    const slots = SLOTS_PER_CALLER * callers + SLOTS_PER_ABUSER * abusers;
    this.store.put('keyed.servers', name, {
      Service: 'app',
      Address: await this.upstreams.listen(name),
      Zone: 'a',
      Slots: Math.ceil(slots / upstreams),
      State: 'ready',
      Sequence: 1,
      born: 5,
    });
    this.upstreamNames.push(name);
  }

  private report(): string[] {
    const {violations} = this.oracle;
    const counts = new Map<string, number>();
    const shown = violations.filter(({rule, id}) => {
      const key = `${rule} of ${this.records.get(id)?.caller ?? 'all'}`;
      const count = (counts.get(key) ?? 0) + 1;
      counts.set(key, count);
      return count <= SHOWN;
    });
    const rules = [...counts].map(([key, count]) => `${key} ${count}`);
    if (rules.length === 0) return [];
    const lines = shown.map(({rule, id, detail}) => {
      const record = this.records.get(id);
      if (record === undefined)
        return `${rule} seed ${this.seed} ${id}: ${detail}`;
      const {slot, framing, bytes, kind, caller, runs} = record;
      const logged = this.slots[slot]!.linesOf(id).slice(-SHOWN_LINES);
      const runsAt = runs.map(
        ({seal, status, isUnsound}) =>
          `${seal} ${status}${isUnsound ? ' unsound' : ''}`,
      );
      return [
        `${rule} seed ${this.seed} ${id} entry ${slot} ${kind} ${framing} ` +
          `${bytes} caller ${caller}: ${detail}; runs ${runsAt.join(', ')}`,
        ...logged.map(line => `  ${JSON.stringify(line)}`),
      ].join('\n');
    });
    return [`seed ${this.seed}: ${rules.join(', ')}`, ...lines];
  }
}
