import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {NamedOrganisation} from '../../admission/index.js';
import {
  isCompletion,
  parseKey,
  resolveCompletion,
  resolvePlain,
} from '../../calls/index.js';
import {CALLER_SERVICE_HEADER} from '../../calls/index.js';
import type {CallKey, CallRequest, ResolvedRequest} from '../../calls/index.js';
import {PRIORITIES} from '../../configuration/index.js';
import type {Priority} from '../../configuration/index.js';
import {HOP_BY_HOP_HEADERS, serviceName} from '../../core/index.js';
import type {CallId, Millis, ServiceName} from '../../core/index.js';
import {Fault, describeError} from '../../errors/index.js';
import {estimateWork} from './request_work.js';
import type {ConfigurationInForce} from './types.js';

/** Headers that are not forwarded. */
const STRIPPED_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  'authorization',
  'content-length',
  'expect',
  'host',
]);

const KEY_HEADER = 'idempotency-key';
const BEARER = /^Bearer +(\S+)$/i;

/**
 * Identifies the organisation of a request.
 * @param req - the request
 * @param inForce - the configuration in force
 * @returns the organisation, or `unauthorized`
 */
export function identify(
  req: IncomingMessage,
  {cfg, organisations}: ConfigurationInForce,
): Result<NamedOrganisation, Fault> {
  const header = cfg.organisationHeader?.toLowerCase();
  const headerValue = header === undefined ? undefined : req.headers[header];
  const [, token] = BEARER.exec(req.headers.authorization ?? '') ?? [];
  const found =
    typeof headerValue === 'string'
      ? organisations.findByName(headerValue)
      : organisations.findByToken(token ?? '');
  return found ? ok(found) : err(new Fault('unauthorized'));
}

/**
 * Resolves the service and route of a request by its head.
 * @param req - the request
 * @param inForce - the configuration in force
 * @returns undefined for a completion, whose body names the service
 */
export function resolveHead(
  req: IncomingMessage,
  {cfg}: ConfigurationInForce,
): Result<ResolvedRequest | undefined, Fault> {
  const path = req.url ?? '/';
  if (!isCompletion(path)) return resolvePlain(cfg, req.method ?? '', path);
  if (req.method !== 'POST') return err(new Fault('not_found', 'use POST'));
  return ok(undefined);
}

/**
 * Resolves the service and route of a request by the configuration.
 * @param req - the request
 * @param body - body of the request
 * @param inForce - the configuration in force
 */
export function resolveRequest(
  req: IncomingMessage,
  body: Buffer,
  inForce: ConfigurationInForce,
): Result<ResolvedRequest, Fault> {
  const {url: path = '/'} = req;
  const head = resolveHead(req, inForce);
  if (head.isErr()) return err(head.error);
  if (head.value !== undefined) return ok(head.value);
  return parseModel(body).andThen(model =>
    resolveCompletion(inForce.cfg, path, model),
  );
}

function parseModel(body: Buffer): Result<string, Fault> {
  try {
    const {model} = JSON.parse(body.toString('utf8')) as {model?: unknown};
    if (typeof model === 'string') return ok(model);
    return err(new Fault('bad_request', 'model: must be a string'));
  } catch (thrown) {
    return err(new Fault('bad_request', `body: ${describeError(thrown)}`));
  }
}

/** The parts of a request that become a call. */
export interface RequestParts {
  readonly callId: CallId;
  readonly now: Millis;
  /** Wall-clock time, ms since 1970. */
  readonly wall: number;
  readonly organisation: NamedOrganisation;
  readonly resolved: ResolvedRequest;
  readonly body: Buffer;
}

/**
 * Creates the call of a request.
 * @param req - the request
 * @param parts - what the request resolved to
 * @returns the call, or `bad_request`
 */
export function createCall(
  req: IncomingMessage,
  parts: RequestParts,
): Result<CallRequest, Fault> {
  const {callId, now, organisation, resolved, body} = parts;
  const deadline = parseDeadline(req, resolved.deadline);
  if (deadline.isErr()) return err(deadline.error);
  const priority = parsePriority(req, resolved.priority);
  if (priority.isErr()) return err(priority.error);
  const key = parseCallKey(req, parts);
  if (key.isErr()) return err(key.error);
  const headers = forwardedHeaders(req);
  // Scoped by organisation, so that no caller gets another's answer.
  const callerKey = headers[KEY_HEADER];
  if (callerKey !== undefined)
    headers[KEY_HEADER] = `${organisation.name}/${callerKey}`;
  const isDeduplicated =
    callerKey !== undefined && resolved.service.acceptsIdempotencyKeys;
  return ok({
    callId,
    service: resolved.name,
    organisation: organisation.name,
    weight: organisation.organisation.weight,
    priority: priority.value,
    idempotent: resolved.idempotent || isDeduplicated,
    deadlineAt: now + deadline.value,
    method: req.method ?? 'GET',
    path: resolved.path,
    headers,
    body,
    key: key.value,
    callerService: parseCallerService(req),
    ...estimateWork(resolved, body),
  });
}

/** Returns the key of a call that this system must run at most once. */
function parseCallKey(
  req: IncomingMessage,
  {wall, resolved, body}: RequestParts,
): Result<CallKey | undefined, Fault> {
  const value = req.headers[KEY_HEADER];
  const {idempotent, service} = resolved;
  if (typeof value !== 'string') return ok(undefined);
  if (idempotent || service.acceptsIdempotencyKeys) return ok(undefined);
  const hash = createHash('sha256');
  hash.update(`${req.method} ${resolved.path}\n`).update(body);
  return parseKey(wall, value, hash.digest('base64url'));
}

function parseDeadline(req: IncomingMessage, maxDeadline: Millis) {
  const text = req.headers['baobabspan-deadline-ms'];
  if (text === undefined) return ok(maxDeadline);
  const requested = Number(text);
  if (Number.isFinite(requested) && requested > 0)
    return ok(Math.min(requested, maxDeadline));
  const detail = 'Baobabspan-Deadline-Ms: must be a positive number';
  return err(new Fault('bad_request', detail));
}

function parsePriority(
  req: IncomingMessage,
  defaultPriority: Priority,
): Result<Priority, Fault> {
  const text = req.headers['baobabspan-priority'];
  if (text === undefined) return ok(defaultPriority);
  const found = PRIORITIES.find(known => known === text);
  if (found !== undefined) return ok(found);
  const detail = `Baobabspan-Priority: must be ${PRIORITIES.join(', ')}`;
  return err(new Fault('bad_request', detail));
}

function parseCallerService(req: IncomingMessage): ServiceName | undefined {
  const name = req.headers[CALLER_SERVICE_HEADER];
  return typeof name === 'string' ? serviceName(name) : undefined;
}

function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  const {connection = ''} = req.headers;
  const connectionHeaders = connection
    .split(',')
    .map(name => name.trim().toLowerCase());
  for (const [name, value] of Object.entries(req.headers)) {
    if (connectionHeaders.includes(name)) continue;
    if (STRIPPED_HEADERS.has(name) || name.startsWith('baobabspan-')) continue;
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
