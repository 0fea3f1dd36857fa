import {request} from 'undici';
import {z} from 'zod';

import type {Millis} from '../../core/index.js';
import {describeError} from '../../errors/index.js';

const RESPONSE_TIMEOUT: Millis = 3_000;
/** Limit of concurrent status requests. */
const MAX_CONCURRENT_REQUESTS = 32;

const daemonStatus = z.object({
  incarnation: z.string(),
  configuration: z
    .object({
      version: z.number(),
      foldedVersion: z.number(),
      foldedTo: z.number(),
      gap: z.boolean().default(false),
      lag: z.string().optional(),
    })
    .optional(),
  members: z.array(
    z.object({
      vm: z.string(),
      availabilityZone: z.string(),
      role: z.string(),
      operators: z.string().optional(),
      linked: z.boolean(),
      leaving: z.boolean(),
    }),
  ),
});
type DaemonStatus = z.output<typeof daemonStatus>;

/** Configuration status of one process of the estate. */
export interface EstateRow {
  readonly vm: string;
  /** Version in force at the process; undefined if it did not respond. */
  readonly version: number | undefined;
  readonly foldedTo: number | undefined;
  /** Whether records expired before the process read them. */
  readonly gap: boolean;
  /** Why the version may lag. */
  readonly reason: string | undefined;
}

async function fetchStatus(address: string): Promise<DaemonStatus | string> {
  try {
    const res = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT),
    });
    return daemonStatus.parse(await res.body.json());
  } catch (thrown) {
    return describeError(thrown);
  }
}

function vmOf(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf('/'));
}

/** Crawls the daemons of an estate through the members that each one lists. */
export class EstateCrawler {
  private readonly rows = new Map<string, EstateRow>();
  private readonly visited = new Set<string>();

  /**
   * Queries the status of all reachable daemons, breadth first.
   * @param start - operator address of one daemon, `host:port`
   * @returns one row for each VM, sorted by name
   */
  static async crawl(start: string): Promise<EstateRow[]> {
    const crawler = new EstateCrawler();
    let pending = [start];
    while (pending.length > 0) {
      const next = await crawler.visitAll(
        pending.splice(0, MAX_CONCURRENT_REQUESTS),
      );
      pending = [...new Set([...pending, ...next])];
    }
    return [...crawler.rows.values()].sort((a, b) => (a.vm < b.vm ? -1 : 1));
  }

  private async visitAll(addresses: readonly string[]): Promise<string[]> {
    addresses.forEach(address => this.visited.add(address));
    const found = await Promise.all(
      addresses.map(async address =>
        this.recordStatus(await fetchStatus(address)),
      ),
    );
    return found.flat().filter(address => !this.visited.has(address));
  }

  /** Records a status and returns the operator addresses of its members. */
  private recordStatus(status: DaemonStatus | string): string[] {
    if (typeof status === 'string') return [];
    const vm = vmOf(status.incarnation);
    const {version, foldedTo, gap = false, lag} = status.configuration ?? {};
    this.rows.set(vm, {vm, version, foldedTo, gap, reason: lag});
    const addresses: string[] = [];
    for (const member of status.members) {
      if (member.leaving) continue;
      this.recordMember(member.vm, member.operators !== undefined);
      if (member.operators !== undefined) addresses.push(member.operators);
    }
    return addresses;
  }

  private recordMember(vm: string, hasAddress: boolean): void {
    if (this.rows.get(vm)?.version !== undefined) return;
    const reason = hasAddress ? 'does not answer' : 'listed, never linked';
    this.rows.set(vm, {
      vm,
      version: undefined,
      foldedTo: undefined,
      gap: false,
      reason,
    });
  }
}

/**
 * Formats a row as a line of text.
 * @param row - status of a process
 * @param newest - newest version in force at any process
 */
export function formatRow(
  {vm, version, foldedTo, reason}: EstateRow,
  newest: number,
): string {
  const reasonText = reason === undefined ? '' : `: ${reason}`;
  if (version === undefined) return `${vm} unknown${reasonText}`;
  const lags = version < newest ? ' lags' : '';
  return `${vm} version ${version} folded to ${foldedTo}${lags}${reasonText}`;
}
