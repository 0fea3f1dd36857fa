import {SECOND} from '../core/index.js';
import type {Millis, VmName} from '../core/index.js';
import type {ListedVm} from './types.js';

/** How long the list may still show what the VM was before. */
const MAX_LIST_LAG: Millis = 30 * SECOND;

/**
 * Decides whether the platform's list tells this process to leave. The list
 * lags: right after a replacement it may speak of the process before.
 */
export class SelfListing {
  private wasListedLive = false;

  /**
   * @param vm - the VM of this process
   * @param startedAt - when this process started
   */
  constructor(
    private readonly vm: VmName,
    private readonly startedAt: Millis,
  ) {}

  /**
   * Takes in a copy of the list.
   * @param now - present time
   * @param vms - all that it shows
   * @returns whether this process has to leave
   */
  shouldLeave(now: Millis, vms: readonly ListedVm[]): boolean {
    const own = vms.find(({vm}) => vm === this.vm);
    if (own?.state === 'live') this.wasListedLive = true;
    if (own?.state !== 'leaving') return false;
    return this.wasListedLive || now - this.startedAt >= MAX_LIST_LAG;
  }
}
