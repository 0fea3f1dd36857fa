import {rendezvous} from '../core/index.js';
import type {AvailabilityZone, VmName} from '../core/index.js';

/** Processes of an availability zone that follow the log. */
export const READERS_PER_ZONE = 2;
/** Processes that share a first source. */
const CHILDREN_PER_SOURCE = 8;
/** Other availability zones: sources of readers, fallbacks of the others. */
export const NEIGHBOUR_ZONES = 2;

/** A VM that may take part in the relay. */
export interface RelayVm {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
}

/** Role of one process in the relay. */
export interface RelayRole {
  /** Whether it follows the log. */
  readonly isReader: boolean;
  /** VMs that it pulls from. */
  readonly sources: readonly VmName[];
  /** VMs that it also pulls from while the sources are unresponsive. */
  readonly fallbacks: readonly VmName[];
}

/**
 * Computes the role of a process. No election is needed: the fold is the same
 * for every reader, and a wrong number of readers costs messages, not safety.
 * Within a zone the processes form a tree, so that each has few links: at most
 * two sources and two times `CHILDREN_PER_SOURCE` followers. A source precedes
 * its followers in the zone's order, even when views of the zone differ, so
 * that no two processes wait for each other.
 * @param self - the process's own VM
 * @param others - the other VMs that are presumed available
 */
export function relayRole(
  self: RelayVm,
  others: readonly RelayVm[],
): RelayRole {
  const zones = new Map<AvailabilityZone, VmName[]>();
  for (const {vm, availabilityZone} of [self, ...others]) {
    const known = zones.get(availabilityZone);
    if (known === undefined) zones.set(availabilityZone, [vm]);
    else known.push(vm);
  }
  const own = rendezvous(
    self.availabilityZone,
    zones.get(self.availabilityZone) ?? [],
  );
  const position = own.indexOf(self.vm);
  const isReader = position < READERS_PER_ZONE;
  const local = zoneSourcesAt(position, own);
  const remote = neighbourZones(self.availabilityZone, zones).map(zone => {
    const ordered = rendezvous(zone, zones.get(zone) ?? []);
    const readers = ordered.slice(0, READERS_PER_ZONE);
    return readers[position % readers.length] ?? self.vm;
  });
  if (isReader)
    return {isReader, sources: [...local, ...remote], fallbacks: []};
  const rest = own.filter(vm => vm !== self.vm && !local.includes(vm));
  const extraSource = rendezvous(self.vm, rest).slice(0, 1);
  return {isReader, sources: local, fallbacks: [...extraSource, ...remote]};
}

/** Returns the sources within the zone of the process at a position. */
function zoneSourcesAt(position: number, ordered: readonly VmName[]): VmName[] {
  if (position < READERS_PER_ZONE) {
    return ordered.slice(0, READERS_PER_ZONE).filter((_, i) => i !== position);
  }
  const first = Math.floor((position - READERS_PER_ZONE) / CHILDREN_PER_SOURCE);
  // Sources come in pairs, so that the loss of one disconnects no process.
  return [first, first ^ 1]
    .map(at => ordered[at])
    .filter(vm => vm !== undefined);
}

/** Returns the zones that follow `zone` in a ring ordered by name. */
function neighbourZones(
  zone: AvailabilityZone,
  zones: ReadonlyMap<AvailabilityZone, unknown>,
): AvailabilityZone[] {
  const names = [...zones.keys()].sort();
  const at = names.indexOf(zone);
  const ring = [...names.slice(at + 1), ...names.slice(0, at)];
  return ring.slice(0, NEIGHBOUR_ZONES);
}
