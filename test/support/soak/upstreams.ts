import {Worker} from 'node:worker_threads';

import type {Mix} from './mix.js';
import type {RequestRecord, Run} from './records.js';
import type {
  UpstreamOrder,
  UpstreamReport,
  UpstreamWorkerData,
} from './upstream_messages.js';

/** The worker, as `npm run build` leaves it. */
const WORKER = new URL(
  '../../../dist/test/support/soak/upstream_worker.js',
  import.meta.url,
);

/** What the upstreams ask and tell the soak. */
export interface UpstreamsHost {
  find(id: string): RequestRecord | undefined;
  flag(rule: string, id: string, detail: string): void;
}

type Order = UpstreamOrder extends infer One
  ? One extends UpstreamOrder
    ? Omit<One, 'number'>
    : never
  : never;

/**
 * The upstreams, in a thread of their own: Node accepts one connection in a pass of
 * the event loop, and hundreds of callers make those of the soak long.
 */
export class Upstreams {
  /** Times at which some upstream read nothing or was held up, from and to. */
  readonly pauses: [number, number][] = [];
  private readonly worker: Worker;
  private readonly pending = new Map<number, (address?: string) => void>();
  private orders = 0;

  /**
   * @param mix - what is played
   * @param seed - seed of the play
   * @param host - the soak
   */
  constructor(
    mix: Mix,
    seed: number,
    private readonly host: UpstreamsHost,
  ) {
    const {timeOrigin} = performance;
    const workerData: UpstreamWorkerData = {mix, seed, timeOrigin};
    this.worker = new Worker(WORKER, {workerData});
    this.worker.on('message', (report: UpstreamReport) => this.apply(report));
  }

  /**
   * Starts an upstream and returns `host:port`.
   * @param name - its id
   */
  async listen(name: string): Promise<string> {
    return (await this.order({type: 'listen', name}))!;
  }

  /**
   * Lets an upstream read nothing for a time.
   * @param name - its id
   * @param ms - the time
   */
  async pauseReading(name: string, ms: number): Promise<void> {
    const span: [number, number] = [performance.now(), Infinity];
    this.pauses.push(span);
    await this.order({type: 'pause', name, ms});
    span[1] = performance.now();
  }

  /**
   * Resets the connections of an upstream and stops listening.
   * @param name - its id
   */
  async close(name: string): Promise<void> {
    await this.order({type: 'close', name});
  }

  /**
   * Lets runs end in the ways of the mix from a time on.
   * @param at - the time
   */
  async failFrom(at: number): Promise<void> {
    await this.order({type: 'fail_from', at});
  }

  /** Ends all upstreams. */
  async closeAll(): Promise<void> {
    await this.worker.terminate();
  }

  private order(order: Order): Promise<string | undefined> {
    this.orders += 1;
    const number = this.orders;
    this.worker.postMessage({...order, number});
    return new Promise(resolve => this.pending.set(number, resolve));
  }

  private apply(report: UpstreamReport): void {
    if (report.type === 'done') {
      this.pending.get(report.number)?.(report.address);
      this.pending.delete(report.number);
    } else if (report.type === 'stall') {
      this.pauses.push([report.from, report.to]);
    } else if (report.type === 'flag') {
      this.host.flag(report.rule, report.id, report.detail);
    } else this.applyRun(report.id, report.path, report.run);
  }

  private applyRun(id: string, path: string, run: Run): void {
    const record = this.host.find(id);
    if (record?.path !== path) {
      this.host.flag('UNASKED', id, path);
      return;
    }
    const known = record.runs.find(one => one.seal === run.seal);
    if (known === undefined) record.runs.push(run);
    else Object.assign(known, run);
  }
}
