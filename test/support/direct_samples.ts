import {availabilityZone, serviceName, version} from '../../src/core/index.js';
import {upstreamId} from '../../src/direct/index.js';
import type {
  DirectConfiguration,
  Route,
  UpstreamRegistration,
} from '../../src/direct/index.js';

/**
 * Returns a route for tests.
 * @param change - fields that differ from a resumable streaming route
 */
export function testRoute(change: Partial<Route> = {}): Route {
  return {
    name: 'plan',
    host: 'vans.example',
    pathPrefix: '/plan/',
    repeat: 'stream',
    timeout: 8_000,
    latencyTarget: 400,
    gapTarget: 120,
    silencePatience: 2_000,
    priority: 1,
    targets: [{service: serviceName('assistant'), weight: 1}],
    maxAttempts: 2,
    needsKey: true,
    resumable: true,
    ...change,
  };
}

/**
 * Returns a registration for tests.
 * @param id - id of the upstream
 * @param change - fields that differ from a ready upstream of `assistant`
 */
export function testRegistration(
  id: string,
  change: Partial<UpstreamRegistration> = {},
): UpstreamRegistration {
  return {
    id: upstreamId(id),
    service: serviceName('assistant'),
    address: '10.0.0.1:80',
    availabilityZone: availabilityZone('a'),
    slots: 8,
    leaving: false,
    warmUpLeft: 0,
    bornAt: 1_000,
    sequence: 1,
    ...change,
  };
}

/**
 * Returns a configuration for tests.
 * @param number - version of the configuration
 * @param change - fields that override the defaults
 */
export function testConfiguration(
  number: number,
  change: Partial<DirectConfiguration> = {},
): DirectConfiguration {
  return {
    version: version(number),
    routes: [testRoute()],
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: 3_000,
      idleTimeout: 15_000,
    },
    organisations: [],
    ...change,
  };
}
