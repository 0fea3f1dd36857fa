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
import type {StateSnapshot} from './relay.js';
import {relayRole} from './relay_topology.js';
import type {RelayRole, RelayVm} from './relay_topology.js';
import type {TextCodec} from './state_codec.js';
import type {TextParser} from './text_parser.js';

/** How long a long-polling read of the log may stay open. */
const LONG_POLL_TIMEOUT: Millis = 10 * SECOND;
const MIN_READ_INTERVAL: Millis = 50;
const BACKOFF_BASE: Millis = 200;
const BACKOFF_CAP: Millis = 10 * SECOND;
/** Backoff of a process that reads the log only because no source responds. */
const NON_READER_BACKOFF_BASE: Millis = 2 * SECOND;
const NON_READER_BACKOFF_CAP: Millis = 30 * SECOND;
/** How long a new process waits for its sources before it reads the log. */
const SOURCE_GRACE_PERIOD: Millis = 2 * SECOND;
/** How long a new process compares the states of its peers before it serves. */
const SETTLING_PERIOD: Millis = SECOND;
/** A source without a link for this long is suspected and skipped... */
const UNLINKED_TIMEOUT: Millis = 4 * SECOND;
/** ...for this long. */
const SUSPICION_DURATION: Millis = 30 * SECOND;

/**
 * Configuration state machine of one process: follows the log or its peers,
 * relays the folded state and reports the version in force. It does no I/O:
 * methods receive the current time and return the effects to perform.
 */
export class ConfigurationNode {
  private readonly follower: LogFollower;
  private readonly relay: Relay;
  private readonly checkpoints: CheckpointPolicy;
  private readonly suspectedUntil = new Map<VmName, Millis>();
  private readonly unlinkedSince = new Map<VmName, Millis>();
  private role: RelayRole = {isReader: true, sources: [], fallbacks: []};
  private peers: ReadonlyMap<VmName, RelayPeer> = new Map();
  private effects: ConfigurationEffect[] = [];
  private activeVersion = 0;
  private dialledAddresses = '';
  private isReading = false;
  private nextReadAt: Millis;
  private failedReads = 0;
  private checkpointCount = 0;
  private malformedRecords = 0;
  private lastLogContactAt: Millis | undefined;
  private outageSince: Millis | undefined;
  private firstStateReceivedAt: Millis | undefined;

  /**
   * @param startedAt - current time
   * @param self - this process
   * @param chance - randomises retries and checkpoint writers
   * @param codec - compresses texts for peers
   * @param parser - validates texts
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
   * Returns the status for operators.
   * @param now - current time
   */
  status(now: Millis): ConfigurationStatus {
    const {history, hasGap} = this.follower;
    const {version, foldedTo, author} = history.folded;
    const followers: Record<string, Version> = {};
    for (const [peer, subscriber] of this.relay.followers) {
      followers[peer] = subscriber.version;
    }
    const logAge = this.logAge(now);
    return {
      version: this.activeVersion as Version,
      foldedVersion: version,
      foldedTo,
      author,
      malformedRecords: this.malformedRecords,
      blockedAt: history.blockedAt,
      gap: hasGap,
      reads: this.role.isReader,
      logAge: Number.isFinite(logAge) ? logAge : undefined,
      followers,
      lag: this.lagReason(),
    };
  }

  /**
   * Updates the known peers, the role of this process and its links.
   * @param now - current time
   * @param peers - the other VMs of the relay
   */
  updatePeers(now: Millis, peers: readonly RelayPeer[]): ConfigurationEffect[] {
    this.peers = new Map(peers.map(peer => [peer.vm, peer]));
    this.assignRole(now);
    this.dial(now);
    return this.takeEffects();
  }

  /**
   * Runs everything that is due; called a few times a second.
   * @param now - current time
   */
  tick(now: Millis): ConfigurationEffect[] {
    this.suspectUnlinked(now);
    this.dial(now);
    this.sendPulls(now);
    this.announce(now);
    this.startRead(now);
    this.writeCheckpoint(now);
    return this.takeEffects();
  }

