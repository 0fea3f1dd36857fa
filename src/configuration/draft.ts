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

/** Longer lists and mappings break a rule of their own. */
const MAX_ITEMS = 100_000;

/** A value that is left out where it does not fit. */
const soft = <T extends z.ZodType>(schema: T) =>
  schema.optional().catch(undefined);

/** A list that keeps its indexes; items that do not fit are left out. */
const softList = <T extends z.ZodType>(item: T) =>
  soft(z.array(soft(item)).max(MAX_ITEMS));

/** A mapping with any names; values that do not fit are left out. */
const softRecord = <T extends z.ZodType>(value: T) =>
  z
    .record(z.string(), soft(value))
    .refine(record => Object.keys(record).length <= MAX_ITEMS)
    .catch({});

const draftDependency = z.object({
  service: soft(z.string()),
  share: soft(dependency.shape.share),
});

const draftRoute = z.object({
  method: soft(route.shape.method),
  path: soft(route.shape.path),
});

const draftLimits = z.object({
  inFlight: soft(serviceLimits.shape.inFlight),
  concurrency: soft(serviceLimits.shape.concurrency),
});

const draftGroup = z.object({
  ranks: soft(expertGroup.shape.ranks),
  experts: soft(expertGroup.shape.experts),
  slotsPerRank: soft(expertGroup.shape.slotsPerRank),
});

const draftService = z.object({
  kind: soft(z.string()),
  model: soft(modelService.shape.model),
  dependsOn: softList(draftDependency),
  upstreams: soft(softRecord(z.int().positive())),
  limits: soft(draftLimits.prefault({})),
  expertGroup: soft(draftGroup),
  routes: softList(draftRoute),
});

const draftOrganisation = z.object({
  tokensSha256: softList(z.string()),
  limits: soft(
    z.object({
      requestsPerSecond: soft(organisationLimits.shape.requestsPerSecond),
      tokensPerSecond: soft(organisationLimits.shape.tokensPerSecond),
    }),
  ),
});

/**
 * A text as far as it makes sense: the values that rules between values need,
 * each left out where it breaks a rule of its own. So both kinds of findings
 * come out at once.
 */
export const draftSchema = z.object({
  availabilityZones: softList(z.string()),
  organisationHeader: soft(z.string()),
  services: softRecord(draftService).transform(services =>
    Object.keys(services).length <= MAX_SERVICES ? services : {},
  ),
  organisations: softRecord(draftOrganisation),
});
export type Draft = z.output<typeof draftSchema>;
export type DraftService = z.output<typeof draftService>;
