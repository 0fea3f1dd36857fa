import type {IncomingMessage, ServerResponse} from 'node:http';

import {pack} from 'msgpackr';
import {z} from 'zod';

import type {Clock, LogPosition, Millis} from '../../core/index.js';
import {SECOND, era, offset} from '../../core/index.js';
import {RelayBuffer, maxRelayAge} from '../../direct/index.js';
import type {RelayResponse, TopicTiming} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {ControlServer} from '../shared/control_server.js';
import {splitAddress} from './attempt.js';

/** Header with the age of the relay's contact with the store, ms. */
export const AGE_HEADER = 'contact-age';
/** Header with the era of the records. */
export const ERA_HEADER = 'log-era';
/** Header with the reason why the relay cannot respond. */
export const MISS_HEADER = 'relay-miss';
/** A topic without polls for this time is read for this entry only. */
const LISTENER_TTL: Millis = 5 * SECOND;
const OK = 200;
const NO_CONTENT = 204;
const UNAVAILABLE = 503;

const querySchema = z.object({
  topic: z.string(),
  from: z.coerce.number().int().nonnegative(),
  /** Era of that offset. */
  era: z.coerce.number().int().nonnegative().default(0),
  wait: z.coerce.number().nonnegative().max(30_000),
  /** Whether the sender polls regularly, or only while it lacks the store. */
  as: z.enum(['listener', 'peer']).default('listener'),
});

/** Long poll of a listener, which receives one response. */
class LongPoll {
  private timer: NodeJS.Timeout | undefined;
  private isResponded = false;

  /**
   * @param from - position from which it reads
   * @param isPeer - whether it comes from a peer that lacks the store
   * @param res - the HTTP response
   */
  constructor(
    readonly from: LogPosition,
    readonly isPeer: boolean,
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
  readonly timing: TopicTiming;
  readonly buffer: RelayBuffer;
  readonly polls: Set<LongPoll>;
  lastPolledAt: Millis;
}

/**
 * Serves the topics that this entry follows to other entries: to the listeners
 * of its zone, and to entries that have lost the store.
 */
export class RelayServer {
  private readonly topics: ReadonlyMap<string, TopicState>;
  private readonly server: ControlServer;

  /**
   * @param timings - timing of each topic
   * @param clock - the clock
   * @param logger - logs responses that could not be sent
   * @param onMessage - called with messages of other entries
   */
  constructor(
    timings: ReadonlyMap<string, TopicTiming>,
    private readonly clock: Clock,
    private readonly logger: Logger,
    onMessage?: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    this.topics = new Map(
      [...timings].map(([name, timing]) => [
        name,
        {
          timing,
          buffer: new RelayBuffer(),
          polls: new Set<LongPoll>(),
          lastPolledAt: -Infinity,
        },
      ]),
    );
    this.server = new ControlServer({clock, logger}, (req, res) => {
      if (req.method === 'POST' && onMessage !== undefined) onMessage(req, res);
      else this.handle(req, res);
    });
  }

  /**
   * Starts listening.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    await this.server.listen(host, port);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    void this.server.close();
  }

  /**
   * Returns the buffer of a topic.
   * @param name - the topic
   * @returns undefined if the topic is not served
   */
  bufferOf(name: string): RelayBuffer | undefined {
    return this.topics.get(name)?.buffer;
  }

  /**
   * Responds to the polls that a topic's buffer now has records for.
   * @param name - the topic
   */
  respondToPolls(name: string): void {
    const topic = this.topics.get(name);
    if (topic === undefined) return;
    for (const poll of [...topic.polls]) {
      if (this.tryRespond(topic, poll)) topic.polls.delete(poll);
    }
  }

  /**
   * Returns whether other entries read a topic through this one.
   * @param now - current time
   * @param name - the topic
   */
  hasListeners(now: Millis, name: string): boolean {
    const {lastPolledAt = -Infinity} = this.topics.get(name) ?? {};
    return now - lastPolledAt <= LISTENER_TTL;
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const [, query = ''] = (req.url ?? '').split('?', 2);
    const params = new URLSearchParams(query);
    const parsed = querySchema.safeParse(Object.fromEntries(params));
    const topic = this.topics.get(parsed.data?.topic ?? '');
    if (!parsed.success || topic === undefined) {
      res.writeHead(UNAVAILABLE).end();
      return;
    }
    const {wait, as, ...start} = parsed.data;
    const from = {era: era(start.era), offset: offset(start.from)};
    if (as === 'listener') topic.lastPolledAt = this.clock.now();
    res.on('error', err => {
      this.logger.debug('relay_answer_not_taken', {err: describeError(err)});
    });
    const poll = new LongPoll(from, as === 'peer', res);
    if (this.tryRespond(topic, poll, wait === 0)) return;
    topic.polls.add(poll);
    poll.startTimeout(wait, () => {
      topic.polls.delete(poll);
      this.tryRespond(topic, poll, true);
    });
    res.once('close', () => {
      poll.cancelTimeout();
      topic.polls.delete(poll);
    });
  }

  /** Responds to a poll if there are records, or if it has timed out. */
  private tryRespond(
    {buffer, timing}: TopicState,
    poll: LongPoll,
    isLast = false,
  ): boolean {
    const maxAge = maxRelayAge(timing);
    const limits = poll.isPeer ? {maxAge, maxBytes: Infinity} : {maxAge};
    const response = buffer.read(this.clock.now(), poll.from, limits);
    if (response.kind === 'nothing' && !isLast) return false;
    poll.respond(response);
    return true;
  }
}

function writeResponse(res: ServerResponse, response: RelayResponse): void {
  if (response.kind === 'unavailable') {
    res.writeHead(UNAVAILABLE, {[MISS_HEADER]: response.reason}).end();
    return;
  }
  const headers = {
    [AGE_HEADER]: `${Math.round(response.age)}`,
    [ERA_HEADER]: `${response.era}`,
  };
  if (response.kind === 'nothing') {
    res.writeHead(NO_CONTENT, headers).end();
    return;
  }
  const records = response.records.map(({key, position, value}) => [
    key,
    position.offset,
    value ?? null,
  ]);
  const body = pack({next: response.next.offset, records});
  res.writeHead(OK, {...headers, 'content-length': body.length}).end(body);
}
