import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ControlEstate} from '../../bench/control/control_estate.js';
import type {Process} from '../../bench/control/control_estate.js';
import {
  CachingParser,
  NewerTextParser,
  publicationOf,
  tinyText,
} from '../../test/support/texts.js';
import {
  Chance,
  MINUTE,
  SECOND,
  newIncarnation,
  offset,
  recordId,
  version,
  vmName,
} from '../core/index.js';
import {DeflateCodec} from '../clients/index.js';
import {ConfigurationNode} from './configuration_node.js';
import {LogFollower} from './log_follower.js';
import type {ConfigurationEffect} from './node_types.js';
import {CurrentTextParser} from './text_parser.js';

const ZONES = 3;
const PER_ZONE = 3;
const SIZE = ZONES * PER_ZONE;
const HEAL_TIMEOUT = 90 * SECOND;

const INVALID_RECORDS = [
  'text',
  'stale',
  'repeat',
  'object',
  'future',
  'late',
  'late',
] as const;
type InvalidRecord = (typeof INVALID_RECORDS)[number];

type Step =
  | {kind: 'publish'; operators: number; schema: number; lost: boolean}
  | {kind: 'junk'; what: InvalidRecord}
  | {kind: 'outage'; on: boolean}
  | {kind: 'expire'; keep: number}
  | {kind: 'restart' | 'pause' | 'resume'; slot: number}
  | {kind: 'cutPlatform' | 'cutZones' | 'join'; zone: number}
  | {kind: 'loseAnswers'; count: number}
  | {kind: 'wait'; ms: number};

const slot = fc.nat(SIZE - 1);
const zone = fc.nat(ZONES - 1);
const publish = fc.record({
  kind: fc.constant('publish' as const),
  operators: fc.constantFrom(1, 1, 2, 5),
  schema: fc.constant(1),
  lost: fc.boolean(),
});
const steps: fc.Arbitrary<Step>[] = [
  publish,
  publish,
  fc.record({
    kind: fc.constant('junk' as const),
    what: fc.constantFrom(...INVALID_RECORDS),
  }),
  fc.record({kind: fc.constant('outage' as const), on: fc.boolean()}),
  fc.record({kind: fc.constant('expire' as const), keep: fc.nat(4)}),
  fc.record({kind: fc.constantFrom('restart', 'pause', 'resume'), slot}),
  fc.record({kind: fc.constantFrom('cutPlatform', 'cutZones', 'join'), zone}),
  fc.record({
    kind: fc.constant('loseAnswers' as const),
    count: fc.integer({min: 1, max: 3}),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.constantFrom(100, SECOND, 5 * SECOND, 20 * SECOND, 2 * MINUTE),
  }),
];
const newerSchema = fc.record({
  kind: fc.constant('publish' as const),
  operators: fc.constant(1),
  schema: fc.constantFrom(1, 2),
  lost: fc.constant(false),
});

const current = new CachingParser(new CurrentTextParser());
const newer = new CachingParser(new NewerTextParser());

/** Applies steps to an estate and checks the invariants after each. */
class FaultRun {
  /** Fold of the whole log, including expired records. */
  private readonly reference = new LogFollower(newer);
  readonly accepted = new Map<number, string>();
  readonly faults: string[] = [];
  readonly estate: ControlEstate;
  private readonly snapshots: object[] = [];
  private textCount = 0;
  private lastPublication: object = {kind: 'nothing'};

  constructor(
    seed: number,
    readonly old: ReadonlySet<number> = new Set(),
    perZone = PER_ZONE,
  ) {
    this.estate = new ControlEstate({
      zones: ZONES,
      perZone,
      seed,
      codec: new DeflateCodec(),
      parser: i => (old.has(i) ? current : newer),
      inForce: (process, version) => this.check(process, version),
    });
  }

  get version(): number {
    return this.reference.history.folded.version;
  }

