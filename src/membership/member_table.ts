import {MINUTE} from '../core/index.js';
import type {Incarnation, Millis, ServiceName, VmName} from '../core/index.js';
import {Departures} from './departures.js';
import type {Identity, ListedVm, Member} from './types.js';

/** Retention of a process without a link on a VM that is not listed. */
const UNLISTED_RETENTION: Millis = MINUTE;

interface Process {
  readonly identity: Identity;
  readonly linked: boolean;
  /** When the link was opened or lost. */
  readonly since: Millis;
}

interface Listing {
  readonly vm: ListedVm;
  /** The process that ran when the list first showed `leaving`. */
  readonly leavingIncarnation: Incarnation | undefined;
}

/** Returns the start time encoded in an incarnation, ms since 1970. */
function parseStartTime(incarnation: Incarnation): number {
  const [, start = ''] = /\/([0-9a-z]+)-[^/]*$/.exec(incarnation) ?? [];
  return parseInt(start, 36) || 0;
}

/** Returns whether `a` is the current process of a VM rather than `b`. */
function takesPrecedence(a: Process, b: Process): boolean {
  if (a.linked !== b.linked) return a.linked;
  const [startA, startB] = [a, b].map(p =>
    parseStartTime(p.identity.incarnation),
  );
  if (startA !== startB) return (startA ?? 0) > (startB ?? 0);
  return a.identity.incarnation > b.identity.incarnation;
}

/**
 * Membership table: joins the platform's lagging VM list with direct evidence.
 * An open link is evidence of one process, the list only of a VM, whichever
 * process runs on it.
 */
export class MemberTable {
  private readonly listings = new Map<VmName, Listing>();
  private readonly processes = new Map<Incarnation, Process>();
  private readonly departures = new Departures();
  /** Cached result of `all`, cleared by each change. */
  private cachedMembers: readonly Member[] | undefined;

  /**
   * Applies a new copy of the platform's VM list.
   * @param now - present time
   * @param vms - all VMs of the list
   * @returns processes that the list newly shows as leaving
   */
  applyList(now: Millis, vms: readonly ListedVm[]): Incarnation[] {
    this.cachedMembers = undefined;
    const listed = new Set(vms.map(({vm}) => vm));
    for (const vm of this.listings.keys()) {
      if (!listed.has(vm)) this.listings.delete(vm);
    }
    const newlyLeaving = vms.flatMap(vm => this.updateListing(vm));
    this.pruneUnlisted(now);
    this.cachedMembers = undefined;
    return newlyLeaving;
  }

  /**
   * Records that a link to a process is open.
   * @param now - present time
   * @param peer - identity that the process sent
   */
  onLinkUp(now: Millis, peer: Identity): void {
    this.cachedMembers = undefined;
    const up = {identity: peer, linked: true, since: now};
    this.processes.set(peer.incarnation, up);
    // If two processes of one VM are linked, the older one had been paused.
    for (const other of this.processesOf(peer.vm)) {
      if (!other.linked || other === up) continue;
      const older = takesPrecedence(other, up) ? up : other;
      this.addDeparture(older.identity.incarnation);
    }
  }

  /**
   * Records that the link to a process was lost.
   * @param now - present time
   * @param peer - the process
   */
  onLinkDown(now: Millis, peer: Incarnation): void {
    const known = this.processes.get(peer);
    if (!known?.linked) return;
    this.cachedMembers = undefined;
    this.processes.set(peer, {...known, linked: false, since: now});
  }

  /**
   * Records evidence that a process accepts no new work: its own message, its
   * rejection of a call, or a peer's message.
   * @param peer - the process
   * @returns whether it was not known yet
   */
  markLeaving(peer: Incarnation): boolean {
    return this.addDeparture(peer);
  }

  /** Number of retained departures. */
  get departureCount(): number {
    return this.departures.size;
  }

