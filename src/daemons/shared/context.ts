import type {Chance, Clock} from '../../core/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import type {Identity} from '../../membership/index.js';
import type {TaskParent} from './task.js';

/** Context shared by all tasks of one daemon. */
export interface DaemonContext {
  readonly system: TaskParent;
  readonly self: Identity;
  readonly clock: Clock;
  readonly chance: Chance;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
