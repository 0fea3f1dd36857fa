import {SECOND} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {ListedVm} from '../../membership/index.js';
import {HttpVmListClient} from '../../clients/index.js';
import type {VmListClient, VmListing} from '../../clients/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const POLL_INTERVAL: Millis = SECOND;

type Message =
  | {readonly type: 'poll'}
  | {readonly type: 'listed'; readonly listing: VmListing}
  | {readonly type: 'outage'; readonly fault: Fault};

/** Polls the platform's VM list and emits each copy. */
export class VmListTask extends Task<Message> {
  private readonly client: VmListClient;
  private timer: NodeJS.Timeout | undefined;
  private rejected = '';

  /**
   * @param context - shared context of the daemon's tasks
   * @param url - address of the VM list
   * @param onVmList - called with each copy of the list
   */
  constructor(
    private readonly context: DaemonContext,
    url: string,
    private readonly onVmList: (vms: readonly ListedVm[]) => void,
  ) {
    super(context.system, 'vm_list', context.logger.withLabel('vm_list'));
    this.client = new HttpVmListClient(url);
    this.post({type: 'poll'});
  }

  override stop(): void {
    clearTimeout(this.timer);
    super.stop();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'poll':
        void this.client.fetch().match(
          listing => this.post({type: 'listed', listing}),
          fault => this.post({type: 'outage', fault}),
        );
        return;
      case 'listed':
        this.logRejected(message.listing.rejected);
        this.onVmList(message.listing.vms);
        return this.schedulePoll();
      case 'outage':
        this.context.metrics.logEvents.inc({kind: 'vm_list_failed'});
        return this.schedulePoll();
    }
  }

  /** Logs the VMs that were left out, once until they change. */
  private logRejected(rejected: readonly string[]): void {
    const reasons = rejected.join('; ');
    if (reasons !== this.rejected && rejected.length > 0) {
      const {length: count} = rejected;
      this.logger.warn('vms_ignored', {count, reasons});
    }
    this.rejected = reasons;
  }

  private schedulePoll(): void {
    const jitter = 1 + this.context.chance.fraction() / 2;
    const delay = POLL_INTERVAL * jitter;
    this.timer = setTimeout(() => this.post({type: 'poll'}), delay);
  }
}
