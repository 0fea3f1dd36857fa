import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {vmName} from '../core/index.js';
import {
  configurationTiming,
  maxRelayAge,
  nextReadStep,
  peerSpacing,
  registrationTiming,
} from './index.js';
import type {ReadSource, ReadStep, TopicTiming, RelayEntry} from './index.js';

const BOUND = 3_000;
/** Time until a source that works responds. */
const ROUND_TRIP = 20;
/** Longest delay between two failed reads. */
const RETRY_DELAY = 500;

const reader = (name: string): RelayEntry => ({
  name: vmName(name),
  relay: `${name}:1`,
});
const RELAY = reader('relay');
const PEERS = [reader('peer-1'), reader('peer-2'), reader('peer-3')];

const CONFIGURATION = configurationTiming(BOUND);
const REGISTRATIONS = registrationTiming(BOUND);

interface Deployment {
  readonly timing: TopicTiming;
  readonly wait: number;
  readonly hasListeners: boolean;
  /** Minimum time between two reads. */
  readonly spacing: number;
  readonly relay: RelayEntry | undefined;
}

const DEPLOYMENTS: readonly [string, Deployment][] = [
  [
    'an entry that reads configurations for itself',
    {
      timing: CONFIGURATION,
      wait: BOUND,
      hasListeners: false,
      spacing: 0,
      relay: undefined,
    },
  ],
  [
    'an entry that reads registrations for itself',
    {
      timing: REGISTRATIONS,
      wait: 1_000,
      hasListeners: false,
      spacing: 0.6 * BOUND,
      relay: undefined,
    },
  ],
  [
    'a relay of configurations',
    {
      timing: CONFIGURATION,
      wait: BOUND,
      hasListeners: true,
      spacing: CONFIGURATION.busySpacing,
      relay: undefined,
    },
  ],
  [
    'a relay of registrations',
    {
      timing: REGISTRATIONS,
      wait: 1_000,
      hasListeners: true,
      spacing: REGISTRATIONS.busySpacing,
      relay: undefined,
    },
  ],
  [
    'a listener for configurations',
    {
      timing: CONFIGURATION,
      wait: BOUND,
      hasListeners: false,
      spacing: 0,
      relay: RELAY,
    },
  ],
  [
    'a listener for registrations',
    {
      timing: REGISTRATIONS,
      wait: 1_000,
      hasListeners: false,
      spacing: 0,
      relay: RELAY,
    },
  ],
];

/** How an attempt ends. */
type Outcome =
  /** The source responds after the full wait that the attempt allows. */
  | 'responds'
  /** The source refuses, resets the connection or lacks the records. */
  | 'rejects'
  /** The source does not respond before the timeout. */
  | 'silent';

/** Replays reads against scripted outcomes, on a clock of its own. */
class Replay {
  private now = 0;
  private contactAt = 0;
  private storeFailures = 0;
  private isRelaySkipped = false;
  maxAge = 0;

  get time(): number {
    return this.now;
  }

  get contact(): number {
    return this.contactAt;
  }

  constructor(private readonly deployment: Deployment) {}

  /** Reads once; `outcomeOf` decides how each attempt ends. */
  read(outcomeOf: (step: ReadStep) => Outcome): void {
    const startedAt = this.now;
    const tried: ReadSource[] = [];
    for (;;) {
      const {timing, wait, hasListeners, relay} = this.deployment;
      const step = nextReadStep(this.now, timing, {
        contactAt: this.contactAt,
        wait,
        hasListeners,
        relay: this.isRelaySkipped ? undefined : relay,
        peers: PEERS,
        storeFailures: this.storeFailures,
        tried,
      });
      if (step === undefined) {
        this.advance(RETRY_DELAY);
        return;
      }
      tried.push(step.source);
      if (this.attempt(step, outcomeOf(step))) break;
    }
    const isPeer = tried.at(-1)?.kind === 'peer';
    const spacing = isPeer
      ? peerSpacing(this.deployment.timing)
      : this.deployment.spacing;
    this.advance(Math.max(0, startedAt + spacing - this.now));
  }