  apply(step: Step): void {
    const {estate} = this;
    switch (step.kind) {
      case 'publish':
        for (let i = 0; i < step.operators; i++) this.publish(step.schema);
        break;
      case 'junk':
        this.appendInvalid(step.what);
        break;
      case 'outage':
        estate.logDown = step.on;
        break;
      case 'expire':
        estate.log.expire(estate.log.all.length - step.keep);
        break;
      case 'loseAnswers':
        estate.loseAnswers = step.count;
        break;
      case 'restart':
        estate.restart(step.slot);
        break;
      case 'pause':
        estate.pause(step.slot);
        break;
      case 'resume':
        estate.resume(step.slot);
        break;
      case 'cutPlatform':
        estate.cutFromPlatform.add(step.zone);
        break;
      case 'cutZones':
        estate.cutFromZones.add(step.zone);
        break;
      case 'join':
        estate.cutFromPlatform.delete(step.zone);
        estate.cutFromZones.delete(step.zone);
        break;
      case 'wait':
        estate.time.advance(step.ms);
        break;
    }
    this.foldReference();
  }

  /** Whether a process or record still determines the version in force. */
  isRecoverable(): boolean {
    const {estate} = this;
    const bridges = (foldedTo: number) => foldedTo + 1 >= estate.log.earliest;
    const known = estate.slots.some(({node}) =>
      bridges(node.status(estate.time.now).foldedTo),
    );
    const {records} = estate.log.page(0 as never);
    return (
      known ||
      estate.log.earliest === 0 ||
      records.some(({offset, data}) => {
        const record = data as {kind?: string; foldedTo?: number};
        if (record?.kind !== 'checkpoint') return false;
        const {foldedTo = -1} = record;
        return foldedTo < offset && bridges(foldedTo);
      })
    );
  }

  foldReference(): void {
    const {log} = this.estate;
    const from = this.reference.position;
    const records = log.all
      .slice(from)
      .map((data, i) => ({offset: (from + i) as never, data}));
    for (const record of records) {
      const next = (record.offset + 1) as never;
      const page = {earliest: 0 as never, next, records: [record]};
      this.reference.applyPage(page);
      const {history} = this.reference;
      this.snapshots.push(
        history.checkpoint(recordId(`late-${record.offset}`)),
      );
      const {version, text} = this.reference.history.folded;
      if (!this.accepted.has(version)) this.accepted.set(version, text);
    }
  }

  private publish(schema: number): void {
    this.textCount += 1;
    const id = `p${this.textCount}`;
    const text = tinyText(`z${this.textCount}`, schema);
    this.foldReference();
    // Racing operators start from one version: all but the first are stale.
    const base = this.version;
    this.lastPublication = publicationOf(base, text, id);
    if (this.estate.logDown) return;
    this.estate.log.append(this.lastPublication);
    // An operator without a response retries with the same record.
    if (this.textCount % 3 === 0) this.estate.log.append(this.lastPublication);
  }

  private appendInvalid(what: InvalidRecord): void {
    const {log} = this.estate;
    const checkpoint = {kind: 'checkpoint', id: 'x', text: tinyText('evil')};
    const records = {
      text: publicationOf(this.version, 'schema: [', 'bad'),
      stale: publicationOf(this.version + 1, tinyText('ahead'), 'ahead'),
      repeat: this.lastPublication,
      object: {kind: 'publication', base: 'none'},
      // The writer was paused between its decision and its append.
      late: this.snapshots[this.snapshots.length >> 1] ?? {},
      future: {...checkpoint, version: 999, foldedTo: log.all.length + 5},
    };
    log.append(records[what]);
  }

