import {Packr} from 'msgpackr';

import {ConfigurationNode} from '../../src/configuration/index.js';
import type {
  ConfigurationEffect,
  TextCodec,
  TextParser,
} from '../../src/configuration/index.js';
import {
  Chance,
  SECOND,
  availabilityZone,
  newIncarnation,
  vmName,
} from '../../src/core/index.js';
import type {Incarnation, Millis} from '../../src/core/index.js';
import {MemberTable} from '../../src/membership/index.js';
import type {Identity, ListedVm} from '../../src/membership/index.js';
import {FakeLog} from './fake_log.js';
import {Timeline} from './timeline.js';

const TICK_INTERVAL: Millis = 250;
const HEARTBEAT_TIMEOUT: Millis = 3 * SECOND;
const READ_TIMEOUT: Millis = 15 * SECOND;
const ZONE_LATENCY: Millis = 0.2;
const CROSS_ZONE_LATENCY: Millis = 1.5;
const PLATFORM_LATENCY: Millis = 2;
/** 2026-01-01, which gives incarnations a realistic timestamp. */
const EPOCH = 1_767_225_600_000;

/** Traffic counts of one process. */
export interface Traffic {
  messages: number;
  bytes: number;
  bytesAcrossZones: number;
  bytesFromLog: number;
}

/** Process with a configuration node. */
export interface Process {
  readonly identity: Identity;
  readonly node: ConfigurationNode;
  readonly table: MemberTable;
  readonly startedAt: Millis;
  readonly inForce: number[];
  readonly traffic: Traffic;
  paused: boolean;
  dead: boolean;
  wantedAddresses: ReadonlySet<string>;
  /** Callbacks deferred while the process is paused. */
  inbox: (() => void)[];
}

interface Link {
  readonly a: Process;
  readonly b: Process;
  lastSeenAt: Millis;
}

/** Size and options of the estate. */
export interface EstateParts {
  readonly zones: number;
  readonly perZone: number;
  readonly seed: number;
  readonly codec: TextCodec;
  /** Returns the parser for the process of a VM; undefined for the default. */
  readonly parser?: (index: number) => TextParser | undefined;
  /** Called when a version takes effect at a process. */
  readonly inForce?: (process: Process, version: number) => void;
  /** Whether nodes relay updates (default); otherwise each reads the log. */
  readonly relay?: boolean;
  /** Whether to count bytes, which encodes each message. */
  readonly counts?: boolean;
}

/** Configuration nodes on a fake network and a fake log, in virtual time. */
export class ControlEstate {
  readonly time = new Timeline();
  readonly log = new FakeLog();
  readonly slots: Process[] = [];
  logDown = false;
  /** Number of next appends that take effect but get no response. */
  loseAnswers = 0;
  /** Zones disconnected from the platform. */
  readonly cutFromPlatform = new Set<number>();
  /** Zones disconnected from all other zones. */
  readonly cutFromZones = new Set<number>();
  private readonly links = new Map<string, Link>();
  private readonly byAddress = new Map<string, Process>();
  private readonly byIncarnation = new Map<Incarnation, Process>();
  private readonly chance: Chance;
  private readonly packr = new Packr({useRecords: false});
  private startCount = 0;

  constructor(private readonly parts: EstateParts) {
    this.chance = new Chance(parts.seed);
    for (let i = 0; i < parts.zones * parts.perZone; i++) this.start(i);
  }

  get size(): number {
    return this.parts.zones * this.parts.perZone;
  }

  zoneOf(slot: number): number {
    return slot % this.parts.zones;
  }

  /** Kills the process of a VM and starts a new incarnation. */
  restart(slot: number): void {
    const old = this.slots[slot];
    if (old) old.dead = true;
    this.start(slot);
  }

  /** Kills the process of a VM, which stays in the platform's list. */
  kill(slot: number): void {
    this.slots[slot]!.dead = true;
  }

  pause(slot: number): void {
    this.slots[slot]!.paused = true;
  }

  resume(slot: number): void {
    const process = this.slots[slot]!;
    process.paused = false;
    for (const act of process.inbox.splice(0)) act();
  }

  heal(): void {
    this.logDown = false;
    this.cutFromPlatform.clear();
    this.cutFromZones.clear();
    for (let i = 0; i < this.size; i++) this.resume(i);
  }

