import type {IncomingMessage, ServerResponse} from 'node:http';

import {unpack} from 'msgpackr';
import {ResultAsync, err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {Agent, request} from 'undici';
import {z} from 'zod';

import {
  KeyedStore,
  MAX_PAGE_BYTES,
  readBounded,
  withTimeout,
} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import type {
  Clock,
  Era,
  LogPosition,
  Millis,
  VmName,
} from '../../core/index.js';
import {era, offset} from '../../core/index.js';
import {RelaySelector, nextReadStep, peerSpacing} from '../../direct/index.js';
import type {
  ReadSource,
  ReadStep,
  TopicTiming,
  RelayEntry,
} from '../../direct/index.js';
import {Fault, asFault} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {DependencyHealth} from './dependency_health.js';
import {
  AGE_HEADER,
  ERA_HEADER,
  MISS_HEADER,
  RelayServer,
} from './relay_server.js';

/** Connect timeout of a relay. */
const CONNECT_TIMEOUT: Millis = 400;
const OK = 200;
const NO_CONTENT = 204;
const UNAVAILABLE = 503;

const responseSchema = z.object({
  next: z.int().nonnegative(),
  records: z.array(
    z.tuple([z.string(), z.int(), z.instanceof(Uint8Array).nullable()]),
  ),
});

/** Records of a topic and the time as of which there were no further ones. */
interface RelayedPage {
  readonly page: KeyedPage & {kind: 'records' | 'listing'};
  readonly contactAt: Millis;
}

/** Topic and position of a read. */
interface ReadPosition {
  readonly topic: string;
  readonly from: LogPosition;
  /** Maximum wait that the caller requests. */
  readonly wait: Millis;
}

/**
 * Client of the platform's store that reads through other entries as well: one
 * entry reads for its zone, and an entry that the store turns away or does not
 * respond to reads from peers. Each entry keeps its own table, so applied
 * records are never reverted. The relay limits the load of a hundred entries
 * that each follow several topics.
 */
export class ZoneStore extends KeyedStore {
  private readonly server: RelayServer;
  private readonly selector: RelaySelector;
  private readonly relayHealth: DependencyHealth;
  /** Number of consecutive failed reads of the store, by topic. */
  private readonly storeFailures = new Map<string, number>();
  private readonly agent: Agent;

  /**
   * @param store - the store itself
   * @param vm - this entry
   * @param timings - timing of each topic that is read through other entries
   * @param clock - the clock
   * @param logger - logs outages of the store and the relay
   * @param onMessage - called with messages of other entries
   */
  constructor(
    private readonly store: KeyedStore,
    vm: VmName,
    private readonly timings: ReadonlyMap<string, TopicTiming>,
    private readonly clock: Clock,
    private readonly logger: Logger,
    onMessage?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    super();
    this.selector = new RelaySelector(vm);
    this.agent = new Agent({
      // A long poll occupies its connection.
      connections: Math.max(1, timings.size),
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT,
    });
    this.relayHealth = new DependencyHealth('relay', clock, logger);
    this.server = new RelayServer(timings, clock, logger, onMessage);
  }

  /**
   * Starts relaying.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    await this.server.listen(address);
  }

  /** Stops relaying. */
  async close(): Promise<void> {
    this.server.close();
    await this.agent.destroy();
  }

  /**
   * Replaces the entries.
   * @param entries - all entries of the estate, including this one
   * @param isInZone - whether an entry is in the zone of this one
   */
  setEntries(
    entries: readonly RelayEntry[],
    isInZone: (entry: RelayEntry) => boolean,
  ): void {
    this.selector.setEntries(entries, isInZone);
  }

  override onRecordsLost(listener: () => void): void {
    this.store.onRecordsLost(listener);
  }

  list(topic: string): ResultAsync<KeyedListing, Fault> {
    return this.store.list(topic).map(listing => {
      const {records, startedAt} = listing;
      this.server.bufferOf(topic)?.replace(records, startedAt);
      this.server.respondToPolls(topic);
      return listing;
    });
  }

  put(
    topic: string,
    key: string,
    value: Uint8Array,
  ): ResultAsync<LogPosition, Fault> {
    return this.store.put(topic, key, value);
  }

  read(
    topic: string,
    from: LogPosition,
    wait: Millis,
  ): ResultAsync<KeyedPage, Fault> {
    const timing = this.timings.get(topic);
    if (timing === undefined) return this.store.read(topic, from, wait);
    return new ResultAsync(this.readThrough({topic, from, wait}, timing));
  }

  /** Tries the sources in turn until one responds. */
  private async readThrough(
    position: ReadPosition,
    timing: TopicTiming,
  ): Promise<Result<KeyedPage, Fault>> {
    const {topic, wait} = position;
    const tried: ReadSource[] = [];
    let fault: Fault | undefined;
    for (;;) {
      const now = this.clock.now();
      const hasListeners = this.server.hasListeners(now, topic);
      const step = nextReadStep(now, timing, {
        contactAt: this.contactAt(topic),
        wait,
        hasListeners,
        // Entries that poll this one must not be polled by it.
        relay: hasListeners ? undefined : this.selector.relay(now),
        peers: this.selector.peers(now),
        storeFailures: this.storeFailures.get(topic) ?? 0,
        tried,
      });
      if (step === undefined) {
        return err(fault ?? new Fault('store_unavailable'));
      }
      tried.push(step.source);
      const page =
        step.source.kind === 'store'
          ? await this.readStore(position, step, timing)
          : await this.readEntry(position, step, step.source.entry, timing);
      if (page.isOk()) return page;
      // The failure of the store is the one to report.
      if (fault === undefined || step.source.kind === 'store') {
        fault = page.error;
      }
    }
  }

  private async readStore(
    {topic, from}: ReadPosition,
    {wait, timeout}: ReadStep,
    {busySpacing}: TopicTiming,
  ): Promise<Result<KeyedPage, Fault>> {
    const read = await this.store.read(topic, from, wait, timeout - wait);
    if (read.isErr()) {
      const failures = this.storeFailures.get(topic) ?? 0;
      this.storeFailures.set(topic, failures + 1);
      const reason = read.error.message;
      if (failures === 0)
        this.logger.warn('store_unreachable', {topic, reason});
      return read;
    }
    if (this.storeFailures.delete(topic)) {
      this.logger.info('store_reachable', {topic});
    }
    if (read.value.kind === 'expired')
      return this.listExpired(topic, from, read.value.era);
    if (read.value.kind !== 'records') return read;
    const now = this.clock.now();
    this.append(topic, from, {page: read.value, contactAt: now});
    if (!this.server.hasListeners(now, topic)) return read;
    const isBusy = read.value.records.length > 0;
    return ok({...read.value, spacing: isBusy ? busySpacing : 0});
  }

  /**
   * Lists a topic whose position the store no longer has. If the store does not
   * respond, peers may have a listing of its era.
   */
  private async listExpired(
    topic: string,
    {offset: from, era: before}: LogPosition,
    era: Era,
  ): Promise<Result<KeyedPage, Fault>> {
    this.logger.warn('topic_history_expired', {topic, from, before, era});
    const listing = await this.list(topic);
    return listing.map(page => ({
      ...page,
      kind: 'listing',
      relayedBy: 'listing',
    }));
  }

  private async readEntry(
    position: ReadPosition,
    step: ReadStep,
    entry: RelayEntry,
    timing: TopicTiming,
  ): Promise<Result<KeyedPage, Fault>> {
    const {topic, from} = position;
    const isPeer = step.source.kind === 'peer';
    const read = await this.query(entry, position, step);
    if (read.isErr()) return err(read.error);
    const {page, contactAt} = read.value;
    const isNewer =
      page.kind === 'listing' ||
      page.records.length > 0 ||
      contactAt > this.contactAt(topic);
    // Two entries without the store must not take each other for it.
    if (isPeer && !isNewer) {
      return err(new Fault('store_unavailable', `${entry.name} is no newer`));
    }
    this.append(topic, from, read.value);
    if (!isPeer) return ok(page);
    this.selector.recordResponse(entry.name);
    if (page.kind === 'listing') return ok(page);
    return ok({...page, spacing: peerSpacing(timing)});
  }

  private query(
    {name, relay}: RelayEntry,
    {topic, from}: ReadPosition,
    {source, wait, timeout}: ReadStep,
  ): ResultAsync<RelayedPage, Fault> {
    const query = new URLSearchParams({
      topic,
      from: `${from.offset}`,
      wait: `${wait}`,
      ...(from.era > 0 ? {era: `${from.era}`} : {}),
      ...(source.kind === 'peer' ? {as: 'peer'} : {}),
    });
    const response = withTimeout(timeout, async signal => {
      const res = await request(`http://${relay}/?${query}`, {
        dispatcher: this.agent,
        signal,
      });
      const body = await readBounded(res.body, MAX_PAGE_BYTES);
      const {statusCode: status, headers} = res;
      const age = Number(headers[AGE_HEADER] ?? Infinity);
      const its = era(Number(headers[ERA_HEADER] ?? 0));
      if (status === NO_CONTENT)
        return {age, era: its, next: from.offset, records: []};
      if (status === OK)
        return {age, era: its, ...responseSchema.parse(unpack(body))};
      if (status !== UNAVAILABLE)
        throw new Error(`responded with status ${status}`);
      return {miss: `${String(headers[MISS_HEADER])}`};
    });
    return ResultAsync.fromPromise(response, thrown => {
      this.selector.recordFailure(this.clock.now(), name);
      const fault = asFault(thrown, 'store_unavailable');
      this.relayHealth.recordFailure(`${name}: ${fault.message}`);
      return fault;
    }).andThen((read): Result<RelayedPage, Fault> => {
      this.relayHealth.recordSuccess();
      const now = this.clock.now();
      if ('miss' in read) {
        if (read.miss === 'stale') this.selector.recordStale(now, name);
        return err(new Fault('store_unavailable', `${name}: ${read.miss}`));
      }
      // An entry that does not send its era answers for the first one.
      if (!(read.era >= from.era)) {
        return err(new Fault('store_unavailable', `${name}: earlier era`));
      }
      const contactAt = now - read.age;
      const positionOf = (at: number) => ({era: read.era, offset: offset(at)});
      const records = read.records.map(([key, at, value]) => ({
        key,
        position: positionOf(at),
        value: value ?? undefined,
      }));
      const next = positionOf(read.next);
      const relayedBy = name;
      return ok({
        page:
          read.era > from.era
            ? {kind: 'listing', relayedBy, records, startedAt: next}
            : {kind: 'records', relayedBy, records, next, spacing: 0},
        contactAt,
      });
    });
  }

  private append(
    topic: string,
    from: LogPosition,
    {page, contactAt}: RelayedPage,
  ): void {
    const buffer = this.server.bufferOf(topic);
    if (page.kind === 'listing') buffer?.replace(page.records, page.startedAt);
    else buffer?.append(contactAt, from, page.records, page.next);
    this.server.respondToPolls(topic);
  }

  private contactAt(topic: string): Millis {
    return this.server.bufferOf(topic)?.contactAt ?? -Infinity;
  }
}
