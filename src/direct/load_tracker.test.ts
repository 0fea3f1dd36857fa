import {describe, expect, it} from 'vitest';

import {incarnation} from '../core/index.js';
import {LoadTracker} from './index.js';

describe('LoadBook', () => {
  it('forgets upstreams that are gone once their work has ended', () => {
    const loads = new LoadTracker();
    const [idle, busy, standing] = ['a@1', 'b@1', 'c@1'].map(incarnation);
    for (const life of [idle!, busy!, standing!]) loads.recordSent(life, 10);
    for (const life of [idle!, standing!])
      loads.recordEnded(5, life, 10, 'good');
    const isThere = (life: string) => life === standing;
    loads.prune(isThere);
    expect(loads.size).toBe(2);
    loads.recordEnded(9, busy!, 10, 'neutral');
    loads.prune(isThere);
    expect(loads.size).toBe(1);
  });
});
