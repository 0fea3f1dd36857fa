import type {Incarnation, ServiceName} from '../core/index.js';
import type {PromptPartId, RequestId} from './types.js';

/** An upstream's crash as it began to answer a request, seen by one entry. */
export interface CrashReport {
  readonly service: ServiceName;
  readonly upstream: Incarnation;
  readonly request: RequestId;
  /** Wall-clock time of the crash, Unix ms. */
  readonly at: number;
  /** Parts that may have caused it: the new ones, or all if none is new. */
  readonly suspects: readonly PromptPartId[];
  /** Whether answers on all suspects were seen before. */
  readonly isKnown: boolean;
  /** Suspects on which an answer was seen after the report, or that were lifted. */
  readonly cleared: readonly PromptPartId[];
}

/**
 * Returns a key that identifies a crash.
 * @param upstream - the upstream
 * @param request - the request that it had begun to answer
 */
export const reportId = (upstream: Incarnation, request: RequestId) =>
  `${upstream} ${request}`;

/**
 * Returns whether reports contain others, with all that was cleared in them.
 * @param reports - the reports
 * @param others - the others
 */
export function coversReports(
  reports: readonly CrashReport[],
  others: readonly CrashReport[],
): boolean {
  const cleared = new Map(
    reports.map(one => [reportId(one.upstream, one.request), one.cleared]),
  );
  return others.every(other => {
    const found = cleared.get(reportId(other.upstream, other.request));
    return found !== undefined && found.length >= other.cleared.length;
  });
}
