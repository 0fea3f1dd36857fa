import {offset as asOffset} from '../core/index.js';
import type {LogPage, LogRecord, Offset, RecordId} from '../core/index.js';
import {History} from './history.js';
import {configurationRecord} from './records.js';
import type {ConfigurationRecord} from './records.js';
import type {TextParser} from './text_parser.js';
import type {Checkpoint, FoldedState, Verdict} from './types.js';

/** What a page of the log brought. */
export interface PageReport {
  /** Publications that were judged, with their verdicts. */
  readonly verdicts: readonly {id: RecordId; verdict: Verdict}[];
  /** Offsets of records that are no configuration records. */
  readonly malformed: readonly Offset[];
  /** Checkpoints of the page, trusted or not. */
  readonly checkpoints: readonly {at: Offset; checkpoint: Checkpoint}[];
  /** Whether a checkpoint of the page was taken over. */
  readonly restored: boolean;
}

interface ReadRecord {
  readonly at: Offset;
  readonly record: ConfigurationRecord | undefined;
}

function readRecord({offset, data}: LogRecord): ReadRecord {
  return {at: offset, record: configurationRecord.safeParse(data).data};
}

/**
 * Reads the configuration stream in order and folds it. It never folds over
 * records that it has not seen: where retention took some, it waits for a
 * checkpoint or a peer's state that includes them.
 */
export class LogFollower {
  /** The fold itself. */
  readonly history: History;
  /** Greatest offset that was looked at, folded or not. */
  private scannedTo = asOffset(-1);
  private known: {earliest: Offset; next: Offset} | undefined;

  /** @param parser - judges texts */
  constructor(parser?: TextParser) {
    this.history = new History(parser);
  }

  /** Offset to read from next. */
  get position(): Offset {
    return asOffset(Math.max(this.scannedTo, this.foldedTo) + 1);
  }

  /** Whether retention took records that were never folded here. */
  get hasGap(): boolean {
    const {known, foldedTo} = this;
    return known !== undefined && known.earliest > foldedTo + 1;
  }

  /** Whether all that the log showed last is folded. */
  get caughtUp(): boolean {
    const {known, foldedTo} = this;
    return known !== undefined && foldedTo + 1 >= known.next;
  }

  /** Bounds of the log as the last page gave them. */
  get window(): {earliest: Offset; next: Offset} | undefined {
    return this.known;
  }

  /**
   * Takes in a page.
   * @param page - what the log answered
   */
  take(page: LogPage): PageReport {
    const {earliest, next} = page;
    this.known = {earliest, next};
    const records = page.records.map(readRecord);
    const restored = this.restore(records, earliest);
    const verdicts: {id: RecordId; verdict: Verdict}[] = [];
    for (const {at, record} of records) {
      const verdict = this.fold(at, record);
      if (verdict !== undefined && record) {
        verdicts.push({id: record.id, verdict});
      }
    }
    this.scan(records, earliest);
    return {
      verdicts,
      malformed: records
        .filter(({record}) => record === undefined)
        .map(({at}) => at),
      checkpoints: records.flatMap(({at, record}) =>
        record?.kind === 'checkpoint' ? [{at, checkpoint: record}] : [],
      ),
      restored,
    };
  }

  /**
   * Takes over a peer's state.
   * @param state - a true fold
   * @returns whether it was further than this one
   */
  adopt(state: FoldedState): boolean {
    if (!this.history.adopt(state)) return false;
    // Records after it were perhaps looked at but not folded: read them again.
    this.scannedTo = state.foldedTo;
    return true;
  }

  private get foldedTo(): Offset {
    return this.history.folded.foldedTo;
  }

  /** Adopts the first checkpoint that bridges a gap or a blocked record. */
  private restore(records: readonly ReadRecord[], earliest: Offset): boolean {
    const stuckAt = this.history.blockedAt;
    if (!this.hasGap && stuckAt === undefined) return false;
    const wanted = Math.max(earliest - 1, stuckAt ?? -1);
    for (const {at, record} of records) {
      if (record?.kind !== 'checkpoint') continue;
      // It cannot include itself, nor stand for records that are gone.
      if (record.foldedTo >= at || record.foldedTo < wanted) continue;
      const {kind: _kind, id: _id, ...state} = record;
      if (this.adopt(state)) return true;
    }
    return false;
  }

  private fold(
    at: Offset,
    record: ConfigurationRecord | undefined,
  ): Verdict | undefined {
    if (record?.kind === 'publication') return this.history.publish(at, record);
    this.history.skip(at);
    return undefined;
  }

  private scan(records: readonly ReadRecord[], earliest: Offset): void {
    const last = records.at(-1)?.at ?? this.scannedTo;
    const isStuck = this.hasGap || this.history.blockedAt !== undefined;
    // Unless it is stuck, what was not folded is read again.
    const seen = isStuck ? Math.max(last, earliest - 1) : this.foldedTo;
    this.scannedTo = asOffset(Math.max(seen, this.foldedTo));
  }
}
