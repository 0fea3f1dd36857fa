import type {CallerMemory} from '../../admission/index.js';
import type {CostlyReads} from './costly_reads.js';
import type {TurnScheduler} from './turn_scheduler.js';

/** What all connections of a server share. */
export interface SharedParts<Holder extends object> {
  /** Memory budget. */
  readonly memory: CallerMemory<Holder>;
  /** Schedules the turns of requests. */
  readonly turns: TurnScheduler;
  /** Schedules the reads of connections with very small chunks. */
  readonly reads: CostlyReads;
  /** Whether bodies are charged as they are read, as no one reserves their memory. */
  readonly chargesBodies: boolean;
  /** Closes connections until the budget is kept. */
  enforceBudget(): void;
}