  private start(slot: number): void {
    const vm = vmName(`vm-${slot}`);
    const zone = availabilityZone(`zone-${this.zoneOf(slot)}`);
    this.startCount += 1;
    const incarnation = newIncarnation(
      vm,
      EPOCH + Math.round(this.time.now),
      this.startCount.toString(16),
    );
    const identity: Identity = {
      incarnation,
      vm,
      availabilityZone: zone,
      role: 'sidecar',
      address: `10.0.0.${slot}:1`,
      program: 'test',
    };
    const seed = this.chance.between(1, 2 ** 30);
    const process: Process = {
      identity,
      node: new ConfigurationNode(
        this.time.now,
        identity,
        new Chance(seed),
        this.parts.codec,
        this.parts.parser?.(slot),
      ),
      table: new MemberTable(),
      startedAt: this.time.now,
      inForce: [],
      traffic: {messages: 0, bytes: 0, bytesAcrossZones: 0, bytesFromLog: 0},
      paused: false,
      dead: false,
      wantedAddresses: new Set(),
      inbox: [],
    };
    this.slots[slot] = process;
    this.byAddress.set(identity.address, process);
    this.byIncarnation.set(incarnation, process);
    this.time.after(0, () => this.deliverList(process));
    const phase = this.chance.fraction() * TICK_INTERVAL;
    this.time.after(phase, () => this.tick(process));
  }

  private list(): ListedVm[] {
    return Array.from({length: this.size}, (_, slot) => ({
      vm: vmName(`vm-${slot}`),
      availabilityZone: availabilityZone(`zone-${this.zoneOf(slot)}`),
      address: `10.0.0.${slot}:1`,
      state: 'live' as const,
      role: 'sidecar' as const,
    }));
  }

  /** Delivers the VM list, a separate service that survives log outages. */
  private deliverList(process: Process): void {
    if (process.dead) return;
    process.table.applyList(this.time.now, this.list());
    this.onMembersChanged(process);
  }

  private onMembersChanged(process: Process): void {
    const peers = process.table
      .all()
      .filter(({vm, leaving}) => vm !== process.identity.vm && !leaving)
      .map(({vm, availabilityZone, address, linked, incarnation}) => ({
        vm,
        availabilityZone,
        address,
        incarnation: linked ? incarnation : undefined,
      }));
    const {node} = process;
    const known = this.parts.relay === false ? [] : peers;
    this.perform(process, node.updatePeers(this.time.now, known));
  }

  private tick(process: Process): void {
    if (process.dead) return;
    this.time.after(TICK_INTERVAL, () => this.tick(process));
    if (process.paused) return;
    this.dialMissing(process);
    this.perform(process, process.node.tick(this.time.now));
  }

  private dialMissing(process: Process): void {
    for (const address of process.wantedAddresses) {
      const peer = this.byAddress.get(address);
      if (peer === undefined || !this.canReach(process, peer)) continue;
      const key = linkKey(process, peer);
      if (this.links.has(key)) continue;
      const link = {a: process, b: peer, lastSeenAt: this.time.now};
      this.links.set(key, link);
      this.linkUp(process, peer);
      this.linkUp(peer, process);
      this.time.after(SECOND, () => this.checkLink(key, link));
    }
  }

  private checkLink(key: string, link: Link): void {
    const {a, b} = link;
    if (this.canReach(a, b)) link.lastSeenAt = this.time.now;
    if (this.time.now - link.lastSeenAt < HEARTBEAT_TIMEOUT) {
      this.time.after(SECOND, () => this.checkLink(key, link));
      return;
    }
    this.links.delete(key);
    this.runWhenResumed(a, () => this.linkDown(a, b));
    this.runWhenResumed(b, () => this.linkDown(b, a));
  }

  private linkUp(process: Process, peer: Process): void {
    process.table.onLinkUp(this.time.now, peer.identity);
    this.onMembersChanged(process);
  }

  private linkDown(process: Process, peer: Process): void {
    process.table.onLinkDown(this.time.now, peer.identity.incarnation);
    this.onMembersChanged(process);
  }

