import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {pack, unpack} from 'msgpackr';
import {ResultAsync, okAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import {z} from 'zod';

import {KeyedStore, withTimeout} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import type {Clock, Millis, Offset, VmName} from '../../core/index.js';
import {SECOND, offset} from '../../core/index.js';
import {RelayBuffer, ZoneReaderSelector} from '../../direct/index.js';
import type {RelayResponse, ZoneReader} from '../../direct/index.js';
import {Fault, asFault, describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {splitAddress} from './attempt.js';
import {DependencyHealth} from './dependency_health.js';

/**
 * Maximum wait of a listener's long poll, as a fraction of the staleness bound
 * of its topic.
 */
const LONG_POLL_FRACTION = 0.2;
/** Maximum wait of a relay's own read, as a fraction of the bound. */
const READ_WAIT_FRACTION = 0.25;
/** Time between a relay's reads of a busy topic, as a fraction of the bound. */
const READ_SPACING_FRACTION = 0.4;
/** Additional tolerance for the age of a relay's contact with the store. */
const CONTACT_SLACK: Millis = 300;
/** Time for a response beyond the wait that was requested. */
const RESPONSE_TIMEOUT: Millis = 400;
/** A topic without polls for this time is read for this entry only. */
const LISTENER_TTL: Millis = 5 * SECOND;
const MAX_CONNECTIONS = 4;
const OK = 200;
const NO_CONTENT = 204;
const UNAVAILABLE = 503;

const querySchema = z.object({
  topic: z.string(),
  from: z.coerce.number().int().nonnegative(),
  wait: z.coerce.number().nonnegative().max(30_000),
});
const responseSchema = z.object({
  next: z.int().nonnegative(),
  records: z.array(
    z.tuple([z.string(), z.int(), z.instanceof(Uint8Array).nullable()]),
  ),
});

/** Long poll of a listener, which receives one response. */
class LongPoll {
  private timer: NodeJS.Timeout | undefined;
  private isResponded = false;

  /**
   * @param from - offset from which it reads
   * @param res - the HTTP response
   */
  constructor(
    readonly from: Offset,
    private readonly res: ServerResponse,
  ) {}

  /**
   * Starts the timeout of the poll.
   * @param wait - the timeout
   * @param onTimeout - called at the timeout unless it was responded to
   */
  startTimeout(wait: Millis, onTimeout: () => void): void {
    this.timer = setTimeout(onTimeout, wait);
  }

  /**
   * Responds, unless that was done already.
   * @param response - the response
   */
  respond(response: RelayResponse): void {
    this.cancelTimeout();
    if (this.isResponded) return;
    this.isResponded = true;
    writeResponse(this.res, response);
  }

  /** Cancels the timeout, as when the listener has disconnected. */
  cancelTimeout(): void {
    clearTimeout(this.timer);
  }
}

interface TopicState {
  readonly buffer: RelayBuffer;
  readonly polls: Set<LongPoll>;
  lastPolledAt: Millis;
}

/**
 * Client of the platform's store that reads through a relay: one entry reads
 * for its zone. Each entry keeps its own table and falls back to the store
 * itself if the relay does not respond, cannot reach the store or lacks the
 * requested records; applied records are never reverted. This limits the load
 * of a hundred entries that each follow four topics.
 */
export class ZoneStore extends KeyedStore {
  private readonly topics = new Map<string, TopicState>();
  private readonly readers: ZoneReaderSelector;
  private readonly relayHealth: DependencyHealth;
  private readonly server: Server;
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connectTimeout: RESPONSE_TIMEOUT,
  });

  /**
   * @param store - the store itself
   * @param vm - this entry
   * @param bounds - staleness bound of each topic
   * @param clock - the clock
   * @param logger - logs outages of the relay
   * @param onMessage - called with messages of other entries
   */
  constructor(
    private readonly store: KeyedStore,
    vm: VmName,
    private readonly bounds: ReadonlyMap<string, Millis>,
    private readonly clock: Clock,
    private readonly logger: Logger,
    onMessage?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    super();
    this.readers = new ZoneReaderSelector(vm);
    this.relayHealth = new DependencyHealth('relay', clock, logger);
    this.server = createServer((req, res) => {
      if (req.method === 'POST' && onMessage !== undefined) onMessage(req, res);
      else this.handle(req, res);
    });
  }

  /**
   * Starts relaying.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    this.server.listen({host, port});
    await once(this.server, 'listening');
  }

  /** Stops relaying. */
  async close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    await this.agent.destroy();
  }

  /**
   * Replaces the entries of the zone.
   * @param entries - all entries, including this one
   */
  setEntries(entries: readonly ZoneReader[]): void {
    this.readers.setEntries(entries);
  }

  list(topic: string): ResultAsync<KeyedListing, Fault> {
    return this.store.list(topic);
  }

  put(
    topic: string,
    key: string,
    value: Uint8Array,
  ): ResultAsync<Offset, Fault> {
    return this.store.put(topic, key, value);
  }

  read(
    topic: string,
    from: Offset,
    wait: Millis,
  ): ResultAsync<KeyedPage, Fault> {
    const bound = this.bounds.get(topic);
    const now = this.clock.now();
    const reader = this.readers.current(now);
    if (bound === undefined || reader === undefined) {
      return this.readStore(topic, from, wait);
    }
    // Entries that poll this one must not be polled by it.
    if (this.hasListeners(now, topic)) return this.readStore(topic, from, wait);
    const readWait = Math.min(wait, bound * LONG_POLL_FRACTION);
    return this.queryRelay(reader, topic, from, readWait).andThen(page =>
      page === undefined
        ? this.readStore(topic, from, wait)
        : okAsync<KeyedPage, Fault>(page),
    );
  }

  private readStore(
    topic: string,
    from: Offset,
    wait: Millis,
  ): ResultAsync<KeyedPage, Fault> {
    const bound = this.bounds.get(topic);
    const hasListeners = this.hasListeners(this.clock.now(), topic);
    if (bound === undefined) return this.store.read(topic, from, wait);
    const readWait = hasListeners
      ? Math.min(wait, bound * READ_WAIT_FRACTION)
      : wait;
    return this.store.read(topic, from, readWait).map(page => {
      if (page.kind !== 'records') return page;
      const {buffer} = this.topicOf(topic);
      buffer.append(this.clock.now(), from, page.records, page.next);
      this.respondToPolls(topic);
      if (!hasListeners) return page;
      const isBusy = page.records.length > 0;
      return {...page, spacing: isBusy ? bound * READ_SPACING_FRACTION : 0};
    });
  }

  /** Queries the relay; undefined if the store has to be read instead. */
  private queryRelay(
    {name, relay}: ZoneReader,
    topic: string,
    from: Offset,
    wait: Millis,
  ): ResultAsync<KeyedPage | undefined, Fault> {
    const query = new URLSearchParams({
      topic,
      from: `${from}`,
      wait: `${wait}`,
    });
    const page = withTimeout(wait + RESPONSE_TIMEOUT, async signal => {
      const res = await request(`http://${relay}/?${query}`, {
        dispatcher: this.agent,
        signal,
      });
      const bytes = Buffer.from(await res.body.arrayBuffer());
      this.relayHealth.recordSuccess();
      if (res.statusCode === NO_CONTENT) {
        return {kind: 'records' as const, records: [], next: from, spacing: 0};
      }
      if (res.statusCode !== OK) return undefined;
      const {next, records} = responseSchema.parse(unpack(bytes));
      return {
        kind: 'records' as const,
        relayedBy: name,
        records: records.map(([key, at, value]) => ({
          key,
          offset: offset(at),
          value: value ?? undefined,
        })),
        next: offset(next),
        spacing: 0,
      };
    });
    return ResultAsync.fromPromise(page, thrown =>
      asFault(thrown, 'store_unavailable'),
    ).orElse(fault => {
      this.readers.recordFailure(this.clock.now(), name);
      this.relayHealth.recordFailure(`${name}: ${fault.message}`);
      return okAsync<KeyedPage | undefined, Fault>(undefined);
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const [, query = ''] = (req.url ?? '').split('?', 2);
    const params = new URLSearchParams(query);
    const parsed = querySchema.safeParse(Object.fromEntries(params));
    const {topic: name = '', from = 0, wait = 0} = parsed.data ?? {};
    const bound = this.bounds.get(name);
    if (!parsed.success || bound === undefined) {
      res.writeHead(UNAVAILABLE).end();
      return;
    }
    const topic = this.topicOf(name);
    topic.lastPolledAt = this.clock.now();
    res.on('error', err => {
      this.logger.debug('relay_answer_not_taken', {err: describeError(err)});
    });
    const poll = new LongPoll(offset(from), res);
    if (this.tryRespond(name, poll)) return;
    topic.polls.add(poll);
    poll.startTimeout(wait, () => {
      topic.polls.delete(poll);
      this.tryRespond(name, poll, true);
    });
    res.once('close', () => {
      poll.cancelTimeout();
      topic.polls.delete(poll);
    });
  }

  /** Responds to a poll if there are records, or if it has timed out. */
  private tryRespond(name: string, poll: LongPoll, isLast = false): boolean {
    const {buffer} = this.topicOf(name);
    const maxAge =
      (this.bounds.get(name) ?? 0) * READ_SPACING_FRACTION + CONTACT_SLACK;
    const response = buffer.read(this.clock.now(), poll.from, maxAge);
    if (response.kind === 'nothing' && !isLast) return false;
    poll.respond(response);
    return true;
  }

  private respondToPolls(name: string): void {
    const {polls} = this.topicOf(name);
    for (const poll of [...polls]) {
      if (this.tryRespond(name, poll)) polls.delete(poll);
    }
  }

  private hasListeners(now: Millis, name: string): boolean {
    const {lastPolledAt} = this.topicOf(name);
    return now - lastPolledAt <= LISTENER_TTL;
  }

  private topicOf(name: string): TopicState {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {
        buffer: new RelayBuffer(),
        polls: new Set(),
        lastPolledAt: -Infinity,
      };
      this.topics.set(name, topic);
    }
    return topic;
  }
}

function writeResponse(res: ServerResponse, response: RelayResponse): void {
  switch (response.kind) {
    case 'nothing':
      res.writeHead(NO_CONTENT).end();
      return;
    case 'unavailable':
      res.writeHead(UNAVAILABLE).end();
      return;
    case 'records': {
      const records = response.records.map(({key, offset: at, value}) => [
        key,
        at,
        value ?? null,
      ]);
      const body = pack({next: response.next, records});
      res.writeHead(OK, {'content-length': body.length}).end(body);
    }
  }
}