  /** Returns all known members, one for each VM. */
  all(): readonly Member[] {
    this.cachedMembers ??= this.buildMembers();
    return this.cachedMembers;
  }

  /**
   * Returns the linked upstreams of a service that accept new work.
   * @param service - the service
   */
  availableUpstreams(service: ServiceName): readonly (Member & {
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

  private buildMembers(): readonly Member[] {
    const current = new Map<VmName, Process>();
    for (const process of this.processes.values()) {
      const {vm} = process.identity;
      const known = current.get(vm);
      if (known === undefined || takesPrecedence(process, known)) {
        current.set(vm, process);
      }
    }
    const vms = new Set([...this.listings.keys(), ...current.keys()]);
    return [...vms].map(vm =>
      this.buildMember(this.listings.get(vm), current.get(vm)),
    );
  }

  private buildMember(
    listing: Listing | undefined,
    process: Process | undefined,
  ): Member {
    const source = (process?.identity ?? listing?.vm) as Identity | ListedVm;
    const incarnation = process?.identity.incarnation;
    return {
      vm: source.vm,
      availabilityZone: source.availabilityZone,
      // The listed address is the one that this VM can reach.
      address: listing?.vm.address ?? source.address,
      role: source.role,
      service: source.service,
      operators: process?.identity.operators,
      incarnation,
      linked: process?.linked ?? false,
      leaving:
        this.departures.has(incarnation) ||
        this.isListedLeaving(listing, incarnation),
    };
  }

  /** Returns whether the list shows this process of the VM as leaving. */
  private isListedLeaving(
    listing: Listing | undefined,
    incarnation: Incarnation | undefined,
  ): boolean {
    if (listing?.vm.state !== 'leaving') return false;
    const {leavingIncarnation} = listing;
    return (
      leavingIncarnation === undefined || leavingIncarnation === incarnation
    );
  }

  private updateListing(vm: ListedVm): Incarnation[] {
    const known = this.listings.get(vm.vm);
    if (vm.state === 'live' || known?.vm.state === 'leaving') {
      const leavingIncarnation =
        vm.state === 'live' ? undefined : known?.leavingIncarnation;
      this.listings.set(vm.vm, {vm, leavingIncarnation});
      return [];
    }
    const current = this.all().find(member => member.vm === vm.vm);
    // Only an observed change from live can be attributed to a process.
    const wasLive = known?.vm.state === 'live' && current?.linked === true;
    const leavingIncarnation = wasLive ? current.incarnation : undefined;
    this.listings.set(vm.vm, {vm, leavingIncarnation});
    if (leavingIncarnation === undefined) return [];
    return this.addDeparture(leavingIncarnation) ? [leavingIncarnation] : [];
  }

  private addDeparture(process: Incarnation): boolean {
    this.cachedMembers = undefined;
    return this.departures.add(
      process,
      known => this.processes.get(known)?.linked === true,
    );
  }

  private pruneUnlisted(now: Millis): void {
    for (const [incarnation, {identity, linked, since}] of this.processes) {
      if (linked || this.listings.has(identity.vm)) continue;
      if (now - since >= UNLISTED_RETENTION) this.processes.delete(incarnation);
    }
    this.pruneSuperseded();
  }

  /** Removes all but the latest of the disconnected processes of each VM. */
  private pruneSuperseded(): void {
    const latest = new Map<VmName, Process>();
    for (const process of this.processes.values()) {
      if (process.linked) continue;
      const {vm} = process.identity;
      const known = latest.get(vm);
      if (known === undefined) {
        latest.set(vm, process);
        continue;
      }
      const [kept, dropped] = takesPrecedence(process, known)
        ? [process, known]
        : [known, process];
      latest.set(vm, kept);
      this.processes.delete(dropped.identity.incarnation);
    }
  }

  private processesOf(vm: VmName): Process[] {
    return [...this.processes.values()].filter(
      ({identity}) => identity.vm === vm,
    );
  }
}
