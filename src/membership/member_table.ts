import type {Incarnation, ServiceName, VmName} from '../core/index.js';
import type {Identity, ListedVm, Member} from './types.js';

/** Who is there: the platform's lagging list joined with direct evidence. */
export class MemberTable {
  private readonly members = new Map<VmName, Member>();
  /** Processes that said that they leave. */
  private readonly departing = new Set<Incarnation>();

  /**
   * Takes in a new copy of the platform's list.
   * @param vms - all that it shows
   */
  list(vms: readonly ListedVm[]): void {
    const listed = new Set(vms.map(({vm}) => vm));
    for (const [vm, member] of this.members) {
      if (!listed.has(vm) && !member.linked) this.members.delete(vm);
    }
    for (const vm of vms) this.listOne(vm);
  }

  /**
   * A link to a process is open.
   * @param peer - how it introduced itself
   */
  linkUp(peer: Identity): void {
    const {vm, availabilityZone, address, role, service, incarnation} = peer;
    const leaving = this.departing.has(incarnation);
    this.members.set(vm, {
      vm,
      availabilityZone,
      address,
      role,
      service,
      incarnation,
      linked: true,
      leaving,
    });
  }

  /**
   * The link to a process was lost.
   * @param gone - the process
   */
  linkDown(gone: Incarnation): void {
    const member = this.find(gone);
    if (member) this.members.set(member.vm, {...member, linked: false});
  }

  /**
   * A process said that it takes no new work.
   * @param peer - the process
   */
  leave(peer: Incarnation): void {
    this.departing.add(peer);
    const member = this.find(peer);
    if (member) this.members.set(member.vm, {...member, leaving: true});
  }

  /** Everyone known. */
  all(): readonly Member[] {
    return [...this.members.values()];
  }

  /**
   * Upstreams of a service that take new work.
   * @param service - the service
   */
  upstreams(service: ServiceName): readonly (Member & {
    readonly incarnation: Incarnation;
  })[] {
    return this.all().filter(
      (member): member is Member & {incarnation: Incarnation} =>
        member.role === 'sidecar' &&
        member.service === service &&
        member.linked &&
        !member.leaving &&
        member.incarnation !== undefined,
    );
  }

  private find(peer: Incarnation): Member | undefined {
    return this.all().find(({incarnation}) => incarnation === peer);
  }

  private listOne(vm: ListedVm): void {
    const known = this.members.get(vm.vm);
    const leaving = vm.state === 'leaving';
    this.members.set(vm.vm, {
      vm: vm.vm,
      availabilityZone: vm.availabilityZone,
      address: vm.address,
      role: vm.role,
      service: vm.service,
      incarnation: known?.incarnation,
      linked: known?.linked ?? false,
      leaving: leaving || (known?.leaving ?? false),
    });
  }
}
