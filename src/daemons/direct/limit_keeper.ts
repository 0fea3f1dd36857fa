import type {IncomingMessage, ServerResponse} from 'node:http';

import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

import {SECOND, incarnation} from '../../core/index.js';
import type {Clock, Incarnation, Millis} from '../../core/index.js';
import type {
  LimitReport,
  RequestRate,
  UpstreamLimits,
} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import {readBody} from '../shared/request_body.js';
import type {PeerChannel} from './peer_channel.js';

/** Path of the messages at the other entries. */
export const LIMITS_PATH = '/limits';
/**
 * Time after which a limit that is still named is told again, for entries that
 * missed it or have started since.
 */
const REPEAT_INTERVAL: Millis = 2 * SECOND;
/** Size limit of a message; a report takes about 60 bytes. */
const MAX_MESSAGE_BYTES = 64 * 2 ** 10;
const OK = 200;
const BAD_REQUEST = 400;

const reportsSchema = z.array(
  z.object({
    upstream: z.string().transform(incarnation),
    rate: z.number().nonnegative().optional(),
    age: z.number().nonnegative(),
  }),
);

/** Source of a limit in the log. */
type LimitSource = 'answer' | 'peer';

/**
 * Keeps the limits that upstreams name in step with the other entries: an entry
 * that learns of a limit, its change or its end tells the others directly, so
 * that not each of them has to send the upstream a request to learn it.
 */
export class LimitKeeper {
  private readonly changes;
  /** Times at which the entries last told each other of a limit. */
  private readonly spreadAt = new Map<Incarnation, Millis>();

  /**
   * @param limits - the limits
   * @param channel - channel to the other entries
   * @param clock - the clock
   * @param logger - logs changes
   * @param metrics - counts changes
   */
  constructor(
    private readonly limits: UpstreamLimits,
    private readonly channel: PeerChannel,
    private readonly clock: Clock,
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    this.changes = metrics.counter(
      'baobabspan_upstream_limit_changes_total',
      'Changes of the limits that upstreams name, by change and source',
      ['change', 'source'],
    );
  }

  /**
   * Applies what the head of a response says of the upstream's limit.
   * @param upstream - the upstream
   * @param sentAt - time at which the request was sent
   * @param rate - the limit that it names, if any
   */
  applyResponse(
    upstream: Incarnation,
    sentAt: Millis,
    rate: RequestRate | undefined,
  ): void {
    const now = this.clock.now();
    const isChanged =
      rate === undefined
        ? this.limits.recordUnnamed(now, upstream, sentAt)
        : this.limits.recordNamed(now, this.clock.wall(), upstream, rate);
    if (isChanged) this.record(upstream, 'answer');
    const spreadAt = this.spreadAt.get(upstream) ?? -Infinity;
    const isDue = rate !== undefined && now - spreadAt >= REPEAT_INTERVAL;
    if (!isChanged && !isDue) return;
    this.recordSpread(now, upstream, rate);
    const report: LimitReport = {upstream, rate, age: 0};
    void this.channel.broadcast(LIMITS_PATH, pack([report]), () => OK);
  }

  /**
   * Handles a message of another entry.
   * @param req - the HTTP request
   * @param res - its response
   */
  async handleMessage(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    res.on('error', err => {
      this.logger.debug('limit_answer_not_taken', {err: describeError(err)});
    });
    const body = await readBody(req, MAX_MESSAGE_BYTES);
    try {
      const reports = reportsSchema.parse(unpack(body._unsafeUnwrap()));
      reports.forEach(({upstream, rate, age}) =>
        this.merge({upstream, rate, age}),
      );
      res.writeHead(OK, {'content-length': 0}).end();
    } catch (thrown) {
      const reason = describeError(thrown);
      this.logger.warn('limit_reports_unreadable', {reason});
      res.writeHead(BAD_REQUEST, {'content-length': 0}).end();
    }
  }

  private merge(report: LimitReport): void {
    const {clock, limits} = this;
    this.recordSpread(clock.now(), report.upstream, report.rate);
    if (!limits.merge(clock.now(), clock.wall(), report)) return;
    this.record(report.upstream, 'peer');
  }

  private recordSpread(
    now: Millis,
    upstream: Incarnation,
    rate: RequestRate | undefined,
  ): void {
    if (rate === undefined) this.spreadAt.delete(upstream);
    else this.spreadAt.set(upstream, now);
  }

  private record(upstream: Incarnation, source: LimitSource): void {
    const rate = this.limits.rateOf(upstream);
    const change = rate === undefined ? 'ended' : 'named';
    this.changes.inc({change, source});
    this.logger.info('upstream_limit', {upstream, change, rate, source});
  }
}
