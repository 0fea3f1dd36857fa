import {z} from 'zod';

import {
  availabilityZone,
  incarnation,
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
  /** Where its link listener is, `host:port`. */
  address: z.string().max(100),
  /** Where its operator listener is, `host:port`, once it is open. */
  operators: z.string().max(100).optional(),
  /** Version of the program. */
  program: z.string().max(50),
});
export type Identity = z.output<typeof identity>;

/** A VM as the platform's list shows it. */
export const listedVm = z.object({
  vm: z.string().min(1).transform(vmName),
  availabilityZone: z.string().min(1).transform(availabilityZone),
  address: z.string(),
  state: z.enum(['live', 'leaving']),
  role: z.enum(ROLES),
  service: z.string().transform(serviceName).optional(),
});
export type ListedVm = z.output<typeof listedVm>;

/** A VM with all that is known of the process on it. */
export interface Member {
  readonly vm: ListedVm['vm'];
  readonly availabilityZone: ListedVm['availabilityZone'];
  readonly address: string;
  readonly role: Role;
  readonly service: ListedVm['service'];
  /** Where its operator listener is, once a process said so. */
  readonly operators: string | undefined;
  /** The process that answered last, if one has. */
  readonly incarnation: Identity['incarnation'] | undefined;
  /** Whether a link to that process is open and heard from. */
  readonly linked: boolean;
  /** Whether anything said that it takes no new work. */
  readonly leaving: boolean;
}
