import type {Millis, Version} from '../../core/index.js';
import {EXIT, complain, print} from '../shared/command.js';
import {EstateView, describeRow} from '../status/estate_view.js';

const ASK_EVERY: Millis = 250;

/**
 * Waits until a version is in force at all known processes.
 * @param operators - operator address of any daemon, `host:port`
 * @param version - the version
 * @param within - how long to wait, ms
 * @returns the exit code; the processes that lag are named
 */
export async function waitInForce(
  operators: string,
  version: Version,
  within: Millis,
): Promise<number> {
  const until = performance.now() + within;
  for (;;) {
    const rows = await EstateView.look(operators);
    const lagging = rows.filter(row => (row.version ?? 0) < version);
    if (rows.length > 0 && lagging.length === 0) {
      print(`version ${version} in force at ${rows.length} processes`);
      return EXIT.good;
    }
    if (performance.now() >= until) {
      complain(`version ${version} is not in force everywhere:`);
      if (rows.length === 0) complain(`${operators}: no answer`);
      lagging.forEach(row => complain(describeRow(row, version)));
      return EXIT.refused;
    }
    await new Promise(wake => setTimeout(wake, ASK_EVERY));
  }
}
