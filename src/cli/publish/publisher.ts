import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {
  CONFIGURATION_STREAM,
  History,
  configurationRecord,
} from '../../configuration/index.js';
import type {Publication, Verdict} from '../../configuration/index.js';
import {offset} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {HttpLogClient} from '../../platform/index.js';

const READ_WAIT: Millis = 1_000;
const MAX_READS = 10;

/**
 * Publishes and learns from the log's order what became of it.
 * @param logUrl - address of the platform's log
 * @param publication - what to publish
 * @returns the verdict, or `publication_unsettled` or `log_unavailable`
 */
export async function publish(
  logUrl: string,
  publication: Publication,
): Promise<Result<Verdict, Fault>> {
  const log = new HttpLogClient(logUrl, CONFIGURATION_STREAM);
  // An append without an answer may have been taken: the log itself tells.
  const appended = await log.append(publication);
  const history = new History();
  for (let reads = 0; reads < MAX_READS; reads++) {
    const from = offset(history.folded.foldedTo + 1);
    const page = await log.read(from, READ_WAIT);
    if (page.isErr()) continue;
    for (const record of page.value.records) {
      const parsed = configurationRecord.safeParse(record.data);
      if (parsed.data?.kind === 'publication') {
        history.publish(record.offset, parsed.data);
      } else {
        history.skip(record.offset);
      }
    }
    const verdict = history.verdictOn(publication.id);
    if (verdict !== undefined) return ok(verdict);
  }
  if (appended.isErr()) return err(appended.error);
  return err(new Fault('publication_unsettled'));
}
