import {z} from 'zod';

import {
  HOUR,
  availabilityZone,
  organisationName,
  serviceName,
} from '../core/index.js';
import {duration, size} from './units.js';

const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const HEADER = /^[A-Za-z0-9-]{1,100}$/;
/** Segments that are not empty or dots, and a `*` at the end at most. */
const ROUTE_PATH =
  /^(\/(?!\.{1,2}(?:\/|$))[A-Za-z0-9._~!$&'()+,;=:@-]+)*(\/\*?)?$/;

/** Largest body of a request that any service can allow, bytes. */
export const MAX_BODY_BYTES = 8 * 2 ** 20;
/** Longest text that is read at all, UTF-16 units. */
export const MAX_TEXT_LENGTH = 4 * 2 ** 20;

const MAX_ZONES = 1_000;
/** Most services that a text can have. */
export const MAX_SERVICES = 1_000;
const MAX_ORGANISATIONS = 100_000;
const MAX_DEPENDENCIES = 100;
const MAX_ROUTES = 1_000;
const MAX_DEADLINE = 24 * HOUR;
const MAX_TOKENS = 100;
const MAX_MODEL_LENGTH = 200;

const name = z
  .string()
  .regex(NAME, 'a name has lower-case letters, digits and inner hyphens');
const service = name.transform(serviceName);
const zone = name.transform(availabilityZone);
const organisation = name.transform(organisationName);
const deadline = duration.refine(
  ms => ms > 0 && ms <= MAX_DEADLINE,
  'must be more than 0 ms and at most 24 h',
);
const someBytes = size.refine(bytes => bytes > 0, 'must be more than 0 B');
const body = someBytes.refine(
  bytes => bytes <= MAX_BODY_BYTES,
  'must be at most 8 MiB',
);

/** Urgency of a call, the least urgent first. */
export const PRIORITIES = ['low', 'normal', 'high'] as const;
export const priority = z.enum(PRIORITIES);

const atMost = (limit: number) => ({
  check: (record: object) => Object.keys(record).length <= limit,
  message: `must have at most ${limit} names`,
});
const fewServices = atMost(MAX_SERVICES);
const fewOrganisations = atMost(MAX_ORGANISATIONS);

/** Something that a service calls. */
export const dependency = z.strictObject({
  service: service.describe('The service that is called.'),
  share: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe("Greatest share of that service's capacity for this caller."),
});

/** Limits that keep a fault of a service from spreading. */
export const serviceLimits = z.strictObject({
  inFlight: z
    .int()
    .positive()
    .default(256)
    .describe('Calls that one entry may have running at the service.'),
  concurrency: z
    .int()
    .positive()
    .default(16)
    .describe('Calls that one upstream runs at a time.'),
  queue: z
    .int()
    .nonnegative()
    .default(64)
    .describe('Calls that may wait at one upstream.'),
  body: body.prefault('1 MiB').describe('Largest body of a request.'),
  buffered: someBytes
    .prefault('64 MiB')
    .describe("Answer bytes that one entry buffers for the service's callers."),
});

const common = {
  dependsOn: z
    .array(dependency)
    .max(MAX_DEPENDENCIES)
    .default([])
    .describe('Services that this one calls.'),
  upstreams: z
    .partialRecord(zone, z.int().positive())
    .describe('Upstreams that each availability zone is meant to have.'),
  deadline: deadline
    .prefault('30 s')
    .describe('Time that a call has when the caller names none.'),
  priority: priority
    .default('normal')
    .describe('Urgency of a call when the caller names none.'),
  limits: serviceLimits
    .prefault({})
    .describe('Limits that keep a fault of this service from spreading.'),
  checksFencing: z
    .boolean()
    .default(false)
    .describe('Whether the upstreams themselves refuse an old fencing number.'),
  acceptsIdempotencyKeys: z
    .boolean()
    .default(false)
    .describe('Whether the upstreams themselves remember idempotency keys.'),
};

/** A group of ranks that run in lock-step with experts spread over them. */
export const expertGroup = z.strictObject({
  ranks: z.int().min(1).max(1024).describe('Ranks that run in lock-step.'),
  layers: z.int().min(1).max(512).describe('Layers that have experts.'),
  experts: z.int().min(1).max(4096).describe('Experts of each layer.'),
  slotsPerRank: z
    .int()
    .min(1)
    .max(4096)
    .describe('Expert weights that each rank has room for, per layer.'),
  expertSize: someBytes.describe('Weight of one expert of one layer.'),
  weightSkew: z
    .number()
    .nonnegative()
    .describe('What a unit of step-time skew of each rank costs in a new map.'),
  weightCost: z
    .number()
    .nonnegative()
    .describe('What a moved GiB costs in weighing a new map.'),
});

/** A service of model engines. */
export const modelService = z.strictObject({
  kind: z.literal('model'),
  ...common,
  model: z
    .string()
    .min(1)
    .max(MAX_MODEL_LENGTH)
    .optional()
    .describe("Name in the `model` field of requests; the service's own."),
  expertGroup: expertGroup
    .optional()
    .describe('The groups of ranks behind the upstreams.'),
});

/** A declared route of a plain service. */
export const route = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  path: z
    .string()
    .min(1)
    .regex(ROUTE_PATH, 'must be a plain absolute path, with `/*` at the end')
    .describe('Path below /services/<name>; `/*` at the end takes any rest.'),
  idempotent: z
    .boolean()
    .describe('Whether running the call twice does no more than once.'),
  deadline: deadline.optional(),
  priority: priority.optional(),
});

/** A service of other programs. */
export const plainService = z.strictObject({
  kind: z.literal('plain'),
  ...common,
  routes: z
    .array(route)
    .min(1)
    .max(MAX_ROUTES)
    .describe('The calls that are let through.'),
});

/** Limits of one organisation over all entries. */
export const organisationLimits = z.strictObject({
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  concurrency: z.int().positive(),
});

const organisationEntry = z.strictObject({
  tokensSha256: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 has 64 hex digits'))
    .min(1)
    .max(MAX_TOKENS)
    .describe('SHA-256 of each bearer token, in hexadecimal.'),
  limits: organisationLimits,
  weight: z
    .number()
    .positive()
    .default(1)
    .describe('Share of a contended upstream, relative to the others.'),
});

/** The newest schema version that this program supports. */
export const SCHEMA_VERSION = 1;

/** The configuration text of schema version 1. */
export const configurationSchema = z.strictObject({
  schema: z
    .literal(SCHEMA_VERSION)
    .describe('Version of the rules that the text follows.'),
  availabilityZones: z.array(zone).min(1).max(MAX_ZONES),
  organisationHeader: z
    .string()
    .regex(HEADER, 'must be the name of an HTTP header')
    .optional()
    .describe('Header that names the organisation, set by a trusted proxy.'),
  services: z
    .record(service, z.discriminatedUnion('kind', [modelService, plainService]))
    .refine(fewServices.check, fewServices.message),
  organisations: z
    .record(organisation, organisationEntry)
    .refine(fewOrganisations.check, fewOrganisations.message),
});
