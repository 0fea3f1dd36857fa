import type {IncomingMessage, ServerResponse} from 'node:http';

import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

import {incarnation, serviceName} from '../../core/index.js';
import {promptPartId, requestId} from '../../direct/index.js';
import type {CrashReport} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {readBody} from '../shared/request_body.js';
import type {PeerChannel} from './peer_channel.js';

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
  /**
   * @param receive - merges a peer's reports; returns what the peer lacks
   * @param channel - channel to the other entries
   * @param logger - logs messages that cannot be read
   */
  constructor(
    private readonly receive: (
      reports: readonly CrashReport[],
    ) => readonly CrashReport[],
    private readonly channel: PeerChannel,
    private readonly logger: Logger,
  ) {}

  /**
   * Sends reports to all peers.
   * @param reports - the reports
   * @returns what the peers that responded knew beyond them
   */
  async publish(reports: readonly CrashReport[]): Promise<CrashReport[]> {
    const responses = await this.channel.broadcast(
      '/',
      encodeReports(reports),
      decodeReports,
    );
    return responses.flat();
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
}
