import {describeError} from '../errors/index.js';
import type {Fields, Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** Kinds of work whose exceptions are contained. */
export type WorkKind =
  'request' | 'queue' | 'record' | 'peer_message' | 'timer' | 'process';

/** Lines of a stack trace that a log line holds. */
const MAX_STACK_LINES = 6;

/** Contains exceptions: each ends the unit of work that throws it, no other. */
export class Containment {
  /**
   * @param logger - logs each exception
   * @param metrics - counts them
   */
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Runs a unit of work.
   * @param kind - its kind
   * @param fields - what the log line names it by
   * @param work - the work
   * @param onException - ends the unit after an exception
   */
  run(
    kind: WorkKind,
    fields: Fields,
    work: () => void,
    onException?: () => void,
  ): void {
    try {
      work();
    } catch (thrown) {
      this.record(kind, fields, thrown);
      if (onException !== undefined) this.run(kind, fields, onException);
    }
  }

  /**
   * Runs an asynchronous unit of work; the promise is never rejected.
   * @param kind - its kind
   * @param fields - what the log line names it by
   * @param work - the work
   * @param onException - ends the unit after an exception
   */
  async runAsync(
    kind: WorkKind,
    fields: Fields,
    work: () => Promise<void>,
    onException?: () => void,
  ): Promise<void> {
    try {
      await work();
    } catch (thrown) {
      this.record(kind, fields, thrown);
      if (onException !== undefined) this.run(kind, fields, onException);
    }
  }

  /**
   * Logs and counts an exception.
   * @param kind - kind of the work that threw it
   * @param fields - what the log line names the work by
   * @param thrown - the exception
   */
  record(kind: WorkKind, fields: Fields, thrown: unknown): void {
    this.metrics.containedExceptions.inc({kind});
    const stack = thrown instanceof Error ? thrown.stack : undefined;
    this.logger.error('exception_contained', {
      kind,
      ...fields,
      err: describeError(thrown),
      stack: stack?.split('\n').slice(1, MAX_STACK_LINES).join(' '),
    });
  }
}
