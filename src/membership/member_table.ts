import {MINUTE} from '../core/index.js';
import type {Incarnation, Millis, ServiceName, VmName} from '../core/index.js';
import {Departures} from './departures.js';
import type {Identity, ListedVm, Member} from './types.js';

/** A process without a link on a VM that is not listed is kept this long. */
const KEEP_UNLISTED: Millis = MINUTE;

interface Process {
  readonly identity: Identity;
  readonly linked: boolean;
  /** When the link came up or was lost. */
  readonly since: Millis;
}

interface Listing {
  readonly vm: ListedVm;
  /** The process that was there when the list began to say leaving. */
  readonly leavingProcess: Incarnation | undefined;
}

/** Time of the start that an incarnation names, ms since 1970. */
function startOf(incarnation: Incarnation): number {
  const [, start = ''] = /\/([0-9a-z]+)-[^/]*$/.exec(incarnation) ?? [];
  return parseInt(start, 36) || 0;
}

function isLater(a: Process, b: Process): boolean {
  if (a.linked !== b.linked) return a.linked;
  const [startA, startB] = [a, b].map(p => startOf(p.identity.incarnation));
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
  private members: readonly Member[] | undefined;

  /**
   * Takes in a new copy of the platform's list.
   * @param now - present time
   * @param vms - all that it shows
   * @returns processes that it newly shows to leave
   */
  list(now: Millis, vms: readonly ListedVm[]): Incarnation[] {
    this.members = undefined;
    const listed = new Set(vms.map(({vm}) => vm));
    for (const vm of this.listings.keys()) {
      if (!listed.has(vm)) this.listings.delete(vm);
    }
    const news = vms.flatMap(vm => this.listOne(vm));
    this.forget(now);
    this.members = undefined;
    return news;
  }

  /**
   * A link to a process is open.
   * @param now - present time
   * @param peer - how it introduced itself
   */
  linkUp(now: Millis, peer: Identity): void {
    this.members = undefined;
    const up = {identity: peer, linked: true, since: now};
    this.processes.set(peer.incarnation, up);
    // Of two processes of one VM that both answer, the older was paused.
    for (const other of this.processesOf(peer.vm)) {
      if (!other.linked || other === up) continue;
      const older = isLater(other, up) ? up : other;
      this.depart(older.identity.incarnation);
    }
  }

  /**
   * The link to a process was lost.
   * @param now - present time
   * @param gone - the process
   */
  linkDown(now: Millis, gone: Incarnation): void {
    const known = this.processes.get(gone);
    if (!known?.linked) return;
    this.members = undefined;
    this.processes.set(gone, {...known, linked: false, since: now});
  }

  /**
   * There is evidence that a process takes no new work: its own word, its
   * refusal, or a peer's word.
   * @param peer - the process
   * @returns whether that is news
   */
  leave(peer: Incarnation): boolean {
    return this.depart(peer);
  }

  /** How many departures are remembered. */
  get rememberedDepartures(): number {
    return this.departures.size;
  }

  /** Everyone known, one for each VM. */
  all(): readonly Member[] {
    this.members ??= this.join();
    return this.members;
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

  private join(): readonly Member[] {
    const current = new Map<VmName, Process>();
    for (const process of this.processes.values()) {
      const {vm} = process.identity;
      const known = current.get(vm);
      if (known === undefined || isLater(process, known)) {
        current.set(vm, process);
      }
    }
    const vms = new Set([...this.listings.keys(), ...current.keys()]);
    return [...vms].map(vm =>
      this.member(this.listings.get(vm), current.get(vm)),
    );
  }

  private member(
    listing: Listing | undefined,
    process: Process | undefined,
  ): Member {
    const shown = (process?.identity ?? listing?.vm) as Identity | ListedVm;
    const incarnation = process?.identity.incarnation;
    return {
      vm: shown.vm,
      availabilityZone: shown.availabilityZone,
      // The address that the list gives is the one that this VM can reach.
      address: listing?.vm.address ?? shown.address,
      role: shown.role,
      service: shown.service,
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
    const {leavingProcess} = listing;
    return leavingProcess === undefined || leavingProcess === incarnation;
  }

  private listOne(vm: ListedVm): Incarnation[] {
    const known = this.listings.get(vm.vm);
    if (vm.state === 'live' || known?.vm.state === 'leaving') {
      const leavingProcess =
        vm.state === 'live' ? undefined : known?.leavingProcess;
      this.listings.set(vm.vm, {vm, leavingProcess});
      return [];
    }
    const current = this.all().find(member => member.vm === vm.vm);
    // Only a change that was seen can be tied to a process.
    const wasLive = known?.vm.state === 'live' && current?.linked === true;
    const leavingProcess = wasLive ? current.incarnation : undefined;
    this.listings.set(vm.vm, {vm, leavingProcess});
    if (leavingProcess === undefined) return [];
    return this.depart(leavingProcess) ? [leavingProcess] : [];
  }

  private depart(process: Incarnation): boolean {
    this.members = undefined;
    return this.departures.add(
      process,
      known => this.processes.get(known)?.linked === true,
    );
  }

  private forget(now: Millis): void {
    for (const [incarnation, {identity, linked, since}] of this.processes) {
      if (linked || this.listings.has(identity.vm)) continue;
      if (now - since >= KEEP_UNLISTED) this.processes.delete(incarnation);
    }
    this.forgetReplaced();
  }

  /** Of the lost processes of a VM only the latest is of use. */
  private forgetReplaced(): void {
    const latest = new Map<VmName, Process>();
    for (const process of this.processes.values()) {
      if (process.linked) continue;
      const {vm} = process.identity;
      const known = latest.get(vm);
      if (known === undefined) {
        latest.set(vm, process);
        continue;
      }
      const [kept, dropped] = isLater(process, known)
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