  private check(process: Process, version: number): void {
    this.foldReference();
    const name = process.identity.incarnation;
    const before = process.inForce.at(-2) ?? 0;
    if (version <= before) this.faults.push(`${name}: ${before}->${version}`);
    const {foldedVersion} = process.node.status(this.estate.time.now);
    if (!this.accepted.has(version)) {
      this.faults.push(`${name}: ${version} was never accepted`);
    }
    if (foldedVersion < version) this.faults.push(`${name}: ahead of fold`);
    const minVersion = this.minVersion(process);
    if (process.inForce.length === 1 && version < minVersion) {
      this.faults.push(`${name}: ${version} below all others, ${minVersion}`);
    }
  }

  /** Least version in force at the processes that started earlier. */
  private minVersion(process: Process): number {
    const others = this.estate.slots.filter(
      other =>
        other !== process &&
        !other.dead &&
        other.startedAt < process.startedAt &&
        other.inForce.length > 0,
    );
    if (others.length === 0) return 0;
    return Math.min(...others.map(({inForce}) => inForce.at(-1) ?? 0));
  }
}

function versionsOf(run: FaultRun): (number | undefined)[] {
  const {estate} = run;
  return estate.slots.map(
    ({node}) => node.status(estate.time.now).version as number,
  );
}

/** An estate with one version in force everywhere. */
function convergedRun(): FaultRun {
  const run = new FaultRun(5);
  publishNext(run);
  run.apply({kind: 'wait', ms: 20 * SECOND});
  expect(versionsOf(run)).toEqual(Array(SIZE).fill(1));
  return run;
}

function publishNext(run: FaultRun): void {
  run.apply({kind: 'publish', operators: 1, schema: 1, lost: false});
}

/** Advances time while the log retains some minutes of records. */
function advanceWithRetention(
  run: FaultRun,
  minutes: number,
  retention: number,
): void {
  const {log} = run.estate;
  const lengths: number[] = [];
  for (let minute = 0; minute < minutes; minute++) {
    lengths.push(log.all.length);
    run.apply({kind: 'wait', ms: MINUTE});
    log.expire(lengths[minute - retention] ?? 0);
  }
}

function inZone(zone: number): number[] {
  return Array.from({length: PER_ZONE}, (_, i) => zone + i * ZONES);
}

const CONVERGENCE_TIMEOUT = 16 * SECOND;
const everywhere = (version: number) => Array(SIZE).fill(version);

