import type {Chance, ServiceName} from '../../../core/index.js';
import {ConcurrencyLimiter, StreamLimiter} from '../../../direct/index.js';
import type {GroupKey} from '../../../direct/index.js';
import {PassLimiter} from '../../../pacing/index.js';
import type {PacingSettings, StreamLimit} from '../../../pacing/index.js';
import {NO_EVACUATIONS} from './dispatch_request.js';
import type {UpstreamDirectory, ZoneFilter} from './dispatch_request.js';

/** Limits on the requests of this entry at one group. */
export interface GroupLimiter {
  /** On requests that have not started. */
  readonly starts: ConcurrencyLimiter;
  /** On all requests. */
  readonly streams: StreamLimit;
}

interface LimiterRow extends GroupLimiter {
  /** Undefined if the streams are limited by gaps alone. */
  readonly pacing: PacingSettings | undefined;
}

/** Limits on the requests of this entry, per group. */
export class GroupLimiters {
  private readonly limiters = new Map<GroupKey, LimiterRow>();

  /**
   * @param directory - the upstreams and entries
   * @param chance - rounds limits
   * @param evacuation - zones whose ranks take no requests
   */
  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly chance: Chance,
    private readonly evacuation: ZoneFilter = NO_EVACUATIONS,
  ) {}

  /**
   * Returns the limits at a group, which are created on first use. A change of
   * the configuration that affects them replaces the limit on streams.
   * @param group - the group
   * @param service - service of its ranks
   */
  of(group: GroupKey, service: ServiceName): GroupLimiter {
    const known = this.limiters.get(group);
    const pacing = this.directory.pacingOf?.(service);
    if (known !== undefined && known.pacing === pacing) return known;
    const starts =
      known?.starts ??
      new ConcurrencyLimiter(() => this.directory.entryCount());
    const running = known?.streams.running ?? 0;
    const streams =
      pacing === undefined
        ? new StreamLimiter(this.chance, running)
        : new PassLimiter(
            pacing,
            () => this.sizeOf(group, service),
            this.chance,
            running,
          );
    const limiter = {starts, streams, pacing};
    this.limiters.set(group, limiter);
    return limiter;
  }

  /**
   * Returns the limits at a group if it has been used.
   * @param group - the group
   */
  find(group: GroupKey): GroupLimiter | undefined {
    return this.limiters.get(group);
  }

  /** Returns all groups that have been used. */
  entries(): Iterable<[GroupKey, GroupLimiter]> {
    return this.limiters.entries();
  }

  private sizeOf(group: GroupKey, service: ServiceName) {
    const ranks = this.directory
      .upstreamsOf(service)
      .filter(
        upstream =>
          this.directory.groupOf(upstream) === group &&
          !this.evacuation.isEvacuated(upstream),
      );
    return {ranks: ranks.length, entries: this.directory.entryCount()};
  }
}
