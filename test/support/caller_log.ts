import {request} from 'undici';

import type {Daemon} from './estate.js';

/** What a caller was told of one call. */
export interface Told {
  readonly body: string;
  readonly status: number;
  readonly outcome: string;
  readonly retryAfter: string;
  /** Whether the connection broke before the answer was whole. */
  readonly cut: boolean;
}

/** Callers of one estate, and what each of them was told. */
export class CallerLog {
  readonly told: Told[] = [];
  private count = 0;

  /**
   * @param path - path of a call that is not idempotent
   * @param token - bearer token of the callers
   */
  constructor(
    private readonly path: string,
    private readonly token: string,
  ) {}

  /** Makes a call that nobody else makes. */
  async book(entry: Daemon): Promise<Told> {
    this.count += 1;
    const body = JSON.stringify({booking: this.count});
    const told = await this.send(entry, body);
    this.told.push(told);
    return told;
  }

  /** Every way in which what was told differs from what ran. */
  lies(runs: ReadonlyMap<string, number>): string[] {
    return this.told.flatMap(({body, outcome, cut}) => {
      const ran =
        runs.get(
          `POST ${this.path.replace(/^\/services\/[^/]+/, '')} ${body}`,
        ) ?? 0;
      const found: string[] = [];
      if (ran > 1) found.push(`${body} ran ${ran} times`);
      if (outcome === 'done' && !cut && ran !== 1) {
        found.push(`${body} was told done and ran ${ran} times`);
      }
      if (outcome === 'not-run' && ran !== 0) {
        found.push(`${body} was told not-run and ran`);
      }
      return found;
    });
  }

  private async send(entry: Daemon, body: string): Promise<Told> {
    const unanswered = {body, status: 0, outcome: '', retryAfter: ''};
    try {
      const res = await request(`${entry.callers}${this.path}`, {
        method: 'POST',
        headers: {authorization: `Bearer ${this.token}`},
        body,
      });
      const outcome = String(res.headers['baobabspan-outcome']);
      const retryAfter = String(res.headers['retry-after'] ?? '');
      const told = {body, status: res.statusCode, outcome, retryAfter};
      const cut = await res.body.text().then(
        () => false,
        () => true,
      );
      return {...told, cut};
    } catch {
      return {...unanswered, cut: true};
    }
  }
}

/** How often each call ran, over all the given upstreams. */
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
