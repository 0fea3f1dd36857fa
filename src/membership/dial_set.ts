import {rendezvous} from '../core/index.js';
import type {AvailabilityZone, VmName} from '../core/index.js';
import type {ListedVm} from './types.js';

/** Maximum sidecars per service that an entry dials outside its zone. */
export const MAX_REMOTE_PER_SERVICE = 8;

/** The entry that dials. */
export interface Dialler {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
}

/**
 * Selects the sidecars that an entry keeps links to: all of its own
 * availability zone, and a few per service in other zones for spillover.
 * Rendezvous hashing selects different ones for each entry, so that spilled
 * calls spread over all zones and no entry has a link to every sidecar.
 * @param self - the entry
 * @param vms - the platform's VM list
 * @returns the VMs to dial, in no particular order
 */
export function sidecarsToDial(
  self: Dialler,
  vms: readonly ListedVm[],
): ListedVm[] {
  const local: ListedVm[] = [];
  const remoteByService = new Map<string, ListedVm[]>();
  for (const vm of vms) {
    if (vm.role !== 'sidecar') continue;
    if (vm.availabilityZone === self.availabilityZone) {
      local.push(vm);
      continue;
    }
    const service = vm.service ?? '';
    const known = remoteByService.get(service);
    if (known === undefined) remoteByService.set(service, [vm]);
    else known.push(vm);
  }
  return [
    ...local,
    ...[...remoteByService.values()].flatMap(candidates =>
      selectRemote(self, candidates),
    ),
  ];
}

function selectRemote(
  {vm: self}: Dialler,
  vms: readonly ListedVm[],
): ListedVm[] {
  if (vms.length <= MAX_REMOTE_PER_SERVICE) return [...vms];
  const byName = new Map(vms.map(vm => [vm.vm, vm]));
  return rendezvous(self, [...byName.keys()])
    .slice(0, MAX_REMOTE_PER_SERVICE)
    .map(name => byName.get(name))
    .filter(vm => vm !== undefined);
}
