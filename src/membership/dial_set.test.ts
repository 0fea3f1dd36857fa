import {describe, expect, it} from 'vitest';

import {availabilityZone, serviceName, vmName} from '../core/index.js';
import {MAX_REMOTE_PER_SERVICE, sidecarsToDial} from './dial_set.js';
import type {ListedVm} from './types.js';

const ZONES = 19;
const SERVICES = 33;
const SIDECARS = 1_300;

const sidecar = (at: number): ListedVm => ({
  vm: vmName(`replica-${at}`),
  availabilityZone: availabilityZone(`zone-${at % ZONES}`),
  address: `127.0.0.1:${at}`,
  state: 'live',
  role: 'sidecar',
  service: serviceName(`model-${at % SERVICES}`),
});
const estate = Array.from({length: SIDECARS}, (_, at) => sidecar(at));
const entry = (at: number) => ({
  vm: vmName(`entry-${at}`),
  availabilityZone: availabilityZone(`zone-${at % ZONES}`),
});

describe('sidecarsToDial', () => {
  it('selects all sidecars while there are few', () => {
    const few = estate.slice(0, 12);
    expect(new Set(sidecarsToDial(entry(1), few))).toEqual(new Set(few));
  });

  it('selects those of its own zone and a few per service of other zones', () => {
    const dialled = sidecarsToDial(entry(4), estate);
    const near = estate.filter(vm => vm.availabilityZone === 'zone-4');
    expect(dialled).toEqual(expect.arrayContaining(near));
    const most = near.length + SERVICES * MAX_REMOTE_PER_SERVICE;
    expect(dialled.length).toBeLessThanOrEqual(most);
  });

  it('selects different ones for each entry, so that many dial each sidecar', () => {
    const dialledBy = new Map<string, number>();
    for (let at = 0; at < 380; at++) {
      for (const {vm} of sidecarsToDial(entry(at), estate)) {
        dialledBy.set(vm, (dialledBy.get(vm) ?? 0) + 1);
      }
    }
    expect(dialledBy.size).toBe(SIDECARS);
    expect(Math.min(...dialledBy.values())).toBeGreaterThan(20);
  });

  it('replaces at most the removed VM', () => {
    const before = new Set(sidecarsToDial(entry(7), estate).map(v => v.vm));
    const [gone] = [...before];
    const left = estate.filter(({vm}) => vm !== gone);
    const after = sidecarsToDial(entry(7), left).map(({vm}) => vm);
    expect(after.filter(vm => !before.has(vm)).length).toBeLessThanOrEqual(1);
  });

  it('selects no entries', () => {
    const other = {...sidecar(1), role: 'entry' as const};
    expect(sidecarsToDial(entry(1), [other])).toEqual([]);
  });
});
