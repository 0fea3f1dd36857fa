import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {LogFollower} from '../../configuration/index.js';
import type {
  Checkpoint,
  FoldedState,
  Publication,
  Verdict,
} from '../../configuration/index.js';
import {offset, version} from '../../core/index.js';
import type {Millis, RecordId} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {compressRecord, expandRecord} from '../../clients/index.js';
import type {LogClient} from '../../clients/index.js';

const LONG_POLL_TIMEOUT: Millis = 1_000;
const RETRY_DELAY: Millis = 500;
/** Reads without a verdict after which a publication is unsettled. */
const MAX_READS = 10;

/** Publishes for one operator and reads the verdict from the log. */
export class Publisher {
  private readonly follower = new LogFollower();

  /** @param log - client of the configuration stream */
  constructor(private readonly log: LogClient) {}

  /** State that is folded from the records read so far. */
  get folded(): FoldedState {
    return this.follower.history.folded;
  }

  /**
   * Returns the verdict on a publication, if the records read so far give one.
   * @param id - id of the publication
   */
  verdictOf(id: RecordId): Verdict | undefined {
    return this.follower.history.verdictOf(id);
  }

  /**
   * Reads the log to its end.
   * @returns the folded state; `log_unavailable`, `log_gap` if records expired
   *     that no checkpoint covers, or `newer_schema`
   */
  async catchUp(): Promise<Result<FoldedState, Fault>> {
    for (let reads = 0; reads < MAX_READS; reads++) {
      const fault = await this.readPage(0);
      if (fault !== undefined) return err(fault);
      if (this.follower.isCaughtUp) return ok(this.folded);
    }
    const isBlocked = this.follower.history.blockedAt !== undefined;
    return err(new Fault(isBlocked ? 'newer_schema' : 'log_gap'));
  }

  /**
   * Appends a publication and reads the log until the verdict is known.
   * @param publication - publication to append
   * @returns the verdict; `publication_unsettled` if it stays unknown
   */
  async publish(publication: Publication): Promise<Result<Verdict, Fault>> {
    // An append without a response may have succeeded; the log shows whether.
    await this.log.append(compressRecord(publication));
    for (let reads = 0; reads < MAX_READS; reads++) {
      const fault = await this.readPage(LONG_POLL_TIMEOUT);
      if (fault) await new Promise(resolve => setTimeout(resolve, RETRY_DELAY));
      const verdict = this.verdictOf(publication.id);
      if (verdict !== undefined) return ok(verdict);
    }
    return err(new Fault('publication_unsettled'));
  }

  /**
   * Recovers from a log gap that no process and no checkpoint covers: appends a
   * checkpoint that replaces all expired records.
   * @param publication - publication to put in force
   * @returns the verdict; the first such checkpoint in the log wins
   */
  async recover(publication: Publication): Promise<Result<Verdict, Fault>> {
    const {id, base, author, text} = publication;
    const {next} = this.follower.logBounds ?? {next: 0};
    const checkpoint: Checkpoint = {
      kind: 'checkpoint',
      id,
      version: version(base + 1),
      text,
      author,
      publicationId: id,
      foldedTo: offset(next - 1),
    };
    await this.log.append(compressRecord(checkpoint));
    for (let reads = 0; reads < MAX_READS; reads++) {
      const fault = await this.readPage(LONG_POLL_TIMEOUT);
      if (fault) await new Promise(resolve => setTimeout(resolve, RETRY_DELAY));
      const verdict = this.verdictOf(id);
      if (verdict !== undefined) return ok(verdict);
      if (!this.follower.hasGap) return ok(this.staleBaseVerdict());
    }
    return err(new Fault('publication_unsettled'));
  }

  private staleBaseVerdict(): Verdict {
    const {version: current, author} = this.folded;
    const detail = 'another state was restored first';
    const reason = 'stale_base';
    return {accepted: false, reason, detail, version: current, author};
  }

  private async readPage(wait: Millis): Promise<Fault | undefined> {
    const page = await this.log.read(this.follower.position, wait);
    if (page.isErr()) return page.error;
    const records = page.value.records.map(({offset, data}) => ({
      offset,
      data: expandRecord(data),
    }));
    this.follower.applyPage({...page.value, records});
    return undefined;
  }
}
