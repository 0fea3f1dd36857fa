import {describe, expect, it} from 'vitest';

import {incarnation} from '../core/index.js';
import {LoadTracker} from './index.js';

describe('LoadTracker', () => {
  it('removes upstreams that are gone once their requests have ended', () => {
    const loads = new LoadTracker();
    const [idle, busy, standing] = ['a@1', 'b@1', 'c@1'].map(incarnation);
    for (const upstream of [idle!, busy!, standing!])
      loads.recordSent(upstream, 10);
    for (const upstream of [idle!, standing!])
      loads.recordEnded(5, upstream, 10, 'good');
    const isActive = (upstream: string) => upstream === standing;
    loads.prune(isActive);
    expect(loads.size).toBe(2);
    loads.recordEnded(9, busy!, 10, 'neutral');
    loads.prune(isActive);
    expect(loads.size).toBe(1);
  });
});
