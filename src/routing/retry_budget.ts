import type {ServiceName} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';

/** Budget that a first attempt adds, in retries. */
const RETRY_RATIO = 0.1;
/** Largest balance of a service, in retries. */
const RETRY_RESERVE = 10;

/** Rejections unrelated to load: a retry after one costs no budget. */
const FREE_RETRY_REASONS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'draining',
]);

/**
 * Retry budget: limits each service's retries to a ratio of its calls plus a
 * fixed reserve. By default, attempts are at most 1.1 times the calls, plus 10.
 */
export class RetryBudget {
  private readonly balances = new Map<ServiceName, number>();

  /**
   * @param ratio - retries that each call adds to the budget
   * @param reserve - largest balance, and the initial one
   */
  constructor(
    private readonly ratio = RETRY_RATIO,
    private readonly reserve = RETRY_RESERVE,
  ) {}

  /**
   * Credits the budget for the first attempt of a call.
   * @param service - the called service
   */
  recordCall(service: ServiceName): void {
    const balance = this.balanceOf(service) + this.ratio;
    this.balances.set(service, Math.min(this.reserve, balance));
  }

  /**
   * Deducts a retry from the budget if the balance allows it.
   * @param service - the called service
   * @param reason - error of the previous attempt
   * @returns whether the retry is allowed
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
 * Returns whether a call made on behalf of another one may be retried. Only
 * the outermost call is retried, so that retries don't multiply along a chain.
 * A draining replica is an exception: it has done no work for the call.
 * @param reason - error of the previous attempt
 */
export function isNestedRetryAllowed(reason: ErrorName): boolean {
  return FREE_RETRY_REASONS.has(reason);
}
