import {z} from 'zod';

import {
  callId,
  incarnation,
  organisationName,
  recordId,
  serviceName,
} from '../core/index.js';

/** Name of the log stream that carries the claims. */
export const CLAIMS_STREAM = 'claims';

/** Says which sidecar may run the call of a key, and under which attempt. */
const claim = z.object({
  /** The claim's own id: `<call id>#<attempt>`. */
  id: z.string().min(1),
  callId: z.string().min(1).transform(callId),
  attempt: z.int().positive(),
  service: z.string().transform(serviceName),
  organisation: z.string().transform(organisationName),
  key: z.string(),
  /** SHA-256 of method, path and body of the request. */
  digest: z.string(),
  sidecar: z.string().transform(incarnation),
});
export type Claim = z.output<typeof claim>;

/** What one entry appends at a time: first the releases, then the claims. */
export const claimRecord = z.object({
  kind: z.literal('claims'),
  id: z.string().min(1).transform(recordId),
  /** Wall-clock time of the append, ms since 1970. */
  wall: z.number(),
  /** Ids of claims that were proven never to run. */
  releases: z.array(z.string()),
  claims: z.array(claim),
});
export type ClaimRecord = z.output<typeof claimRecord>;

/**
 * What a key is unique in: its organisation and service.
 * @param claim - whose key
 */
export function keyScope(
  claim: Pick<Claim, 'service' | 'organisation' | 'key'>,
): string {
  return JSON.stringify([claim.service, claim.organisation, claim.key]);
}