describe('an estate of configuration nodes', () => {
  it('delivers a version everywhere within 2 s without faults', () => {
    const run = convergedRun();
    publishNext(run);
    run.apply({kind: 'wait', ms: 2 * SECOND});
    expect(versionsOf(run)).toEqual(everywhere(2));
  });

  it('reaches a zone that is disconnected from the platform only', () => {
    const run = convergedRun();
    run.apply({kind: 'cutPlatform', zone: 1});
    run.apply({kind: 'wait', ms: MINUTE});
    publishNext(run);
    run.apply({kind: 'wait', ms: CONVERGENCE_TIMEOUT});
    expect(versionsOf(run)).toEqual(everywhere(2));
  });

  it('updates a fully disconnected zone after it reconnects', () => {
    const run = convergedRun();
    run.apply({kind: 'cutPlatform', zone: 1});
    run.apply({kind: 'cutZones', zone: 1});
    run.apply({kind: 'wait', ms: MINUTE});
    publishNext(run);
    run.apply({kind: 'wait', ms: MINUTE});
    for (const slot of inZone(1)) expect(versionsOf(run)[slot]).toBe(1);
    run.apply({kind: 'join', zone: 1});
    run.apply({kind: 'wait', ms: CONVERGENCE_TIMEOUT});
    expect(versionsOf(run)).toEqual(everywhere(2));
  });

  it.each([0, 1, 2])(
    'serves zone %i while its processes restart in an outage',
    zone => {
      const run = convergedRun();
      run.apply({kind: 'outage', on: true});
      run.apply({kind: 'wait', ms: MINUTE});
      for (const slot of inZone(zone)) {
        run.estate.restart(slot);
        run.apply({kind: 'wait', ms: 10 * SECOND});
        expect(versionsOf(run)).toEqual(everywhere(1));
      }
    },
  );

  it('survives retention in an idle stream at a bounded append rate', () => {
    const run = convergedRun();
    advanceWithRetention(run, 120, 20);
    expect(run.estate.log.earliest).toBeGreaterThan(0);
    expect(run.estate.log.all.length).toBeLessThan(40);
    for (let slot = 0; slot < SIZE; slot++) run.estate.restart(slot);
    run.apply({kind: 'wait', ms: CONVERGENCE_TIMEOUT});
    expect(versionsOf(run)).toEqual(everywhere(1));
  });

  it('writes a checkpoint first after an outage beyond retention', () => {
    const run = convergedRun();
    run.apply({kind: 'outage', on: true});
    advanceWithRetention(run, 60, 20);
    expect(run.estate.log.page(0 as never).records).toEqual([]);
    run.apply({kind: 'outage', on: false});
    run.apply({kind: 'wait', ms: 30 * SECOND});
    for (let slot = 0; slot < SIZE; slot++) run.estate.restart(slot);
    run.apply({kind: 'wait', ms: CONVERGENCE_TIMEOUT});
    expect(versionsOf(run)).toEqual(everywhere(1));
  });

  it('writes a checkpoint after an outage within retention too', () => {
    const run = convergedRun();
    const {log} = run.estate;
    run.apply({kind: 'outage', on: true});
    run.apply({kind: 'wait', ms: 2 * MINUTE});
    const before = log.all.length;
    run.apply({kind: 'outage', on: false});
    run.apply({kind: 'wait', ms: 30 * SECOND});
    expect(log.all.length).toBeGreaterThan(before);
  });

  it('confirms a checkpoint without a response by reading the log', () => {
    const run = convergedRun();
    run.estate.loseAnswers = 1_000;
    advanceWithRetention(run, 60, 20);
    expect(run.estate.log.all.length).toBeLessThan(30);
  });

  it('serves nothing without a trusted state and reports the gap', () => {
    const run = convergedRun();
    run.estate.log.expire(run.estate.log.all.length);
    for (let slot = 0; slot < SIZE; slot++) run.estate.restart(slot);
    run.apply({kind: 'wait', ms: MINUTE});
    expect(versionsOf(run)).toEqual(everywhere(0));
    const {gap, lag} = run.estate.slots[0]!.node.status(run.estate.time.now);
    expect({gap, lag}).toEqual({
      gap: true,
      lag: 'records expired before they were read',
    });
  });

  it('recovers when all readers of a zone fail at once', () => {
    const run = new FaultRun(6, new Set(), 8);
    publishNext(run);
    run.apply({kind: 'wait', ms: 20 * SECOND});
    const {slots, time} = run.estate;
    const dead = slots.flatMap(({node}, slot) =>
      node.status(time.now).reads && slot % ZONES === 0 ? [slot] : [],
    );
    expect(dead.length).toBe(2);
    dead.forEach(slot => run.estate.kill(slot));
    run.apply({kind: 'wait', ms: SECOND});
    publishNext(run);
    run.apply({kind: 'wait', ms: CONVERGENCE_TIMEOUT});
    const alive = versionsOf(run).filter((_, slot) => !dead.includes(slot));
    expect(alive).toEqual(alive.map(() => 2));
  });

  it('bounds the log readers and the links of each process', () => {
    const run = new FaultRun(7, new Set(), 40);
    publishNext(run);
    run.apply({kind: 'wait', ms: MINUTE});
    const {slots, time} = run.estate;
    const statuses = slots.map(({node}) => node.status(time.now));
    expect(statuses.filter(({reads}) => reads).length).toBe(2 * ZONES);
    const links = slots.map(({node}) => node.relayPeers().length);
    expect(Math.max(...links)).toBeLessThanOrEqual(24);
  });
});