  private canReach(a: Process, b: Process): boolean {
    if (a.dead || b.dead || a.paused || b.paused) return false;
    const [zoneA, zoneB] = [a, b].map(({identity}) => this.zone(identity));
    if (zoneA === zoneB) return true;
    return !this.cutFromZones.has(zoneA!) && !this.cutFromZones.has(zoneB!);
  }

  private zone(identity: Identity): number {
    return Number(identity.availabilityZone.slice('zone-'.length));
  }

  private canReachLog(process: Process): boolean {
    const zone = this.zone(process.identity);
    return !this.logDown && !this.cutFromPlatform.has(zone);
  }

  /** Runs a callback at a process now or when it resumes. */
  private runWhenResumed(process: Process, act: () => void): void {
    if (process.dead) return;
    if (process.paused) process.inbox.push(act);
    else act();
  }

  private perform(
    process: Process,
    effects: readonly ConfigurationEffect[],
  ): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'read':
          this.read(process, effect);
          break;
        case 'append':
          this.append(process, effect.record);
          break;
        case 'send':
          this.send(process, effect.to, effect.message);
          break;
        case 'dial':
          process.wantedAddresses = effect.addresses;
          break;
        case 'in_force':
          process.inForce.push(effect.version);
          this.parts.inForce?.(process, effect.version);
          break;
        default:
          break;
      }
    }
  }

  private read(
    process: Process,
    {from, wait}: {from: Parameters<FakeLog['page']>[0]; wait: Millis},
  ): void {
    const {time, log} = this;
    let open = true;
    const resolveRead = (act: () => void) => {
      if (!open) return;
      open = false;
      cancel();
      this.runWhenResumed(process, act);
    };
    const failed = () =>
      this.perform(process, process.node.onReadFailed(time.now));
    let cancel = () => {};
    if (!this.canReachLog(process)) {
      time.after(PLATFORM_LATENCY, () => resolveRead(failed));
      return;
    }
    const answer = (page: ReturnType<FakeLog['page']>) =>
      time.after(PLATFORM_LATENCY, () => {
        // The response is lost when the process is disconnected by now.
        if (!this.canReachLog(process)) return;
        if (open && !process.dead) {
          process.traffic.bytesFromLog += log.sizeOf(page);
        }
        resolveRead(() =>
          this.perform(process, process.node.onPage(time.now, page)),
        );
      });
    cancel = log.read(from, answer);
    time.after(wait, () => {
      if (open && this.canReachLog(process)) answer(log.page(from));
    });
    time.after(READ_TIMEOUT, () => resolveRead(failed));
  }

  private append(process: Process, record: object): void {
    const reached = this.canReachLog(process);
    if (reached) {
      this.time.after(PLATFORM_LATENCY, () => this.log.append(record));
    }
    if (reached && this.loseAnswers === 0) return;
    if (reached) this.loseAnswers -= 1;
    this.time.after(READ_TIMEOUT, () =>
      this.runWhenResumed(process, () => process.node.onAppendFailed()),
    );
  }

  private send(process: Process, to: Incarnation, message: object): void {
    const peer = this.byIncarnation.get(to);
    if (peer === undefined || !this.links.has(linkKey(process, peer))) return;
    const across =
      peer.identity.availabilityZone !== process.identity.availabilityZone;
    process.traffic.messages += 1;
    if (this.parts.counts) {
      const {length} = this.packr.pack(message);
      process.traffic.bytes += length;
      if (across) process.traffic.bytesAcrossZones += length;
    }
    this.time.after(across ? CROSS_ZONE_LATENCY : ZONE_LATENCY, () => {
      if (process.dead || !this.isPathOpen(process, peer)) return;
      this.runWhenResumed(peer, () =>
        this.perform(
          peer,
          peer.node.onMessage(
            this.time.now,
            process.identity.incarnation,
            message as Parameters<ConfigurationNode['onMessage']>[2],
          ),
        ),
      );
    });
  }

  /** Whether the network connects two processes, paused or not. */
  private isPathOpen(a: Process, b: Process): boolean {
    const [zoneA, zoneB] = [a, b].map(({identity}) => this.zone(identity));
    if (zoneA === zoneB) return true;
    return !this.cutFromZones.has(zoneA!) && !this.cutFromZones.has(zoneB!);
  }
}

function linkKey(a: Process, b: Process): string {
  const names = [a.identity.incarnation, b.identity.incarnation].sort();
  return names.join(' ');
}
