import type {ServiceName} from '../core/index.js';
import type {Configuration} from './types.js';

/** A broken rule, with the path of the value that breaks it. */
export interface Violation {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly rule: string;
}

function unknownNames(cfg: Configuration): Violation[] {
  const found: Violation[] = [];
  const zones = new Set<string>(cfg.availabilityZones);
  for (const [name, service] of Object.entries(cfg.services)) {
    for (const zone of Object.keys(service.upstreams)) {
      if (zones.has(zone)) continue;
      found.push({
        path: ['services', name, 'upstreams', zone],
        message: `availability zone ${zone} is not declared`,
        rule: 'unknown-name',
      });
    }
    service.dependsOn.forEach((dependency, index) => {
      if (dependency.service in cfg.services) return;
      found.push({
        path: ['services', name, 'dependsOn', index, 'service'],
        message: `service ${dependency.service} is not declared`,
        rule: 'unknown-name',
      });
    });
  }
  return found;
}

/** The first cycle that a depth-first walk meets from `start`, if any. */
function cycleFrom(
  cfg: Configuration,
  start: ServiceName,
  path: ServiceName[] = [],
): ServiceName[] | undefined {
  if (start === path[0]) return [...path, start];
  if (path.includes(start)) return undefined;
  for (const {service} of cfg.services[start]?.dependsOn ?? []) {
    const cycle = cycleFrom(cfg, service, [...path, start]);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

function cycles(cfg: Configuration): Violation[] {
  const found: Violation[] = [];
  const reported = new Set<string>();
  for (const name of Object.keys(cfg.services) as ServiceName[]) {
    const cycle = cycleFrom(cfg, name);
    if (cycle === undefined || reported.has(name)) continue;
    cycle.forEach(member => reported.add(member));
    found.push({
      path: ['services', name, 'dependsOn'],
      message: `dependency cycle: ${cycle.join(' -> ')}`,
      rule: 'dependency-cycle',
    });
  }
  return found;
}

/**
 * Checks what a schema cannot: rules between values.
 * @param cfg - a text that fits the schema
 * @returns every violation
 */
export function crossCheck(cfg: Configuration): Violation[] {
  return [...unknownNames(cfg), ...cycles(cfg)];
}
