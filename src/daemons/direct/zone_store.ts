import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {pack, unpack} from 'msgpackr';
import {ResultAsync, okAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import {z} from 'zod';

import {KeyedStore, withinTime} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import type {Clock, Millis, Offset, VmName} from '../../core/index.js';
import {SECOND, offset} from '../../core/index.js';
import {RelayBuffer, ZoneReaderSelector} from '../../direct/index.js';
import type {RelayResponse, ZoneReader} from '../../direct/index.js';
import {Fault, asFault, describe} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {splitAddress} from './attempt.js';
import {Contact} from './contact.js';

/**
 * Parts of the time within which news must be in force: a listener's question
 * waits this long,
 */
const LISTEN_PART = 0.2;
/** a relay's own read waits this long, */
const READ_PART = 0.25;
/** and a relay reads a topic that always has news this often. */
const SPACING_PART = 0.4;
/** What a relay's contact with the store may be late besides. */
const CONTACT_SLACK: Millis = 300;
/** Time for an answer beyond what it waits by itself. */
const ANSWER_WITHIN: Millis = 400;
/** A topic that nobody has asked for this long is read for this entry only. */
const LISTENED_FOR: Millis = 5 * SECOND;
const CONNECTIONS = 4;
const OK = 200;
const NOTHING = 204;
const UNAVAILABLE = 503;

const question = z.object({
  topic: z.string(),
  from: z.coerce.number().int().nonnegative(),
  wait: z.coerce.number().nonnegative().max(30_000),
});
const answered = z.object({
  next: z.int().nonnegative(),
  records: z.array(
    z.tuple([z.string(), z.int(), z.instanceof(Uint8Array).nullable()]),
  ),
});

/** A listener whose question waits for news; it is answered once. */
class Waiting {
  private timer: NodeJS.Timeout | undefined;
  private isAnswered = false;

  /**
   * @param from - offset that it reads from
   * @param res - takes the answer
   */
  constructor(
    readonly from: Offset,
    private readonly res: ServerResponse,
  ) {}

  /**
   * Waits for news.
   * @param wait - how long
   * @param isOver - called at the end of that time, unless it was answered
   */
  waitFor(wait: Millis, isOver: () => void): void {
    this.timer = setTimeout(isOver, wait);
  }

  /**
   * Answers, unless that was done.
   * @param said - the answer
   */
  answer(said: RelayResponse): void {
    this.stop();
    if (this.isAnswered) return;
    this.isAnswered = true;
    writeAnswer(this.res, said);
  }

  /** Ends the wait without an answer: the listener has gone. */
  stop(): void {
    clearTimeout(this.timer);
  }
}

interface Topic {
  readonly buffer: RelayBuffer;
  readonly waiting: Set<Waiting>;
  listenedAt: Millis;
}

/**
 * The platform's store, read by one entry for all of its zone. Each entry
 * holds its own view and falls back to the store itself whenever the relay
 * does not answer, has lost the store or lacks what is asked for; what it has
 * learnt is never taken back. Load that it answers: a hundred entries that
 * each follow four topics.
 */
export class ZoneStore extends KeyedStore {
  private readonly topics = new Map<string, Topic>();
  private readonly readers: ZoneReaderSelector;
  private readonly contact: Contact;
  private readonly server: Server;
  private readonly agent = new Agent({
    connections: CONNECTIONS,
    pipelining: 1,
    connectTimeout: ANSWER_WITHIN,
  });

  /**
   * @param store - the store itself
   * @param vm - this entry
   * @param bounds - for each topic how soon news must be in force
   * @param clock - tells the time
   * @param logger - for a relay that is lost or regained
   */
  constructor(
    private readonly store: KeyedStore,
    vm: VmName,
    private readonly bounds: ReadonlyMap<string, Millis>,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.readers = new ZoneReaderSelector(vm);
    this.contact = new Contact('relay', clock, logger);
    this.server = createServer((req, res) => this.take(req, res));
  }

  /**
   * Starts to relay.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    this.server.listen({host, port});
    await once(this.server, 'listening');
  }

  /** Stops to relay. */
  async close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    await this.agent.destroy();
  }

  /**
   * The entries of the zone are known anew.
   * @param entries - all of them
   */
  know(entries: readonly ZoneReader[]): void {
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
    // Others listen to this entry: it must not listen to one of them.
    if (this.isListenedTo(now, topic)) return this.readStore(topic, from, wait);
    const patience = Math.min(wait, bound * LISTEN_PART);
    return this.ask(reader, topic, from, patience).andThen(page =>
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
    const isListenedTo = this.isListenedTo(this.clock.now(), topic);
    if (bound === undefined) return this.store.read(topic, from, wait);
    const patience = isListenedTo ? Math.min(wait, bound * READ_PART) : wait;
    return this.store.read(topic, from, patience).map(page => {
      if (page.kind !== 'records') return page;
      const {buffer} = this.topicOf(topic);
      buffer.append(this.clock.now(), from, page.records, page.next);
      this.tellListeners(topic);
      if (!isListenedTo) return page;
      const isBusy = page.records.length > 0;
      return {...page, spacing: isBusy ? bound * SPACING_PART : 0};
    });
  }

  /** Asks the relay; nothing when the store has to be read instead. */
  private ask(
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
    const asked = withinTime(wait + ANSWER_WITHIN, async signal => {
      const res = await request(`http://${relay}/?${query}`, {
        dispatcher: this.agent,
        signal,
      });
      const bytes = Buffer.from(await res.body.arrayBuffer());
      this.contact.regained();
      if (res.statusCode === NOTHING) {
        return {kind: 'records' as const, records: [], next: from, spacing: 0};
      }
      if (res.statusCode !== OK) return undefined;
      const {next, records} = answered.parse(unpack(bytes));
      return {
        kind: 'records' as const,
        records: records.map(([key, at, value]) => ({
          key,
          offset: offset(at),
          value: value ?? undefined,
        })),
        next: offset(next),
        spacing: 0,
      };
    });
    return ResultAsync.fromPromise(asked, thrown =>
      asFault(thrown, 'store_unavailable'),
    ).orElse(fault => {
      this.readers.recordFailure(this.clock.now(), name);
      this.contact.lost(`${name}: ${fault.message}`);
      return okAsync<KeyedPage | undefined, Fault>(undefined);
    });
  }

  private take(req: IncomingMessage, res: ServerResponse): void {
    const [, query = ''] = (req.url ?? '').split('?', 2);
    const params = new URLSearchParams(query);
    const asked = question.safeParse(Object.fromEntries(params));
    const {topic: name = '', from = 0, wait = 0} = asked.data ?? {};
    const bound = this.bounds.get(name);
    if (!asked.success || bound === undefined) {
      res.writeHead(UNAVAILABLE).end();
      return;
    }
    const topic = this.topicOf(name);
    topic.listenedAt = this.clock.now();
    res.on('error', err => {
      this.logger.debug('relay_answer_not_taken', {err: describe(err)});
    });
    const listener = new Waiting(offset(from), res);
    if (this.answer(name, listener)) return;
    topic.waiting.add(listener);
    listener.waitFor(wait, () => {
      topic.waiting.delete(listener);
      this.answer(name, listener, true);
    });
    res.once('close', () => {
      listener.stop();
      topic.waiting.delete(listener);
    });
  }

  /** Answers a listener if there is anything to say; always at the end. */
  private answer(name: string, listener: Waiting, isLast = false): boolean {
    const {buffer} = this.topicOf(name);
    const within = (this.bounds.get(name) ?? 0) * SPACING_PART + CONTACT_SLACK;
    const said = buffer.read(this.clock.now(), listener.from, within);
    if (said.kind === 'nothing' && !isLast) return false;
    listener.answer(said);
    return true;
  }

  private tellListeners(name: string): void {
    const {waiting} = this.topicOf(name);
    for (const listener of [...waiting]) {
      if (this.answer(name, listener)) waiting.delete(listener);
    }
  }

  private isListenedTo(now: Millis, name: string): boolean {
    const {listenedAt} = this.topicOf(name);
    return now - listenedAt <= LISTENED_FOR;
  }

  private topicOf(name: string): Topic {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {
        buffer: new RelayBuffer(),
        waiting: new Set(),
        listenedAt: -Infinity,
      };
      this.topics.set(name, topic);
    }
    return topic;
  }
}

function writeAnswer(res: ServerResponse, said: RelayResponse): void {
  switch (said.kind) {
    case 'nothing':
      res.writeHead(NOTHING).end();
      return;
    case 'unavailable':
      res.writeHead(UNAVAILABLE).end();
      return;
    case 'records': {
      const records = said.records.map(({key, offset: at, value}) => [
        key,
        at,
        value ?? null,
      ]);
      const body = pack({next: said.next, records});
      res.writeHead(OK, {'content-length': body.length}).end(body);
    }
  }
}
