import {describe, expect, it} from 'vitest';

import {SystemClock, createLogger} from '../../observability/index.js';
import {DependencyHealth} from './dependency_health.js';

describe('DependencyHealth', () => {
  it('logs an outage with its first reason and its recovery, once each', () => {
    const lines: string[] = [];
    const logger = createLogger('info', line => lines.push(line));
    const health = new DependencyHealth('engine', new SystemClock(), logger, {
      address: '10.0.0.1:80',
    });
    expect(health.recordSuccess()).toBeUndefined();
    health.recordFailure('no answer');
    health.recordFailure('connection refused');
    expect(health.isUnavailable).toBe(true);
    expect(health.recordSuccess()).toBeGreaterThanOrEqual(0);
    health.recordSuccess();
    expect(lines).toHaveLength(2);
    expect(lines[0]).toMatch(/event=engine_lost address=10\.0\.0\.1:80/);
    expect(lines[0]).toContain('no answer');
    expect(lines[1]).toMatch(/event=engine_regained .*after_ms=/);
  });
});
