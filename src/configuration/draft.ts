import {z} from 'zod';

import {
  dependency,
  expertGroup,
  modelService,
  organisationLimits,
  MAX_SERVICES,
  route,
  serviceLimits,
} from './schema.js';

/** Longer lists and mappings are reported by the schema. */
const MAX_ITEMS = 100_000;

/** A value that is omitted if it is invalid. */
const lenient = <T extends z.ZodType>(schema: T) =>
  schema.optional().catch(undefined);

/** A list that keeps its indexes; invalid items become undefined. */
const lenientList = <T extends z.ZodType>(item: T) =>
  lenient(z.array(lenient(item)).max(MAX_ITEMS));

/** A mapping with any names; invalid values become undefined. */
const lenientRecord = <T extends z.ZodType>(value: T) =>
  z
    .record(z.string(), lenient(value))
    .refine(record => Object.keys(record).length <= MAX_ITEMS)
    .catch({});

const draftDependency = z.object({
  service: lenient(z.string()),
  share: lenient(dependency.shape.share),
});

const draftRoute = z.object({
  method: lenient(route.shape.method),
  path: lenient(route.shape.path),
});

const draftLimits = z.object({
  inFlight: lenient(serviceLimits.shape.inFlight),
  concurrency: lenient(serviceLimits.shape.concurrency),
});

const draftGroup = z.object({
  ranks: lenient(expertGroup.shape.ranks),
  experts: lenient(expertGroup.shape.experts),
  slotsPerRank: lenient(expertGroup.shape.slotsPerRank),
});

const draftService = z.object({
  kind: lenient(z.string()),
  model: lenient(modelService.shape.model),
  dependsOn: lenientList(draftDependency),
  upstreams: lenient(lenientRecord(z.int().positive())),
  limits: lenient(draftLimits.prefault({})),
  expertGroup: lenient(draftGroup),
  routes: lenientList(draftRoute),
});

const draftOrganisation = z.object({
  tokensSha256: lenientList(z.string()),
  limits: lenient(
    z.object({
      requestsPerSecond: lenient(organisationLimits.shape.requestsPerSecond),
      tokensPerSecond: lenient(organisationLimits.shape.tokensPerSecond),
    }),
  ),
});

/**
 * The values of a text that cross-value rules need, without those that break
 * the schema. Both kinds of findings can thus be reported together.
 */
export const draftSchema = z.object({
  availabilityZones: lenientList(z.string()),
  organisationHeader: lenient(z.string()),
  services: lenientRecord(draftService).transform(services =>
    Object.keys(services).length <= MAX_SERVICES ? services : {},
  ),
  organisations: lenientRecord(draftOrganisation),
});
export type Draft = z.output<typeof draftSchema>;
export type DraftService = z.output<typeof draftService>;