describe('a new configuration node', () => {
  const codec = new DeflateCodec();
  const self = new ControlEstate({zones: 1, perZone: 1, seed: 1, codec})
    .slots[0]!.identity;
  const newNode = () => new ConfigurationNode(0, self, new Chance(1), codec);
  const inForce = (effects: readonly ConfigurationEffect[]) =>
    effects.flatMap(effect =>
      effect.type === 'in_force' ? [effect.version] : [],
    );
  const record = (at: number) => ({
    offset: offset(at),
    data: publicationOf(at, tinyText(`z${at}`), `p${at}`),
  });

  it('serves no old version while it reads the log page by page', () => {
    const node = newNode();
    const bounds = {earliest: offset(0), next: offset(2)};
    node.tick(0);
    expect(inForce(node.onPage(1, {...bounds, records: [record(0)]}))).toEqual(
      [],
    );
    expect(inForce(node.onPage(2, {...bounds, records: [record(1)]}))).toEqual([
      2,
    ]);
  });

  it('compares the states of its peers before it serves', () => {
    const node = newNode();
    const peer = newIncarnation(vmName('vm-9'), 1, 'x');
    const say = (now: number, at: number) =>
      node.onMessage(now, peer, {
        type: 'configuration_state',
        version: version(at),
        foldedTo: offset(at),
        logAge: 0,
        body: {
          kind: 'whole',
          author: '',
          publicationId: recordId(`p${at}`),
          deflated: codec.deflate(tinyText(`z${at}`)),
        },
      });
    expect(inForce(say(0, 3))).toEqual([]);
    expect(inForce(say(500, 7))).toEqual([]);
    expect(inForce(say(600, 5))).toEqual([]);
    expect(inForce(node.tick(SECOND))).toEqual([7]);
  });
});

describe('configuration nodes under faults', () => {
  it('apply one sequence, never regress, and converge once healed', () => {
    let recovered = 0;
    fc.assert(
      fc.property(
        fc.nat(1_000_000),
        fc.array(fc.oneof(...steps), {minLength: 5, maxLength: 40}),
        (seed, plan) => {
          const run = new FaultRun(seed);
          plan.forEach(step => run.apply(step));
          const isRecoverable = run.isRecoverable();
          run.estate.heal();
          run.apply({kind: 'wait', ms: HEAL_TIMEOUT});
          expect(run.faults).toEqual([]);
          if (!isRecoverable) return;
          recovered += 1;
          const all = versionsOf(run);
          expect(all).toEqual(all.map(() => run.version));
        },
      ),
      {seed: 20_260_101, numRuns: 120},
    );
    expect(recovered).toBeGreaterThan(60);
  });

  it('of old and new programs apply one sequence', () => {
    fc.assert(
      fc.property(
        fc.nat(1_000_000),
        fc.uniqueArray(slot, {minLength: 1, maxLength: SIZE - 3}),
        fc.array(fc.oneof(newerSchema, newerSchema, ...steps), {
          minLength: 5,
          maxLength: 30,
        }),
        (seed, old, plan) => {
          const run = new FaultRun(seed, new Set(old));
          plan.forEach(step => run.apply(step));
          const isRecoverable = run.isRecoverable();
          run.estate.heal();
          run.apply({kind: 'wait', ms: HEAL_TIMEOUT});
          expect(run.faults).toEqual([]);
          if (!isRecoverable) return;
          run.estate.slots.forEach(({node}, i) => {
            const status = node.status(run.estate.time.now);
            if (!run.old.has(i)) expect(status.version).toBe(run.version);
            else expect(status.version).toBeLessThanOrEqual(run.version);
          });
          // Upgraded processes converge too.
          for (const i of old) (run.old as Set<number>).delete(i);
          for (const i of old) run.estate.restart(i);
          run.apply({kind: 'wait', ms: HEAL_TIMEOUT});
          const all = versionsOf(run);
          expect(all).toEqual(all.map(() => run.version));
        },
      ),
      {seed: 20_260_102, numRuns: 60},
    );
  });
});