  /**
   * Processes the response to a read of the log.
   * @param now - current time
   * @param page - the page that was read
   */
  onPage(now: Millis, page: LogPage): ConfigurationEffect[] {
    this.isReading = false;
    this.failedReads = 0;
    this.lastLogContactAt = now;
    if (this.outageSince !== undefined) {
      this.checkpoints.onRecovered(now - this.outageSince);
      this.outageSince = undefined;
    }
    const previousVersion = this.follower.history.folded.version;
    const report = this.follower.applyPage(page);
    this.handleReport(now, report);
    this.onFolded(now, previousVersion);
    this.startRead(now);
    return this.takeEffects();
  }

  /**
   * Records a failed read and schedules the retry.
   * @param now - current time
   */
  onReadFailed(now: Millis): ConfigurationEffect[] {
    this.isReading = false;
    this.outageSince ??= now;
    const {isReader} = this.role;
    const base = isReader ? BACKOFF_BASE : NON_READER_BACKOFF_BASE;
    const cap = isReader ? BACKOFF_CAP : NON_READER_BACKOFF_CAP;
    this.nextReadAt = now + this.chance.backoff(this.failedReads, base, cap);
    this.failedReads += 1;
    return this.takeEffects();
  }

  /** Records an append without a response. */
  onAppendFailed(): void {
    this.checkpoints.onAppendFailed();
  }

  /**
   * Processes a message of a peer.
   * @param now - current time
   * @param from - the peer
   * @param message - the message
   */
  onMessage(
    now: Millis,
    from: Incarnation,
    message: ConfigurationMessage,
  ): ConfigurationEffect[] {
    if (message.type === 'configuration_pull') {
      const answer = this.relay.answerPull(
        now,
        from,
        message,
        this.snapshot(now),
      );
      this.effects.push({type: 'send', to: from, message: answer});
      return this.takeEffects();
    }
    const {history} = this.follower;
    const previousVersion = history.folded.version;
    const result = this.relay.onState(now, from, message, history.folded);
    if (result.retryPull !== undefined) {
      this.effects.push({type: 'send', to: from, message: result.retryPull});
    }
    if (result.state !== undefined && !this.follower.adopt(result.state)) {
      this.effects.push({type: 'contradiction', from});
    }
    if (message.version > 0) this.firstStateReceivedAt ??= now;
    this.onFolded(now, previousVersion);
    return this.takeEffects();
  }

  /** Returns the peers that this process pulls from or that pull from it. */
  relayPeers(): Incarnation[] {
    const {sources, fallbacks} = this.role;
    const linked = this.linkedPeers([...sources, ...fallbacks]);
    return [...new Set([...linked, ...this.relay.followers.keys()])];
  }

  private takeEffects(): ConfigurationEffect[] {
    const {effects} = this;
    this.effects = [];
    return effects;
  }

