import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  MINUTE,
  SECOND,
  availabilityZone,
  newIncarnation,
  serviceName,
  vmName,
} from '../core/index.js';
import type {Incarnation} from '../core/index.js';
import {Departures} from './departures.js';
import {MemberTable} from './member_table.js';
import {SelfListing} from './self_listing.js';
import type {Identity, ListedVm} from './types.js';

const VM = vmName('depot-1');
const ZONE = availabilityZone('gbaie-rack');
const SERVICE = serviceName('depot');

function processOf(startedAt: number): Identity {
  return {
    incarnation: newIncarnation(VM, startedAt, 'ab'),
    vm: VM,
    availabilityZone: ZONE,
    role: 'sidecar',
    service: SERVICE,
    address: '10.0.0.1:7',
    program: 'test',
  };
}

const OLD = processOf(1_000_000);
const NEW = processOf(2_000_000);

function listed(state: 'live' | 'leaving'): ListedVm[] {
  const {vm, availabilityZone, address, role, service} = OLD;
  return [{vm, availabilityZone, address, role, service, state}];
}

type Event =
  ['list', 'live' | 'leaving' | 'absent'] | ['up' | 'down' | 'leave', Identity];

function table(...events: Event[]): MemberTable {
  const members = new MemberTable();
  events.forEach(([kind, what], i) => {
    const now = i * SECOND;
    if (kind === 'list') {
      members.applyList(now, what === 'absent' ? [] : listed(what));
    } else if (kind === 'up') members.onLinkUp(now, what);
    else if (kind === 'down') members.onLinkDown(now, what.incarnation);
    else members.markLeaving(what.incarnation);
  });
  return members;
}

const CASES: [string, Event[], Identity | undefined][] = [
  ['an open link of an unlisted process', [['up', OLD]], OLD],
  ['a listed VM without a link', [['list', 'live']], undefined],
  [
    'a lost link',
    [
      ['up', OLD],
      ['down', OLD],
    ],
    undefined,
  ],
  [
    'an open link of a process no longer listed',
    [
      ['up', OLD],
      ['list', 'absent'],
    ],
    OLD,
  ],
  [
    'its own leaving message',
    [
      ['up', OLD],
      ['leave', OLD],
    ],
    undefined,
  ],
  [
    "a peer's departure message before the link",
    [
      ['leave', OLD],
      ['up', OLD],
    ],
    undefined,
  ],
  [
    'a list that shows leaving, then a lagging copy',
    [
      ['list', 'live'],
      ['up', OLD],
      ['list', 'leaving'],
      ['list', 'live'],
    ],
    undefined,
  ],
  [
    'a list that showed leaving from the start',
    [
      ['list', 'leaving'],
      ['up', OLD],
    ],
    undefined,
  ],
  [
    'a list that showed leaving, then live, before any link',
    [
      ['list', 'leaving'],
      ['list', 'live'],
      ['up', OLD],
    ],
    OLD,
  ],
  [
    'a replacement while the list still shows leaving',
    [
      ['list', 'live'],
      ['up', OLD],
      ['list', 'leaving'],
      ['down', OLD],
      ['up', NEW],
    ],
    NEW,
  ],
  [
    'a late loss of the older link',
    [
      ['up', OLD],
      ['up', NEW],
      ['down', OLD],
    ],
    NEW,
  ],
  [
    'a late link of the older process',
    [
      ['up', NEW],
      ['up', OLD],
    ],
    NEW,
  ],
  [
    'a resumed older process whose link outlives the newer one',
    [
      ['up', NEW],
      ['up', OLD],
      ['down', NEW],
    ],
    undefined,
  ],
  [
    'a new process whose VM has a slow clock',
    [
      ['up', NEW],
      ['down', NEW],
      ['up', OLD],
    ],
    OLD,
  ],
];

describe('MemberTable', () => {
  it.each(CASES)('selects the upstream after %s', (_name, events, expected) => {
    const [upstream] = table(...events).availableUpstreams(SERVICE);
    expect(upstream?.incarnation).toBe(expected?.incarnation);
  });

  it('returns once which process the list newly shows as leaving', () => {
    const members = table(['list', 'live'], ['up', OLD]);
    const gone = [OLD.incarnation];
    expect(members.applyList(5 * SECOND, listed('leaving'))).toEqual(gone);
    expect(members.applyList(6 * SECOND, listed('leaving'))).toEqual([]);
  });

  it('removes a process without a link whose VM is not listed', () => {
    const members = table(['up', OLD], ['down', OLD]);
    members.applyList(2 * MINUTE, []);
    expect(members.all()).toEqual([]);
  });

  it('never selects a process after evidence that it leaves', () => {
    const event = fc.oneof(
      fc.tuple(
        fc.constant('list' as const),
        fc.constantFrom('live', 'leaving', 'absent'),
      ),
      fc.tuple(
        fc.constantFrom('up', 'down', 'leave'),
        fc.constantFrom(OLD, NEW),
      ),
    );
    fc.assert(
      fc.property(fc.array(event, {maxLength: 30}), events => {
        const gone = new Set<Incarnation>();
        const members = new MemberTable();
        let now = 0;
        for (const [kind, what] of events as Event[]) {
          now += SECOND;
          if (kind === 'list') {
            const vms = what === 'absent' ? [] : listed(what);
            members.applyList(now, vms).forEach(process => gone.add(process));
          } else if (kind === 'up') members.onLinkUp(now, what);
          else if (kind === 'down') members.onLinkDown(now, what.incarnation);
          else {
            members.markLeaving(what.incarnation);
            gone.add(what.incarnation);
          }
          for (const {incarnation} of members.availableUpstreams(SERVICE)) {
            expect(gone).not.toContain(incarnation);
          }
        }
      }),
      {seed: 11, numRuns: 500},
    );
  });
});

describe('Departures', () => {
  it('retains a bounded number, and every linked process', () => {
    const departures = new Departures();
    const isLinked = (process: Incarnation) => process === OLD.incarnation;
    departures.add(OLD.incarnation, isLinked);
    for (let i = 0; i < 10_000; i++) {
      departures.add(newIncarnation(VM, i, 'cd'), isLinked);
    }
    expect(departures.size).toBe(4_096);
    expect(departures.has(OLD.incarnation)).toBe(true);
  });
});

describe('SelfListing', () => {
  it.each([
    ['listed as live before', ['live', 'leaving'], 1, true],
    ['just started on a VM still listed as leaving', ['leaving'], 1, false],
    ['listed as leaving beyond the list lag', ['leaving'], 30, true],
    ['not listed', [], 60, false],
  ] as const)('leaves when %s', (_name, states, seconds, expected) => {
    const listing = new SelfListing(VM, 0);
    let leaves = false;
    for (const state of states) {
      leaves = listing.shouldLeave(seconds * SECOND, listed(state));
    }
    expect(leaves).toBe(expected);
  });
});
