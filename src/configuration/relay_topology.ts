import {rendezvous} from '../core/index.js';
import type {AvailabilityZone, VmName} from '../core/index.js';

/** Processes of an availability zone that follow the log. */
export const READERS_PER_ZONE = 2;
/** Processes that have the same first source. */
const CHILDREN_PER_SOURCE = 8;
/** Other availability zones that a reader compares itself with. */
export const NEIGHBOUR_ZONES = 2;

/** A VM that may take part in the relay. */
export interface RelayVm {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
}

/** The part of one process in the relay. */
export interface RelayRole {
  /** Whether it follows the log. */
  readonly isReader: boolean;
  /** Whom it pulls from. */
  readonly sources: readonly VmName[];
  /** Whom it pulls from as well while the sources are of no help. */
  readonly fallbacks: readonly VmName[];
}

/**
 * Works out the part of a process. No vote is needed: whoever reads, the fold
 * is the same, and too many or too few readers cost messages, never safety.
 * Within a zone the processes form a tree, so that each has few links: at most
 * two sources and twice as many followers as there are children. A source
 * stands earlier in the zone's order, also when views of the zone differ, so
 * that no two processes wait for each other.
 * @param self - the process's own VM
 * @param others - the other VMs that are thought to be there
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

/** The sources within the zone of the process at a rank. */
function zoneSourcesAt(position: number, ordered: readonly VmName[]): VmName[] {
  if (position < READERS_PER_ZONE) {
    return ordered.slice(0, READERS_PER_ZONE).filter((_, i) => i !== position);
  }
  const first = Math.floor((position - READERS_PER_ZONE) / CHILDREN_PER_SOURCE);
  // Sources come in pairs, so that one lost source cuts nobody off.
  return [first, first ^ 1]
    .map(at => ordered[at])
    .filter(vm => vm !== undefined);
}

/** The zones after `zone`, in the order of their names and round again. */
function neighbourZones(
  zone: AvailabilityZone,
  zones: ReadonlyMap<AvailabilityZone, unknown>,
): AvailabilityZone[] {
  const names = [...zones.keys()].sort();
  const at = names.indexOf(zone);
  const ring = [...names.slice(at + 1), ...names.slice(0, at)];
  return ring.slice(0, NEIGHBOUR_ZONES);
}
