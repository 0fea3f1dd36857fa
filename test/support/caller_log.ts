import {request} from 'undici';

import type {Daemon} from './estate.js';

/** Result of one call as its caller received it. */
export interface CallResult {
  readonly body: string;
  readonly status: number;
  readonly outcome: string;
  readonly retryAfter: string;
  /** Whether the connection was lost before the answer was complete. */
  readonly isCut: boolean;
}

/** Sends calls to one estate and records their results. */
export class CallerLog {
  readonly results: CallResult[] = [];
  private callCount = 0;

  /**
   * @param path - path of a call that is not idempotent
   * @param token - bearer token of the callers
   */
  constructor(
    private readonly path: string,
    private readonly token: string,
  ) {}

  /** Sends a call with a unique body. */
  async call(entry: Daemon): Promise<CallResult> {
    this.callCount += 1;
    const body = JSON.stringify({booking: this.callCount});
    const result = await this.send(entry, body);
    this.results.push(result);
    return result;
  }

  /** Returns each contradiction between a result and the recorded runs. */
  findContradictions(runs: ReadonlyMap<string, number>): string[] {
    return this.results.flatMap(({body, outcome, isCut}) => {
      const ran =
        runs.get(
          `POST ${this.path.replace(/^\/services\/[^/]+/, '')} ${body}`,
        ) ?? 0;
      const found: string[] = [];
      if (ran > 1) found.push(`${body} ran ${ran} times`);
      if (outcome === 'done' && !isCut && ran !== 1) {
        found.push(`${body} returned done and ran ${ran} times`);
      }
      if (outcome === 'not-run' && ran !== 0) {
        found.push(`${body} returned not-run and ran`);
      }
      return found;
    });
  }

  private async send(entry: Daemon, body: string): Promise<CallResult> {
    const unanswered = {body, status: 0, outcome: '', retryAfter: ''};
    try {
      const res = await request(`${entry.callers}${this.path}`, {
        method: 'POST',
        headers: {authorization: `Bearer ${this.token}`},
        body,
      });
      const outcome = String(res.headers['baobabspan-outcome']);
      const retryAfter = String(res.headers['retry-after'] ?? '');
      const result = {body, status: res.statusCode, outcome, retryAfter};
      const isCut = await res.body.text().then(
        () => false,
        () => true,
      );
      return {...result, isCut};
    } catch {
      return {...unanswered, isCut: true};
    }
  }
}

/** Returns the number of runs of each call over all given upstreams. */
export async function runsAt(
  urls: readonly string[],
): Promise<Map<string, number>> {
  const total = new Map<string, number>();
  for (const url of urls) {
    const res = await request(`${url}/control/runs`);
    const runs = (await res.body.json()) as Record<string, number>;
    for (const [call, count] of Object.entries(runs)) {
      total.set(call, (total.get(call) ?? 0) + count);
    }
  }
  return total;
}
