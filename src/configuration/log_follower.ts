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

interface ParsedRecord {
  readonly at: Offset;
  readonly record: ConfigurationRecord | undefined;
}

function parseRecord({offset, data}: LogRecord): ParsedRecord {
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
  private lastBounds: {earliest: Offset; next: Offset} | undefined;

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
    const {lastBounds, foldedTo} = this;
    return lastBounds !== undefined && lastBounds.earliest > foldedTo + 1;
  }

  /** Whether all that the log showed last is folded. */
  get isCaughtUp(): boolean {
    const {lastBounds, foldedTo} = this;
    return lastBounds !== undefined && foldedTo + 1 >= lastBounds.next;
  }

  /** Bounds of the log as the last page gave them. */
  get logBounds(): {earliest: Offset; next: Offset} | undefined {
    return this.lastBounds;
  }

  /**
   * Takes in a page.
   * @param page - what the log answered
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
  private restoreFromCheckpoint(
    records: readonly ParsedRecord[],
    earliest: Offset,
  ): boolean {
    const blockedAt = this.history.blockedAt;
    if (!this.hasGap && blockedAt === undefined) return false;
    const requiredOffset = Math.max(earliest - 1, blockedAt ?? -1);
    for (const {at, record} of records) {
      if (record?.kind !== 'checkpoint') continue;
      // It cannot include itself, nor stand for records that are gone.
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
    // Unless it is stuck, what was not folded is read again.
    const scanned = isBlocked ? Math.max(last, earliest - 1) : this.foldedTo;
    this.scannedTo = asOffset(Math.max(scanned, this.foldedTo));
  }
}
