import type {Millis, Version} from '../../core/index.js';
import {EXIT, printError, print} from '../shared/command.js';
import {EstateCrawler, formatRow} from '../status/estate_crawler.js';

const POLL_INTERVAL: Millis = 250;

/**
 * Waits until a version is in force at all known processes; prints the
 * processes that lag at the timeout.
 * @param operatorAddress - operator address of any daemon, `host:port`
 * @param version - version to wait for
 * @param timeout - maximum wait, ms
 * @returns the exit code
 */
export async function waitInForce(
  operatorAddress: string,
  version: Version,
  timeout: Millis,
): Promise<number> {
  const deadline = performance.now() + timeout;
  for (;;) {
    const rows = await EstateCrawler.crawl(operatorAddress);
    const lagging = rows.filter(row => (row.version ?? 0) < version);
    if (rows.length > 0 && lagging.length === 0) {
      print(`version ${version} in force at ${rows.length} processes`);
      return EXIT.success;
    }
    if (performance.now() >= deadline) {
      printError(`version ${version} is not in force everywhere:`);
      if (rows.length === 0) printError(`${operatorAddress}: no answer`);
      lagging.forEach(row => printError(formatRow(row, version)));
      return EXIT.failure;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL));
  }
}
