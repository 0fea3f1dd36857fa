import {z} from 'zod';

import {
  availabilityZone,
  organisationName,
  serviceName,
} from '../core/index.js';
import {duration, size} from './units.js';

const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

const name = z
  .string()
  .regex(NAME, 'a name has lower-case letters, digits and inner hyphens');
const service = name.transform(serviceName);
const zone = name.transform(availabilityZone);
const organisation = name.transform(organisationName);

/** Urgency of a call, the least urgent first. */
export const PRIORITIES = ['low', 'normal', 'high'] as const;
export const priority = z.enum(PRIORITIES);

const dependency = z.strictObject({
  /** The service that is called. */
  service,
  /** Greatest share of that service's capacity that this caller may hold. */
  share: z.number().gt(0).max(1).default(0.5),
});

const serviceLimits = z.strictObject({
  /** Calls that one entry may have running at the service. */
  inFlight: z.int().positive().default(256),
  /** Calls that one upstream runs at a time. */
  concurrency: z.int().positive().default(16),
  /** Calls that may wait at one upstream. */
  queue: z.int().nonnegative().default(64),
  /** Largest body of a request. */
  body: size.default(2 ** 20),
  /** Answer bytes that one entry buffers for the service's callers. */
  buffered: size.default(64 * 2 ** 20),
});

const common = {
  /** Services that this one calls. */
  dependsOn: z.array(dependency).default([]),
  /** Upstreams that each availability zone is meant to have. */
  upstreams: z.partialRecord(zone, z.int().positive()),
  /** Time that a call has when the caller names none. */
  deadline: duration.default(30_000),
  /** Urgency of a call when the caller names none. */
  priority: priority.default('normal'),
  /** Limits that keep a fault of this service from spreading. */
  limits: serviceLimits.prefault({}),
  /** Whether the upstreams themselves refuse an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Whether the upstreams themselves remember idempotency keys. */
  acceptsIdempotencyKeys: z.boolean().default(false),
};

const expertGroup = z.strictObject({
  /** Ranks that run in lock-step. */
  ranks: z.int().min(1).max(1024),
  /** Layers that have experts. */
  layers: z.int().min(1).max(512),
  /** Experts of each layer. */
  experts: z.int().min(1).max(4096),
  /** Expert weights that each rank has room for, per layer. */
  slotsPerRank: z.int().min(1).max(4096),
  /** Weight of one expert of one layer. */
  expertSize: size,
  /** What a unit of step-time skew costs when a change of map is weighed. */
  weightSkew: z.number().nonnegative(),
  /** What a moved GiB costs when a change of map is weighed. */
  weightCost: z.number().nonnegative(),
});

const modelService = z.strictObject({
  kind: z.literal('model'),
  ...common,
  /** Name in the `model` field of requests; the service's own by default. */
  model: z.string().min(1).optional(),
  /** The groups of ranks behind the upstreams, where experts are spread. */
  expertGroup: expertGroup.optional(),
});

const route = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below /services/<name>; a `*` at the end takes any rest. */
  path: z.string().startsWith('/'),
  /** Whether running the call twice does no more than running it once. */
  idempotent: z.boolean(),
  deadline: duration.optional(),
  priority: priority.optional(),
});

const plainService = z.strictObject({
  kind: z.literal('plain'),
  ...common,
  routes: z.array(route).min(1),
});

const organisationLimits = z.strictObject({
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  concurrency: z.int().positive(),
});

const organisationEntry = z.strictObject({
  /** SHA-256 of each bearer token, in hexadecimal. */
  tokensSha256: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 has 64 hex digits'))
    .min(1),
  limits: organisationLimits,
  /** Share of a contended upstream, relative to other organisations. */
  weight: z.number().positive().default(1),
});

/** The newest schema version that this program knows. */
export const SCHEMA_VERSION = 1;

/** The configuration text of schema version 1. */
export const configurationSchema = z.strictObject({
  schema: z.literal(SCHEMA_VERSION),
  availabilityZones: z.array(zone).min(1),
  /** Header that names the organisation, set by a proxy that is trusted. */
  organisationHeader: z.string().min(1).optional(),
  services: z.record(
    service,
    z.discriminatedUnion('kind', [modelService, plainService]),
  ),
  organisations: z.record(organisation, organisationEntry),
});
