import {SECOND, recordId} from '../core/index.js';
import type {
  Chance,
  Incarnation,
  LogPage,
  Millis,
  Version,
  VmName,
} from '../core/index.js';
import {CheckpointPolicy} from './checkpoint_policy.js';
import {LogFollower} from './log_follower.js';
import type {PageReport} from './log_follower.js';
import type {
  ConfigurationEffect,
  ConfigurationStatus,
  RelayPeer,
} from './node_types.js';
import type {ConfigurationMessage} from './messages.js';
import {Relay} from './relay.js';
import type {RelayView} from './relay.js';
import {relayRole} from './relay_topology.js';
import type {RelayRole, RelayVm} from './relay_topology.js';
import type {TextCodec} from './state_codec.js';
import type {TextParser} from './text_parser.js';

/** How long the log may hold a read open. */
const LONG_POLL: Millis = 10 * SECOND;
const LEAST_BETWEEN_READS: Millis = 50;
const BACKOFF_BASE: Millis = 200;
const BACKOFF_CAP: Millis = 10 * SECOND;
/** A process that reads for want of sources tries no more often than this. */
const RELUCTANT_BACKOFF_BASE: Millis = 2 * SECOND;
const RELUCTANT_BACKOFF_CAP: Millis = 30 * SECOND;
/** A new process gives its sources this long before it reads the log. */
const GRACE: Millis = 2 * SECOND;
/** A new process compares what peers say this long before it serves. */
const SETTLE: Millis = SECOND;
/** A source that cannot be linked this long is passed over... */
const SUSPECT_AFTER: Millis = 4 * SECOND;
/** ...for this long. */
const SUSPECT_FOR: Millis = 30 * SECOND;

/**
 * The configuration at one process: follows the log or its peers, passes on
 * what it has, and tells what is in force. It does no I/O: each method takes
 * the present time and returns what is to be done.
 */
export class ConfigurationNode {
  private readonly follower: LogFollower;
  private readonly relay: Relay;
  private readonly checkpoints: CheckpointPolicy;
  private readonly suspects = new Map<VmName, Millis>();
  private readonly unlinkedSince = new Map<VmName, Millis>();
  private role: RelayRole = {reads: true, sources: [], fallbacks: []};
  private peers: ReadonlyMap<VmName, RelayPeer> = new Map();
  private effects: ConfigurationEffect[] = [];
  private announced = 0;
  private dialled = '';
  private reading = false;
  private nextReadAt: Millis;
  private failures = 0;
  private checkpointsMade = 0;
  private malformedRecords = 0;
  private logHeardAt: Millis | undefined;
  private outageSince: Millis | undefined;
  private firstStateAt: Millis | undefined;

  /**
   * @param startedAt - present time
   * @param self - this process
   * @param chance - spreads retries and writers
   * @param codec - compresses texts for peers
   * @param parser - judges texts
   */
  constructor(
    private readonly startedAt: Millis,
    private readonly self: RelayVm & {readonly incarnation: Incarnation},
    private readonly chance: Chance,
    codec: TextCodec,
    parser?: TextParser,
  ) {
    this.follower = new LogFollower(parser);
    this.relay = new Relay(codec);
    this.checkpoints = new CheckpointPolicy(chance);
    this.nextReadAt = startedAt;
  }

  /**
   * What an operator sees.
   * @param now - present time
   */
  status(now: Millis): ConfigurationStatus {
    const {history, hasGap} = this.follower;
    const {version, foldedTo, author} = history.folded;
    const followers: Record<string, Version> = {};
    for (const [peer, told] of this.relay.followers) {
      followers[peer] = told.version;
    }
    const logAge = this.logAge(now);
    return {
      version: this.announced as Version,
      foldedVersion: version,
      foldedTo,
      author,
      malformedRecords: this.malformedRecords,
      blockedAt: history.blockedAt,
      gap: hasGap,
      reads: this.role.reads,
      logAge: Number.isFinite(logAge) ? logAge : undefined,
      followers,
      lag: this.lag(),
    };
  }

  /**
   * Takes in who is there.
   * @param now - present time
   * @param peers - the other VMs that take part
   */
  members(now: Millis, peers: readonly RelayPeer[]): ConfigurationEffect[] {
    this.peers = new Map(peers.map(peer => [peer.vm, peer]));
    this.assignRole(now);
    this.dial(now);
    return this.drain();
  }

