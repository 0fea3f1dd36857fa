import type {ServiceName} from '../core/index.js';

/** A finding about a configuration. */
export interface Remark {
  /** An error makes requests fail, or a part of the version has no effect at all. */
  readonly severity: 'error' | 'warning';
  /** What it is about, such as `route r-1`. */
  readonly place: string;
  readonly message: string;
  /** Name of the rule. */
  readonly rule: string;
}

/** What is known of the deployment that a configuration is for. */
export interface ReviewContext {
  /** Version in force; undefined if unknown. */
  readonly versionInForce?: number | undefined;
  /** Number of registered upstreams by service; undefined if unknown. */
  readonly upstreams?: ReadonlyMap<ServiceName, number> | undefined;
}
