import {offset as asOffset} from '../core/index.js';
import type {LogPage, LogRecord, Offset, RecordId} from '../core/index.js';
import {History} from './history.js';
import {configurationRecord} from './records.js';
import type {ConfigurationRecord} from './records.js';
import type {TextParser} from './text_parser.js';
import type {Checkpoint, FoldedState, Verdict} from './types.js';

/** Result of applying a page of the log. */
export interface PageReport {
  /** Validated publications with their verdicts. */
  readonly verdicts: readonly {id: RecordId; verdict: Verdict}[];
  /** Offsets of records that are not valid configuration records. */
  readonly malformed: readonly Offset[];
  /** Checkpoints of the page, trusted or not. */
  readonly checkpoints: readonly {at: Offset; checkpoint: Checkpoint}[];
  /** Whether a checkpoint of the page was adopted. */
  readonly restored: boolean;
}

interface ParsedRecord {
  readonly at: Offset;
  readonly record: ConfigurationRecord | undefined;
}

function parseRecord({offset, data}: LogRecord): ParsedRecord {
  return {at: offset, record: configurationRecord.safeParse(data).data};
}

/**
 * Reads the configuration stream in order and folds it. It never folds past
 * records that it has not read: if retention deleted some, it waits for a
 * checkpoint or a peer's state that includes them.
 */
export class LogFollower {
  /** The folded state. */
  readonly history: History;
  /** Greatest offset that was read, folded or not. */
  private scannedTo = asOffset(-1);
  private lastBounds: {earliest: Offset; next: Offset} | undefined;

  /** @param parser - validates texts */
  constructor(parser?: TextParser) {
    this.history = new History(parser);
  }

  /** Offset of the next read. */
  get position(): Offset {
    return asOffset(Math.max(this.scannedTo, this.foldedTo) + 1);
  }

  /** Whether retention deleted records that were never folded here. */
  get hasGap(): boolean {
    const {lastBounds, foldedTo} = this;
    return lastBounds !== undefined && lastBounds.earliest > foldedTo + 1;
  }

  /** Whether every record up to the last known end of the log is folded. */
  get isCaughtUp(): boolean {
    const {lastBounds, foldedTo} = this;
    return lastBounds !== undefined && foldedTo + 1 >= lastBounds.next;
  }

  /** Bounds of the log according to the last page. */
  get logBounds(): {earliest: Offset; next: Offset} | undefined {
    return this.lastBounds;
  }

  /**
   * Folds the records of a page.
   * @param page - the response of the log
   */
  applyPage(page: LogPage): PageReport {
    const {earliest, next} = page;
    this.lastBounds = {earliest, next};
    const records = page.records.map(parseRecord);
    const restored = this.restoreFromCheckpoint(records, earliest);
    const verdicts: {id: RecordId; verdict: Verdict}[] = [];
    for (const {at, record} of records) {
      const verdict = this.foldRecord(at, record);
      if (verdict !== undefined && record) {
        verdicts.push({id: record.id, verdict});
      }
    }
    this.advanceScan(records, earliest);
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
   * Adopts a peer's state.
   * @param state - a correct fold
   * @returns whether it was adopted
   */
  adopt(state: FoldedState): boolean {
    if (!this.history.adopt(state)) return false;
    // Records after it may have been read but not folded: read them again.
    this.scannedTo = state.foldedTo;
    return true;
  }

  private get foldedTo(): Offset {
    return this.history.folded.foldedTo;
  }

  /** Adopts the first checkpoint that bridges a gap or a blocked record. */
  private restoreFromCheckpoint(
    records: readonly ParsedRecord[],
    earliest: Offset,
  ): boolean {
    const blockedAt = this.history.blockedAt;
    if (!this.hasGap && blockedAt === undefined) return false;
    const requiredOffset = Math.max(earliest - 1, blockedAt ?? -1);
    for (const {at, record} of records) {
      if (record?.kind !== 'checkpoint') continue;
      // It cannot include itself, and must include every deleted record.
      if (record.foldedTo >= at || record.foldedTo < requiredOffset) continue;
      const {kind: _kind, id: _id, ...state} = record;
      if (this.adopt(state)) return true;
    }
    return false;
  }

  private foldRecord(
    at: Offset,
    record: ConfigurationRecord | undefined,
  ): Verdict | undefined {
    if (record?.kind === 'publication') return this.history.apply(at, record);
    this.history.skip(at);
    return undefined;
  }

  private advanceScan(
    records: readonly ParsedRecord[],
    earliest: Offset,
  ): void {
    const last = records.at(-1)?.at ?? this.scannedTo;
    const isBlocked = this.hasGap || this.history.blockedAt !== undefined;
    // Unless folding is blocked, records that were not folded are read again.
    const scanned = isBlocked ? Math.max(last, earliest - 1) : this.foldedTo;
    this.scannedTo = asOffset(Math.max(scanned, this.foldedTo));
  }
}
