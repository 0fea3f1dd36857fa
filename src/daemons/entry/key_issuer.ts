import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {KEY_WINDOW, issueKey} from '../../calls/index.js';
import type {ServiceName} from '../../core/index.js';
import {Fault, asFault} from '../../errors/index.js';
import type {Member} from '../../membership/index.js';
import type {DaemonContext} from '../shared/context.js';
import type {AnswerWriter} from './answer_writer.js';
import {readBody} from '../shared/request_body.js';
import {identify} from './request_parser.js';
import type {ConfigurationInForce} from './types.js';

const KEYS_PATH = '/baobabspan/keys';
const MAX_BODY_BYTES = 4_096;
const RANDOM_BYTES = 12;
const CREATED = 201;

/** An issued idempotency key; names the sidecar that stores it. */
export interface IssuedKey {
  readonly key: string;
  readonly service: ServiceName;
  /** When the key expires, ms since 1970. */
  readonly expiresAt: number;
}

/** Services of the entry that a key request uses. */
interface KeyServices {
  inForce(): ConfigurationInForce | undefined;
  isAccepting(): boolean;
  issueKey(service: string): Result<IssuedKey, Fault>;
}

/**
 * Issues a key that a sidecar of the service stores, own zone preferred.
 * @param context - state shared by the daemon's tasks
 * @param members - all known members
 * @param service - the service that the key is for
 * @returns the key, or `no_upstream`
 */
export function issueServiceKey(
  {clock, chance, self}: DaemonContext,
  members: readonly Member[],
  service: string,
): Result<IssuedKey, Fault> {
  const available = members.filter(
    member => member.service === service && member.linked && !member.leaving,
  );
  const sameZone = available.filter(
    ({availabilityZone}) => availabilityZone === self.availabilityZone,
  );
  const candidates = sameZone.length > 0 ? sameZone : available;
  const sidecar = candidates.length > 0 ? chance.pick(candidates) : undefined;
  if (sidecar?.incarnation === undefined || sidecar.service === undefined) {
    return err(new Fault('no_upstream'));
  }
  const wall = clock.wall();
  const random = randomBytes(RANDOM_BYTES).toString('hex');
  const key = issueKey(wall, sidecar.incarnation, random);
  return ok({key, service: sidecar.service, expiresAt: wall + KEY_WINDOW});
}

/**
 * Returns whether a request is for an idempotency key.
 * @param req - the request
 */
export function isKeyRequest(req: IncomingMessage): boolean {
  return req.method === 'POST' && req.url === KEYS_PATH;
}

/**
 * Answers a request for an idempotency key.
 * @param req - the request, whose body names the service
 * @param res - its response
 * @param writer - writes rejections
 * @param services - services of the entry
 */
export async function answerKeyRequest(
  req: IncomingMessage,
  res: ServerResponse,
  writer: AnswerWriter,
  services: KeyServices,
): Promise<void> {
  const service = await requestedService(req, services).catch(
    (thrown): Result<string, Fault> => err(asFault(thrown, 'bad_request')),
  );
  const issued = service.andThen(name => services.issueKey(name));
  if (issued.isErr()) return writer.reject(issued.error);
  res.statusCode = CREATED;
  res.setHeader('content-type', 'application/json');
  res.end(`${JSON.stringify(issued.value)}\n`);
}

async function requestedService(
  req: IncomingMessage,
  services: KeyServices,
): Promise<Result<string, Fault>> {
  const inForce = services.inForce();
  if (!services.isAccepting()) return err(new Fault('draining'));
  if (inForce === undefined) return err(new Fault('no_configuration'));
  const organisation = identify(req, inForce);
  if (organisation.isErr()) return err(organisation.error);
  const body = await readBody(req, MAX_BODY_BYTES);
  if (body.isErr()) return err(body.error);
  const {service} = JSON.parse(body.value.toString('utf8')) as {
    service?: unknown;
  };
  if (typeof service !== 'string' || !(service in inForce.cfg.services)) {
    return err(new Fault('unknown_service'));
  }
  return ok(service);
}
