import type {Millis} from '../../../core/index.js';
import type {
  LoadTracker,
  Upstream,
  UpstreamLimits,
} from '../../../direct/index.js';

/** What an entry knows of an upstream besides its registration. */
interface UpstreamFigures {
  readonly loads: LoadTracker;
  readonly limits: UpstreamLimits;
}

/**
 * Returns the fields of an upstream in `/status`.
 * @param now - current time
 * @param figures - load and limits of the upstreams
 * @param upstream - the upstream
 */
export function upstreamStatus(
  now: Millis,
  {loads, limits}: UpstreamFigures,
  {registration, incarnation}: Upstream,
): object {
  return {
    id: registration.id,
    service: registration.service,
    address: registration.address,
    suspended: loads.isSuspended(now, incarnation),
    limit: limits.rateOf(incarnation),
    ...loads.loadOf(incarnation),
  };
}
