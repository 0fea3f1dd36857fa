import type {VmName} from './ids.js';

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a hash with a final mix, so that similar names spread evenly. */
function hash(text: string): number {
  let h = FNV_OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/**
 * Orders VMs by rendezvous hashing: processes with the same list of VMs compute
 * the same order, and adding or removing a VM does not reorder the others.
 * @param key - subject of the order
 * @param vms - the VMs
 */
export function rendezvous(key: string, vms: readonly VmName[]): VmName[] {
  const scores = new Map(vms.map(vm => [vm, hash(`${key}/${vm}`)]));
  const score = (vm: VmName) => scores.get(vm) ?? 0;
  return [...scores.keys()].sort(
    (a, b) => score(b) - score(a) || (a < b ? -1 : 1),
  );
}
