import {z} from 'zod';

import {
  availabilityZone,
  incarnation,
  isHostPort,
  serviceName,
  vmName,
} from '../core/index.js';

/** The daemons that a VM may run. */
export const ROLES = ['entry', 'sidecar'] as const;
export type Role = (typeof ROLES)[number];

/** How a process introduces itself on a link. */
export const identity = z.strictObject({
  incarnation: z.string().min(1).max(200).transform(incarnation),
  vm: z.string().min(1).max(100).transform(vmName),
  availabilityZone: z.string().min(1).max(100).transform(availabilityZone),
  role: z.enum(ROLES),
  /** The service of a sidecar's upstream. */
  service: z.string().max(100).transform(serviceName).optional(),
  /** Address of its link listener, `host:port`. */
  address: z.string().max(100),
  /** Address of its operator listener, `host:port`, once it is open. */
  operators: z.string().max(100).optional(),
  /** Version of the program. */
  program: z.string().max(50),
});
export type Identity = z.output<typeof identity>;

/** A VM as the platform's VM list shows it. */
export const listedVm = z.object({
  vm: z.string().min(1).transform(vmName),
  availabilityZone: z.string().min(1).transform(availabilityZone),
  address: z.string().refine(isHostPort, 'no address with a port'),
  state: z.enum(['live', 'leaving']),
  role: z.enum(ROLES),
  service: z.string().transform(serviceName).optional(),
});
export type ListedVm = z.output<typeof listedVm>;

/** A VM joined with the state of the process on it. */
export interface Member {
  readonly vm: ListedVm['vm'];
  readonly availabilityZone: ListedVm['availabilityZone'];
  readonly address: string;
  readonly role: Role;
  readonly service: ListedVm['service'];
  /** Address of its operator listener, once a process has announced it. */
  readonly operators: string | undefined;
  /** The latest process that has opened a link, if any. */
  readonly incarnation: Identity['incarnation'] | undefined;
  /** Whether a link to that process is open and alive. */
  readonly linked: boolean;
  /** Whether there is evidence that it accepts no new work. */
  readonly leaving: boolean;
}
