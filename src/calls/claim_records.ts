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

/** Binds an idempotency key to the sidecar and attempt that may run it. */
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

/** One append of an entry; the releases are applied before the claims. */
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
 * Returns a key qualified by the organisation and service it is unique in.
 * @param claim - the claim with the key
 */
export function keyScope(
  claim: Pick<Claim, 'service' | 'organisation' | 'key'>,
): string {
  return JSON.stringify([claim.service, claim.organisation, claim.key]);
}