  /**
   * Does what time asks for; called a few times a second.
   * @param now - present time
   */
  tick(now: Millis): ConfigurationEffect[] {
    this.suspectUnlinked(now);
    this.dial(now);
    this.pull(now);
    this.announce(now);
    this.read(now);
    this.writeCheckpoint(now);
    return this.drain();
  }

  /**
   * The log answered a read.
   * @param now - present time
   * @param page - its answer
   */
  page(now: Millis, page: LogPage): ConfigurationEffect[] {
    this.reading = false;
    this.failures = 0;
    this.logHeardAt = now;
    if (this.outageSince !== undefined) {
      this.checkpoints.recovered(now - this.outageSince);
      this.outageSince = undefined;
    }
    const before = this.follower.history.folded.version;
    const report = this.follower.take(page);
    this.report(now, report);
    this.changed(now, before);
    this.read(now);
    return this.drain();
  }

  /**
   * A read brought no answer.
   * @param now - present time
   */
  readFailed(now: Millis): ConfigurationEffect[] {
    this.reading = false;
    this.outageSince ??= now;
    const {reads} = this.role;
    const base = reads ? BACKOFF_BASE : RELUCTANT_BACKOFF_BASE;
    const cap = reads ? BACKOFF_CAP : RELUCTANT_BACKOFF_CAP;
    this.nextReadAt = now + this.chance.backoff(this.failures, base, cap);
    this.failures += 1;
    return this.drain();
  }

  /** An append brought no answer. */
  appendFailed(): void {
    this.checkpoints.failed();
  }

  /**
   * A peer sent something.
   * @param now - present time
   * @param from - the peer
   * @param message - what it sent
   */
  message(
    now: Millis,
    from: Incarnation,
    message: ConfigurationMessage,
  ): ConfigurationEffect[] {
    if (message.type === 'configuration_pull') {
      const answer = this.relay.answer(now, from, message, this.view(now));
      this.effects.push({type: 'send', to: from, message: answer});
      return this.drain();
    }
    const {history} = this.follower;
    const before = history.folded.version;
    const heard = this.relay.heard(now, from, message, history.folded);
    if (heard.again !== undefined) {
      this.effects.push({type: 'send', to: from, message: heard.again});
    }
    if (heard.state !== undefined && !this.follower.adopt(heard.state)) {
      this.effects.push({type: 'contradiction', from});
    }
    if (message.version > 0) this.firstStateAt ??= now;
    this.changed(now, before);
    return this.drain();
  }

  /** Peers that this process pulls from or that pull from it. */
  relayPeers(): Incarnation[] {
    const {sources, fallbacks} = this.role;
    const linked = this.linked([...sources, ...fallbacks]);
    return [...new Set([...linked, ...this.relay.followers.keys()])];
  }

  private drain(): ConfigurationEffect[] {
    const {effects} = this;
    this.effects = [];
    return effects;
  }

  private report(now: Millis, report: PageReport): void {
    for (const {id, verdict} of report.verdicts) {
      this.effects.push({type: 'judged', id, verdict});
    }
    for (const offset of report.malformed) {
      this.malformedRecords += 1;
      this.effects.push({type: 'malformed', offset});
    }
    const {folded} = this.follower.history;
    for (const {at, checkpoint} of report.checkpoints) {
      if (checkpoint.foldedTo >= at) continue;
      if (checkpoint.version > folded.version) continue;
      this.checkpoints.seen(now, at, checkpoint.foldedTo);
    }
    if (report.restored) {
      this.effects.push({type: 'restored', foldedTo: folded.foldedTo});
    }
  }

  private changed(now: Millis, before: Version): void {
    const {folded} = this.follower.history;
    this.relay.folded(folded);
    if (folded.version > before) {
      for (const {to, message} of this.relay.publish(now, this.view(now))) {
        this.effects.push({type: 'send', to, message});
      }
    }
    this.announce(now);
  }

  private announce(now: Millis): void {
    const {inForce} = this.follower.history;
    if (inForce === undefined || inForce.version <= this.announced) return;
    if (this.announced === 0 && !this.mayServe(now)) return;
    this.announced = inForce.version;
    this.effects.push({type: 'in_force', ...inForce});
  }