  private handleReport(now: Millis, report: PageReport): void {
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
      this.checkpoints.onCheckpoint(now, at, checkpoint.foldedTo);
    }
    if (report.restored) {
      this.effects.push({type: 'restored', foldedTo: folded.foldedTo});
    }
  }

  private onFolded(now: Millis, previousVersion: Version): void {
    const {folded} = this.follower.history;
    this.relay.onFolded(folded);
    if (folded.version > previousVersion) {
      for (const {to, message} of this.relay.publish(now, this.snapshot(now))) {
        this.effects.push({type: 'send', to, message});
      }
    }
    this.announce(now);
  }

  private announce(now: Millis): void {
    const {inForce} = this.follower.history;
    if (inForce === undefined || inForce.version <= this.activeVersion) return;
    if (this.activeVersion === 0 && !this.canServe(now)) return;
    this.activeVersion = inForce.version;
    this.effects.push({type: 'in_force', ...inForce});
  }

  /**
   * Returns whether the state is no older than the last one that this VM
   * served: a new process must not serve old versions while it catches up.
   */
  private canServe(now: Millis): boolean {
    if (this.follower.isCaughtUp) return true;
    if (this.firstStateReceivedAt === undefined) return false;
    return now - this.firstStateReceivedAt >= SETTLING_PERIOD;
  }

  private snapshot(now: Millis): StateSnapshot {
    const state = this.follower.history.folded;
    const logAge = Math.min(this.logAge(now), Number.MAX_SAFE_INTEGER);
    return {state, logAge};
  }

  private logAge(now: Millis): Millis {
    const peerContactAt = this.relay.lastLogContactAt(now) ?? -Infinity;
    return now - Math.max(peerContactAt, this.lastLogContactAt ?? -Infinity);
  }

  private lagReason(): string | undefined {
    const {history, hasGap} = this.follower;
    if (hasGap) return 'records expired before they were read';
    if (history.blockedAt !== undefined || history.isUnreadable) {
      return 'a text needs a newer program';
    }
    if (this.outageSince !== undefined) return 'the log does not answer';
    return undefined;
  }

  private assignRole(now: Millis): void {
    const available = [...this.peers.values()].filter(
      ({vm}) => (this.suspectedUntil.get(vm) ?? 0) <= now,
    );
    this.role = relayRole(this.self, available);
  }

  private dial(now: Millis): void {
    const wanted = this.vmsToLink(now).map(vm => this.peers.get(vm)?.address);
    const addresses = wanted.filter(address => address !== undefined).sort();
    if (addresses.join() === this.dialledAddresses) return;
    this.dialledAddresses = addresses.join();
    this.effects.push({type: 'dial', addresses: new Set(addresses)});
  }

  private vmsToLink(now: Millis): VmName[] {
    const {sources, fallbacks} = this.role;
    const isNew = now - this.startedAt < SOURCE_GRACE_PERIOD;
    const hasState = this.follower.history.folded.version > 0;
    const hasContact = this.relay.hasContact(now, this.linkedPeers(sources));
    if (isNew || (hasState && hasContact)) return [...sources];
    return [...sources, ...fallbacks];
  }

  private linkedPeers(vms: readonly VmName[]): Incarnation[] {
    return vms
      .map(vm => this.peers.get(vm)?.incarnation)
      .filter(incarnation => incarnation !== undefined);
  }

  private suspectUnlinked(now: Millis): void {
    const wanted = this.vmsToLink(now);
    let changed = false;
    for (const vm of this.unlinkedSince.keys()) {
      if (!wanted.includes(vm)) this.unlinkedSince.delete(vm);
    }
    for (const vm of wanted) {
      const since = this.unlinkedSince.get(vm) ?? now;
      if (this.linkedPeers([vm]).length > 0) this.unlinkedSince.delete(vm);
      else this.unlinkedSince.set(vm, since);
      if (now - since < UNLINKED_TIMEOUT) continue;
      if (!this.unlinkedSince.delete(vm)) continue;
      this.suspectedUntil.set(vm, now + SUSPICION_DURATION);
      changed = true;
    }
    for (const [vm, until] of this.suspectedUntil) {
      if (until > now) continue;
      this.suspectedUntil.delete(vm);
      changed = true;
    }
    if (changed) this.assignRole(now);
  }

  private sendPulls(now: Millis): void {
    const {folded} = this.follower.history;
    const sources = this.linkedPeers(this.vmsToLink(now));
    const canReadLog = this.role.isReader && this.outageSince === undefined;
    for (const pull of this.relay.takeDuePulls(
      now,
      sources,
      folded,
      canReadLog,
    )) {
      this.effects.push({type: 'send', ...pull});
    }
  }

  private startRead(now: Millis): void {
    if (this.isReading || now < this.nextReadAt) return;
    const isNew = now - this.startedAt < SOURCE_GRACE_PERIOD;
    const hasSource = isNew || this.relay.lastLogContactAt(now) !== undefined;
    if (!this.role.isReader && hasSource) return;
    this.isReading = true;
    this.nextReadAt = now + MIN_READ_INTERVAL;
    const from = this.follower.position;
    this.effects.push({type: 'read', from, wait: LONG_POLL_TIMEOUT});
  }

  private writeCheckpoint(now: Millis): void {
    const {logBounds, isCaughtUp, history} = this.follower;
    if (!this.role.isReader || logBounds === undefined || !isCaughtUp) return;
    if (this.outageSince !== undefined || logBounds.next === 0) return;
    const {foldedTo} = history.folded;
    if (!this.checkpoints.shouldAppend(now, {...logBounds, foldedTo})) return;
    this.checkpointCount += 1;
    const id = `${this.self.incarnation}/${this.checkpointCount}`;
    const record = history.checkpoint(recordId(id));
    this.effects.push({type: 'append', record});
  }
}
