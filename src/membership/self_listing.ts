import {SECOND} from '../core/index.js';
import type {Millis, VmName} from '../core/index.js';
import type {ListedVm} from './types.js';

/** Longest time for which the VM list may show an earlier state. */
const MAX_LIST_LAG: Millis = 30 * SECOND;

/**
 * Detects from the platform's VM list whether this process has to leave. The
 * list lags: right after a replacement it may show the previous process.
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
   * Checks a copy of the list.
   * @param now - present time
   * @param vms - all VMs of the list
   * @returns whether this process has to leave
   */
  shouldLeave(now: Millis, vms: readonly ListedVm[]): boolean {
    const own = vms.find(({vm}) => vm === this.vm);
    if (own?.state === 'live') this.wasListedLive = true;
    if (own?.state !== 'leaving') return false;
    return this.wasListedLive || now - this.startedAt >= MAX_LIST_LAG;
  }
}
