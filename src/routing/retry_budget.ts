import type {ServiceName} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';

/** Retries that a fresh call pays for. */
const SHARE = 0.1;
/** Retries that a service may have saved up. */
const RESERVE = 10;

/** Refusals that tell nothing of load: a retry after one costs no budget. */
const FREE: ReadonlySet<ErrorName> = new Set<ErrorName>(['draining']);

/**
 * Bounds the retries of each service to a share of its fresh calls, so that
 * attempts are at most 1.1 times the calls, and a fixed reserve.
 */
export class RetryBudget {
  private readonly left = new Map<ServiceName, number>();

  /**
   * @param share - retries that one fresh call pays for
   * @param reserve - retries that may be saved up; there at the start
   */
  constructor(
    private readonly share = SHARE,
    private readonly reserve = RESERVE,
  ) {}

  /**
   * A call is made for the first time.
   * @param service - its service
   */
  fresh(service: ServiceName): void {
    const saved = this.leftOf(service) + this.share;
    this.left.set(service, Math.min(this.reserve, saved));
  }

  /**
   * Asks for a retry and pays for it.
   * @param service - the service
   * @param reason - why the attempt before ended
   * @returns whether the retry may be made
   */
  spend(service: ServiceName, reason: ErrorName): boolean {
    if (FREE.has(reason)) return true;
    const saved = this.leftOf(service);
    if (saved < 1) return false;
    this.left.set(service, saved - 1);
    return true;
  }

  private leftOf(service: ServiceName): number {
    return this.left.get(service) ?? this.reserve;
  }
}

/**
 * Whether a call made on behalf of another one may be tried again. Only the
 * outermost call is, so that retries do not multiply along a chain; a replica
 * that is leaving costs no work and is no reason to fail.
 * @param reason - why the attempt before ended
 */
export function nestedRetry(reason: ErrorName): boolean {
  return FREE.has(reason);
}
