import {MINUTE} from '../core/index.js';
import type {Incarnation, Millis, ServiceName, VmName} from '../core/index.js';
import {Departures} from './departures.js';
import type {Identity, ListedVm, Member} from './types.js';

/** A process without a link on a VM that is not listed is kept this long. */
const UNLISTED_RETENTION: Millis = MINUTE;

interface Process {
  readonly identity: Identity;
  readonly linked: boolean;
  /** When the link came up or was lost. */
  readonly linkChangedAt: Millis;
}

interface Listing {
  readonly vm: ListedVm;
  /** The process that was there when the list began to say leaving. */
  readonly leavingIncarnation: Incarnation | undefined;
}

/** Time of the start that an incarnation names, ms since 1970. */
function parseStartTime(incarnation: Incarnation): number {
  const [, start = ''] = /\/([0-9a-z]+)-[^/]*$/.exec(incarnation) ?? [];
  return parseInt(start, 36) || 0;
}

function takesPrecedence(a: Process, b: Process): boolean {
  if (a.linked !== b.linked) return a.linked;
  const [startA, startB] = [a, b].map(p =>
    parseStartTime(p.identity.incarnation),
  );
  if (startA !== startB) return (startA ?? 0) > (startB ?? 0);
  return a.identity.incarnation > b.identity.incarnation;
}

/**
 * Who is there: the platform's lagging list joined with direct evidence. An
 * open link speaks for one process, the list for a VM whatever runs on it.
 */
export class MemberTable {
  private readonly listings = new Map<VmName, Listing>();
  private readonly processes = new Map<Incarnation, Process>();
  private readonly departures = new Departures();
  /** The answer of `all`, until something changes. */
  private cachedMembers: readonly Member[] | undefined;

  /**
   * Takes in a new copy of the platform's list.
   * @param now - present time
   * @param vms - all that it shows
   * @returns processes that it newly shows to leave
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
   * A link to a process is open.
   * @param now - present time
   * @param peer - how it introduced itself
   */
  onLinkUp(now: Millis, peer: Identity): void {
    this.cachedMembers = undefined;
    const up = {identity: peer, linked: true, linkChangedAt: now};
    this.processes.set(peer.incarnation, up);
    // Of two processes of one VM that both answer, the older was paused.
    for (const other of this.processesOf(peer.vm)) {
      if (!other.linked || other === up) continue;
      const older = takesPrecedence(other, up) ? up : other;
      this.addDeparture(older.identity.incarnation);
    }
  }

  /**
   * The link to a process was lost.
   * @param now - present time
   * @param peer - the process
   */
  onLinkDown(now: Millis, peer: Incarnation): void {
    const known = this.processes.get(peer);
    if (!known?.linked) return;
    this.cachedMembers = undefined;
    this.processes.set(peer, {...known, linked: false, linkChangedAt: now});
  }

  /**
   * There is evidence that a process takes no new work: its own word, its
   * refusal, or a peer's word.
   * @param peer - the process
   * @returns whether that is news
   */
  markLeaving(peer: Incarnation): boolean {
    return this.addDeparture(peer);
  }

  /** How many departures are remembered. */
  get departureCount(): number {
    return this.departures.size;
  }

  /** Everyone known, one for each VM. */
  all(): readonly Member[] {
    this.cachedMembers ??= this.buildMembers();
    return this.cachedMembers;
  }

  /**
   * Upstreams of a service that take new work.
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
      // The address that the list gives is the one that this VM can reach.
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

  /** Whether what the list says of a VM is said of this process. */
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
    // Only a change that was seen can be tied to a process.
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
    for (const [incarnation, {identity, linked, linkChangedAt}] of this
      .processes) {
      if (linked || this.listings.has(identity.vm)) continue;
      if (now - linkChangedAt >= UNLISTED_RETENTION)
        this.processes.delete(incarnation);
    }
    this.pruneSuperseded();
  }

  /** Of the lost processes of a VM only the latest is of use. */
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