  /**
   * Whether the state is no older than what this VM served before: a new
   * process must not pass through old versions while it catches up.
   */
  private mayServe(now: Millis): boolean {
    if (this.follower.caughtUp) return true;
    if (this.firstStateAt === undefined) return false;
    return now - this.firstStateAt >= SETTLE;
  }

  private view(now: Millis): RelayView {
    const state = this.follower.history.folded;
    const logAge = Math.min(this.logAge(now), Number.MAX_SAFE_INTEGER);
    return {state, logAge};
  }

  private logAge(now: Millis): Millis {
    const heard = this.relay.logHeardAt(now) ?? -Infinity;
    return now - Math.max(heard, this.logHeardAt ?? -Infinity);
  }

  private lag(): string | undefined {
    const {history, hasGap} = this.follower;
    if (hasGap) return 'records expired before they were read';
    if (history.blockedAt !== undefined || history.unreadable) {
      return 'a text needs a newer program';
    }
    if (this.outageSince !== undefined) return 'the log does not answer';
    return undefined;
  }

  private assignRole(now: Millis): void {
    const there = [...this.peers.values()].filter(
      ({vm}) => (this.suspects.get(vm) ?? 0) <= now,
    );
    this.role = relayRole(this.self, there);
  }

  private dial(now: Millis): void {
    const wanted = this.wantedVms(now).map(vm => this.peers.get(vm)?.address);
    const addresses = wanted.filter(address => address !== undefined).sort();
    if (addresses.join() === this.dialled) return;
    this.dialled = addresses.join();
    this.effects.push({type: 'dial', addresses: new Set(addresses)});
  }

  private wantedVms(now: Millis): VmName[] {
    const {sources, fallbacks} = this.role;
    const isNew = now - this.startedAt < GRACE;
    const hasState = this.follower.history.folded.version > 0;
    const hears = this.relay.hears(now, this.linked(sources));
    if (isNew || (hasState && hears)) return [...sources];
    return [...sources, ...fallbacks];
  }

  private linked(vms: readonly VmName[]): Incarnation[] {
    return vms
      .map(vm => this.peers.get(vm)?.incarnation)
      .filter(incarnation => incarnation !== undefined);
  }

  private suspectUnlinked(now: Millis): void {
    const wanted = this.wantedVms(now);
    let changed = false;
    for (const vm of this.unlinkedSince.keys()) {
      if (!wanted.includes(vm)) this.unlinkedSince.delete(vm);
    }
    for (const vm of wanted) {
      const since = this.unlinkedSince.get(vm) ?? now;
      if (this.linked([vm]).length > 0) this.unlinkedSince.delete(vm);
      else this.unlinkedSince.set(vm, since);
      if (now - since < SUSPECT_AFTER) continue;
      if (!this.unlinkedSince.delete(vm)) continue;
      this.suspects.set(vm, now + SUSPECT_FOR);
      changed = true;
    }
    for (const [vm, until] of this.suspects) {
      if (until > now) continue;
      this.suspects.delete(vm);
      changed = true;
    }
    if (changed) this.assignRole(now);
  }

  private pull(now: Millis): void {
    const {folded} = this.follower.history;
    const sources = this.linked(this.wantedVms(now));
    const reads = this.role.reads && this.outageSince === undefined;
    for (const pull of this.relay.pulls(now, sources, folded, reads)) {
      this.effects.push({type: 'send', ...pull});
    }
  }

  private read(now: Millis): void {
    if (this.reading || now < this.nextReadAt) return;
    const isNew = now - this.startedAt < GRACE;
    const isTold = isNew || this.relay.logHeardAt(now) !== undefined;
    if (!this.role.reads && isTold) return;
    this.reading = true;
    this.nextReadAt = now + LEAST_BETWEEN_READS;
    const from = this.follower.position;
    this.effects.push({type: 'read', from, wait: LONG_POLL});
  }

  private writeCheckpoint(now: Millis): void {
    const {window, caughtUp, history} = this.follower;
    if (!this.role.reads || window === undefined || !caughtUp) return;
    if (this.outageSince !== undefined || window.next === 0) return;
    const {foldedTo} = history.folded;
    if (!this.checkpoints.due(now, {...window, foldedTo})) return;
    this.checkpointsMade += 1;
    const id = `${this.self.incarnation}/${this.checkpointsMade}`;
    const record = history.checkpoint(recordId(id));
    this.effects.push({type: 'append', record});
  }
}
