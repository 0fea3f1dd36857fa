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
import type {CallKey, CallRequest, Resolved} from '../../calls/index.js';
import {PRIORITIES} from '../../configuration/index.js';
import type {Priority} from '../../configuration/index.js';
import {HOP_BY_HOP_HEADERS, serviceName} from '../../core/index.js';
import type {CallId, Millis, ServiceName} from '../../core/index.js';
import {Fault, describe} from '../../errors/index.js';
import {workOf} from './request_work.js';
import type {InForce} from './types.js';

/** Headers that are never passed on. */
const HOP_BY_HOP = new Set([
  ...HOP_BY_HOP_HEADERS,
  'authorization',
  'content-length',
  'expect',
  'host',
]);

const KEY_HEADER = 'idempotency-key';
const BEARER = /^Bearer +(\S+)$/i;

/**
 * Tells whose request it is.
 * @param req - the request
 * @param inForce - the configuration in force
 * @returns the organisation, or `unauthorized`
 */
export function identify(
  req: IncomingMessage,
  {cfg, organisations}: InForce,
): Result<NamedOrganisation, Fault> {
  const header = cfg.organisationHeader?.toLowerCase();
  const named = header === undefined ? undefined : req.headers[header];
  const [, token] = BEARER.exec(req.headers.authorization ?? '') ?? [];
  const found =
    typeof named === 'string'
      ? organisations.findByName(named)
      : organisations.findByToken(token ?? '');
  return found ? ok(found) : err(new Fault('unauthorized'));
}

/**
 * Finds what the configuration says of a request.
 * @param req - the request
 * @param body - its body
 * @param inForce - the configuration in force
 */
export function resolve(
  req: IncomingMessage,
  body: Buffer,
  {cfg}: InForce,
): Result<Resolved, Fault> {
  const path = req.url ?? '/';
  if (!isCompletion(path)) return resolvePlain(cfg, req.method ?? '', path);
  if (req.method !== 'POST') return err(new Fault('not_found', 'use POST'));
  return modelOf(body).andThen(model => resolveCompletion(cfg, path, model));
}

function modelOf(body: Buffer): Result<string, Fault> {
  try {
    const {model} = JSON.parse(body.toString('utf8')) as {model?: unknown};
    if (typeof model === 'string') return ok(model);
    return err(new Fault('bad_request', 'model: must be a string'));
  } catch (thrown) {
    return err(new Fault('bad_request', `body: ${describe(thrown)}`));
  }
}

/** The parts of a request that become a call. */
export interface RequestParts {
  readonly callId: CallId;
  readonly now: Millis;
  /** Wall-clock time, ms since 1970. */
  readonly wall: number;
  readonly organisation: NamedOrganisation;
  readonly resolved: Resolved;
  readonly body: Buffer;
}

/**
 * Makes the call of a request.
 * @param req - the request
 * @param parts - what was found out about it
 * @returns the call, or `bad_request`
 */
export function toCall(
  req: IncomingMessage,
  parts: RequestParts,
): Result<CallRequest, Fault> {
  const {callId, now, organisation, resolved, body} = parts;
  const deadline = deadlineOf(req, resolved.deadline);
  if (deadline.isErr()) return err(deadline.error);
  const priority = priorityOf(req, resolved.priority);
  if (priority.isErr()) return err(priority.error);
  const key = keyOf(req, parts);
  if (key.isErr()) return err(key.error);
  const headers = forwarded(req);
  // Told apart by organisation, so that no caller gets another's answer.
  const usual = headers[KEY_HEADER];
  if (usual !== undefined)
    headers[KEY_HEADER] = `${organisation.name}/${usual}`;
  const isRemembered =
    usual !== undefined && resolved.service.acceptsIdempotencyKeys;
  return ok({
    callId,
    service: resolved.name,
    organisation: organisation.name,
    weight: organisation.organisation.weight,
    priority: priority.value,
    idempotent: resolved.idempotent || isRemembered,
    deadlineAt: now + deadline.value,
    method: req.method ?? 'GET',
    path: resolved.path,
    headers,
    body,
    key: key.value,
    callerService: callerService(req),
    ...workOf(resolved, body),
  });
}

/** The key of a call that the system itself has to run at most once. */
function keyOf(
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

function deadlineOf(req: IncomingMessage, usual: Millis) {
  const text = req.headers['baobabspan-deadline-ms'];
  if (text === undefined) return ok(usual);
  const asked = Number(text);
  if (Number.isFinite(asked) && asked > 0) return ok(Math.min(asked, usual));
  const detail = 'Baobabspan-Deadline-Ms: must be a positive number';
  return err(new Fault('bad_request', detail));
}

function priorityOf(
  req: IncomingMessage,
  usual: Priority,
): Result<Priority, Fault> {
  const text = req.headers['baobabspan-priority'];
  if (text === undefined) return ok(usual);
  const found = PRIORITIES.find(known => known === text);
  if (found !== undefined) return ok(found);
  const detail = `Baobabspan-Priority: must be ${PRIORITIES.join(', ')}`;
  return err(new Fault('bad_request', detail));
}

function callerService(req: IncomingMessage): ServiceName | undefined {
  const name = req.headers[CALLER_SERVICE_HEADER];
  return typeof name === 'string' ? serviceName(name) : undefined;
}

function forwarded(req: IncomingMessage): Record<string, string> {
  const kept: Record<string, string> = {};
  const {connection = ''} = req.headers;
  const named = connection.split(',').map(name => name.trim().toLowerCase());
  for (const [name, value] of Object.entries(req.headers)) {
    if (named.includes(name)) continue;
    if (HOP_BY_HOP.has(name) || name.startsWith('baobabspan-')) continue;
    if (value !== undefined) kept[name] = String(value);
  }
  return kept;
}
