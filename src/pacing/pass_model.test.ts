import {describe, expect, it} from 'vitest';

import {
  testConfiguration,
  testRoute,
} from '../../test/support/direct_samples.js';
import {ENGINE} from '../../test/support/pacing_load.js';
import {serviceName} from '../core/index.js';
import {needsPacing, pacingOf} from './index.js';

const ASSISTANT = serviceName('assistant');
const PROFILE = {name: ASSISTANT, hasEngines: true, experts: undefined};

describe('the decision to pace', () => {
  it('paces engines whose full ranks take too large a part of the gap target', () => {
    // 41 ms without streams and 4.5 ms for each of 7: 72 ms of 120.
    expect(needsPacing(ENGINE, 120)).toBe(true);
  });

  it('leaves engines alone whose full ranks are far below the gap target', () => {
    expect(needsPacing(ENGINE, 200)).toBe(false);
    expect(needsPacing({...ENGINE, slots: 3}, 120)).toBe(false);
  });

  it('leaves engines alone whose passes are too long without any stream', () => {
    expect(needsPacing(ENGINE, 40)).toBe(false);
  });

  it('takes the shortest gap target of the routes of a service', () => {
    const configuration = testConfiguration(1, {
      routes: [
        testRoute({gapTarget: 150}),
        testRoute({gapTarget: 120}),
        testRoute({gapTarget: undefined}),
        testRoute({
          gapTarget: 60,
          targets: [{service: serviceName('other'), weight: 1}],
        }),
      ],
      services: [{...PROFILE, engine: ENGINE}],
    });
    expect(pacingOf(configuration, ASSISTANT)).toEqual({
      engine: ENGINE,
      gapTarget: 120,
    });
  });

  it('is off without a gap target or without the figures of the engine', () => {
    const routes = [testRoute({gapTarget: undefined})];
    const services = [{...PROFILE, engine: ENGINE}];
    const noTarget = testConfiguration(1, {routes, services});
    expect(pacingOf(noTarget, ASSISTANT)).toBeUndefined();
    const noFigures = testConfiguration(1, {services: [PROFILE]});
    expect(pacingOf(noFigures, ASSISTANT)).toBeUndefined();
  });
});
