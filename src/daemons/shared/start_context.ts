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

/** What whoever starts a daemon gives it. */
export interface DaemonParts {
  readonly clock: Clock;
  readonly chance: Chance;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The settings that say which process this is. */
export interface IdentitySettings {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  readonly host: string;
  readonly service?: ServiceName;
}

/**
 * Makes what all tasks of a daemon share.
 * @param role - the daemon
 * @param settings - which process this is
 * @param parts - clock, chance, logger and metrics
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
    logger: parts.logger.labelled(role),
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
