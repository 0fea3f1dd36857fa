import {request} from 'undici';
import {z} from 'zod';

import type {Millis} from '../../core/index.js';
import {describe} from '../../errors/index.js';

const RESPONSE_TIMEOUT: Millis = 3_000;
/** Daemons that are asked at once. */
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

/** What is known of one process of the estate. */
export interface EstateRow {
  readonly vm: string;
  /** The version in force there; nothing when it did not answer. */
  readonly version: number | undefined;
  readonly foldedTo: number | undefined;
  /** Whether records expired that the process never read. */
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
    return describe(thrown);
  }
}

function vmOf(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf('/'));
}

/** Finds the estate's processes, from one to those that it knows, and so on. */
export class EstateCrawler {
  private readonly rows = new Map<string, EstateRow>();
  private readonly visited = new Set<string>();

  /**
   * Asks everyone for the version in force.
   * @param start - operator address of one daemon, `host:port`
   * @returns one row for each VM, by name
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

  /** Notes a status; returns the operator addresses that it names. */
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
 * One line for people.
 * @param row - a process
 * @param newest - the newest version that is in force anywhere
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
