import type {ServiceName} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';

/** Retries that a fresh call pays for. */
const RETRY_RATIO = 0.1;
/** Retries that a service may have saved up. */
const RETRY_RESERVE = 10;

/** Refusals that tell nothing of load: a retry after one costs no budget. */
const FREE_RETRY_REASONS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'draining',
]);

/**
 * Bounds the retries of each service to a share of its fresh calls, so that
 * attempts are at most 1.1 times the calls, and a fixed reserve.
 */
export class RetryBudget {
  private readonly balances = new Map<ServiceName, number>();

  /**
   * @param ratio - retries that one fresh call pays for
   * @param reserve - retries that may be saved up; there at the start
   */
  constructor(
    private readonly ratio = RETRY_RATIO,
    private readonly reserve = RETRY_RESERVE,
  ) {}

  /**
   * A call is made for the first time.
   * @param service - its service
   */
  recordCall(service: ServiceName): void {
    const balance = this.balanceOf(service) + this.ratio;
    this.balances.set(service, Math.min(this.reserve, balance));
  }

  /**
   * Asks for a retry and pays for it.
   * @param service - the service
   * @param reason - why the attempt before ended
   * @returns whether the retry may be made
   */
  trySpend(service: ServiceName, reason: ErrorName): boolean {
    if (FREE_RETRY_REASONS.has(reason)) return true;
    const balance = this.balanceOf(service);
    if (balance < 1) return false;
    this.balances.set(service, balance - 1);
    return true;
  }

  private balanceOf(service: ServiceName): number {
    return this.balances.get(service) ?? this.reserve;
  }
}

/**
 * Whether a call made on behalf of another one may be tried again. Only the
 * outermost call is, so that retries do not multiply along a chain; a replica
 * that is leaving costs no work and is no reason to fail.
 * @param reason - why the attempt before ended
 */
export function isNestedRetryAllowed(reason: ErrorName): boolean {
  return FREE_RETRY_REASONS.has(reason);
}
