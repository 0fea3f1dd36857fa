import type {Run} from './records.js';
import type {Mix} from './mix.js';

/** What the worker of the upstreams starts with. */
export interface UpstreamWorkerData {
  readonly mix: Mix;
  readonly seed: number;
  /** Time origin of the soak, by whose clock the worker tells times. */
  readonly timeOrigin: number;
}

/** What the soak tells the worker; each one is answered with its number. */
export type UpstreamOrder = {readonly number: number} & (
  | {readonly type: 'listen'; readonly name: string}
  | {readonly type: 'pause'; readonly name: string; readonly ms: number}
  | {readonly type: 'close'; readonly name: string}
  | {readonly type: 'fail_from'; readonly at: number}
);

/** What the worker tells the soak. */
export type UpstreamReport =
  | {readonly type: 'done'; readonly number: number; readonly address?: string}
  | {
      readonly type: 'run';
      readonly id: string;
      readonly path: string;
      readonly run: Run;
    }
  | {readonly type: 'stall'; readonly from: number; readonly to: number}
  | {
      readonly type: 'flag';
      readonly rule: string;
      readonly id: string;
      readonly detail: string;
    };