  private attempt(
    {source, wait, timeout}: ReadStep,
    outcome: Outcome,
  ): boolean {
    if (outcome !== 'responds') {
      this.advance(outcome === 'silent' ? timeout : ROUND_TRIP);
      if (source.kind === 'store') this.storeFailures += 1;
      if (source.kind === 'relay') this.isRelaySkipped = true;
      return false;
    }
    this.advance(wait + ROUND_TRIP);
    const {timing} = this.deployment;
    const age =
      source.kind === 'store' ? 0 : Math.max(timing.busySpacing, 0.35 * BOUND);
    this.contactAt = Math.max(this.contactAt, this.now - age);
    if (source.kind === 'store') this.storeFailures = 0;
    if (source.kind !== 'peer') this.isRelaySkipped = false;
    return true;
  }

  private advance(span: number): void {
    this.now += span;
    this.maxAge = Math.max(this.maxAge, this.now - this.contactAt);
  }
}

describe('nextReadStep', () => {
  it.each(DEPLOYMENTS)(
    'keeps %s within the bound when two attempts in a row fail',
    (_name, deployment) => {
      fc.assert(
        fc.property(
          fc.array(
            fc.record({
              healthy: fc.integer({min: 3, max: 12}),
              faults: fc.array(fc.constantFrom<Outcome>('rejects', 'silent'), {
                maxLength: 2,
              }),
            }),
            {minLength: 1, maxLength: 8},
          ),
          phases => {
            const replay = new Replay(deployment);
            for (const {healthy, faults} of phases) {
              const remaining = [...faults];
              for (let i = 0; i < healthy; i++) {
                replay.read(() => remaining.shift() ?? 'responds');
              }
            }
            expect(replay.maxAge).toBeLessThanOrEqual(BOUND);
          },
        ),
        {seed: 35, numRuns: 500},
      );
    },
  );

  it.each(DEPLOYMENTS)(
    'keeps %s within the bound while the store turns it away',
    (_name, deployment) => {
      const replay = new Replay(deployment);
      for (let i = 0; i < 5; i++) replay.read(() => 'responds');
      for (let i = 0; i < 40; i++) {
        replay.read(({source}) =>
          source.kind === 'store' ? 'rejects' : 'responds',
        );
      }
      expect(replay.maxAge).toBeLessThanOrEqual(BOUND);
    },
  );

  it('waits at a relay for less than the time that the bound leaves', () => {
    const step = (age: number) =>
      nextReadStep(age, CONFIGURATION, {
        contactAt: 0,
        wait: BOUND,
        hasListeners: false,
        relay: RELAY,
        peers: PEERS,
        storeFailures: 0,
        tried: [],
      });
    expect(step(10)?.source.kind).toBe('relay');
    expect(step(10)?.timeout).toBeLessThan(maxRelayAge(CONFIGURATION));
    expect(step(maxRelayAge(CONFIGURATION))?.source.kind).toBe('store');
    expect(step(maxRelayAge(CONFIGURATION))?.wait).toBe(0);
  });

  it('waits longer for a store that responds slowly', () => {
    const timeout = (storeFailures: number) => {
      const step = nextReadStep(0, CONFIGURATION, {
        contactAt: 0,
        wait: BOUND,
        hasListeners: false,
        relay: undefined,
        peers: [],
        storeFailures,
        tried: [],
      })!;
      return step.timeout - step.wait;
    };
    expect(timeout(1)).toBeGreaterThan(timeout(0));
    expect(timeout(20)).toBe(timeout(1));
  });

  it.each(
    DEPLOYMENTS.flatMap(([name, deployment]) =>
      [2_000, BOUND].map((bound): [string, number, Deployment] => [
        name,
        bound,
        {...deployment, timing: {...deployment.timing, bound}},
      ]),
    ),
  )(
    'brings %s up to date within the bound of %s ms after an outage',
    (_name, _bound, deployment) => {
      const replay = new Replay(deployment);
      for (let i = 0; i < 3; i++) replay.read(() => 'responds');
      for (let i = 0; i < 12; i++) {
        replay.read(({source}) =>
          source.kind === 'store' ? 'silent' : 'rejects',
        );
      }
      // The store returns right after an attempt began, whose response is lost.
      const returnedAt = replay.time;
      replay.read(() => 'silent');
      replay.read(({source}) =>
        source.kind === 'store' ? 'responds' : 'rejects',
      );
      const {bound} = deployment.timing;
      expect(replay.contact - returnedAt).toBeLessThanOrEqual(bound);
    },
  );
});
