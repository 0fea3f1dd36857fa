import {randomBytes} from 'node:crypto';

import {start} from 'nact';

import {newIncarnation} from '../../core/index.js';
import type {
  AvailabilityZone,
  Chance,
  Clock,
  ServiceName,
  VmName,
} from '../../core/index.js';
import type {Role} from '../../membership/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import {PROGRAM_VERSION} from '../../version.js';
import type {DaemonContext} from './context.js';

/** Dependencies passed to a daemon at its start. */
export interface DaemonParts {
  readonly clock: Clock;
  readonly chance: Chance;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Settings that identify the process. */
export interface IdentitySettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  readonly host: string;
  readonly service?: ServiceName;
}

/**
 * Creates the context shared by all tasks of a daemon.
 * @param role - role of the daemon
 * @param settings - identity of the process
 * @param parts - clock, random source, logger and metrics
 */
export function startContext(
  role: Role,
  {vm, availabilityZone, host, service}: IdentitySettings,
  parts: DaemonParts,
): DaemonContext {
  const random = randomBytes(4).toString('hex');
  const incarnation = newIncarnation(vm, parts.clock.wall(), random);
  return {
    ...parts,
    logger: parts.logger.withLabel(role),
    system: start(incarnation.replaceAll('/', '_')),
    self: {
      incarnation,
      vm,
      availabilityZone,
      role,
      service,
      address: host,
      program: PROGRAM_VERSION,
    },
  };
}
