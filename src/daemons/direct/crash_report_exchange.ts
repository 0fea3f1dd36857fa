import type {IncomingMessage, ServerResponse} from 'node:http';

import {pack, unpack} from 'msgpackr';
import {Agent, request} from 'undici';
import {z} from 'zod';

import {withTimeout} from '../../clients/index.js';
import {incarnation, serviceName} from '../../core/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {promptPartId, requestId} from '../../direct/index.js';
import type {CrashReport} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {readBody} from '../shared/request_body.js';
import {DependencyHealth} from './dependency_health.js';

/** A peer that does not respond for this long learns from the store instead. */
const RESPONSE_TIMEOUT: Millis = 400;
/** Size limit of a message; a report takes about 200 bytes. */
const MAX_MESSAGE_BYTES = 256 * 2 ** 10;
const OK = 200;
const BAD_REQUEST = 400;

const parts = z.array(z.string().transform(promptPartId));
const reportSchema = z.object({
  service: z.string().transform(serviceName),
  upstream: z.string().transform(incarnation),
  request: z.string().transform(requestId),
  at: z.number(),
  suspects: parts,
  isKnown: z.boolean(),
  cleared: parts,
});
const reportsSchema = z.array(reportSchema);

/**
 * Encodes crash reports, for peers and for the store.
 * @param reports - the reports
 */
export function encodeReports(reports: readonly CrashReport[]): Buffer {
  return pack(reports);
}

/**
 * Decodes crash reports.
 * @param bytes - encoded reports
 * @throws Error if they have another format
 */
export function decodeReports(bytes: Uint8Array): CrashReport[] {
  return reportsSchema.parse(unpack(bytes));
}

/** Sends crash reports to the other entries directly, and receives theirs. */
export class CrashReportExchange {
  private readonly agent = new Agent({
    connections: 1,
    pipelining: 1,
    connectTimeout: RESPONSE_TIMEOUT,
  });
  private readonly health = new Map<string, DependencyHealth>();
  private peers: readonly string[] = [];

  /**
   * @param receive - merges a peer's reports; returns what the peer lacks
   * @param clock - the clock
   * @param logger - logs peers that do not respond
   */
  constructor(
    private readonly receive: (
      reports: readonly CrashReport[],
    ) => readonly CrashReport[],
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Closes the connections to peers. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /**
   * Replaces the peers.
   * @param peers - `host:port` of each other entry
   */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
    for (const peer of this.health.keys()) {
      if (!peers.includes(peer)) this.health.delete(peer);
    }
  }

  /**
   * Sends reports to all peers.
   * @param reports - the reports
   * @returns what the peers that responded knew beyond them
   */
  async publish(reports: readonly CrashReport[]): Promise<CrashReport[]> {
    const body = encodeReports(reports);
    const responses = await Promise.all(
      this.peers.map(peer => this.send(peer, body)),
    );
    return responses.flat();
  }

  private async send(peer: string, body: Buffer): Promise<CrashReport[]> {
    const health = this.healthOf(peer);
    try {
      const reports = await withTimeout(RESPONSE_TIMEOUT, async signal => {
        const res = await request(`http://${peer}/`, {
          method: 'POST',
          body,
          dispatcher: this.agent,
          signal,
        });
        return decodeReports(Buffer.from(await res.body.arrayBuffer()));
      });
      health.recordSuccess();
      return reports;
    } catch (thrown) {
      health.recordFailure(describeError(thrown));
      return [];
    }
  }

  /**
   * Handles a message of a peer.
   * @param req - the HTTP request
   * @param res - its response
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.on('error', err => {
      this.logger.debug('report_answer_not_taken', {err: describeError(err)});
    });
    const body = await readBody(req, MAX_MESSAGE_BYTES);
    try {
      const reports = decodeReports(body._unsafeUnwrap());
      const answer = encodeReports(this.receive(reports));
      res.writeHead(OK, {'content-length': answer.length}).end(answer);
    } catch (thrown) {
      this.logger.warn('crash_reports_unreadable', {
        reason: describeError(thrown),
      });
      res.writeHead(BAD_REQUEST, {'content-length': 0}).end();
    }
  }

  private healthOf(peer: string): DependencyHealth {
    let health = this.health.get(peer);
    if (health === undefined) {
      health = new DependencyHealth('peer', this.clock, this.logger, {peer});
      this.health.set(peer, health);
    }
    return health;
  }
}
