import type {KeyedStore} from '../../clients/index.js';
import type {Chance, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {coversReports} from '../../direct/index.js';
import type {CrashReport, Quarantine} from '../../direct/index.js';
import type {Logger} from '../../observability/index.js';
import {encodeReports} from './crash_report_exchange.js';

const STORE_RETRY_DELAY: Millis = SECOND;
/** Time within which one of the entries restores a record. */
const RESTORE_SPREAD: Millis = SECOND;
/** Limit of the platform's store. */
const MAX_KEY_BYTES = 255;
/** Removes a key from the store. */
const NO_VALUE = new Uint8Array(0);

/** The store and the topic of the quarantines, which outlive the entries. */
export interface QuarantineTopic {
  readonly store: KeyedStore;
  readonly topic: string;
}

/**
 * Writes the quarantines to the store, and restores those that the store has
 * lost: all entries know them, and the first one to write spares the others.
 */
export class QuarantineRecords {
  /** Values that are being written, by key. */
  private readonly unstored = new Map<string, Uint8Array>();
  /** Reports that the store lacks, by key, until this entry restores them. */
  private readonly lacking = new Map<string, readonly CrashReport[]>();
  private isStopped = false;

  /**
   * @param target - where the records are
   * @param chance - spreads the entries that restore a record
   * @param logger - logs records that could not be written, and restored ones
   */
  constructor(
    private readonly target: QuarantineTopic,
    private readonly chance: Chance,
    private readonly logger: Logger,
  ) {}

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Stores reports as the record of a quarantine.
   * @param quarantine - the quarantine
   * @param reports - the reports
   */
  store(quarantine: Quarantine, reports: readonly CrashReport[]): void {
    void this.put(keyOf(quarantine), encodeReports(reports));
  }

  /**
   * Removes the record of a quarantine.
   * @param quarantine - the quarantine
   */
  remove(quarantine: Quarantine): void {
    void this.put(keyOf(quarantine), NO_VALUE);
  }

  /**
   * Handles the loss of the store's last records.
   * @param quarantines - the present quarantines
   */
  recordLoss(quarantines: readonly Quarantine[]): void {
    for (const quarantine of quarantines) {
      this.restoreLater(keyOf(quarantine), quarantine.reports);
    }
  }

  /**
   * Compares a record of the store with what this entry knows.
   * @param key - key of the record
   * @param stored - its reports
   * @param known - this entry's versions of them
   */
  compare(
    key: string,
    stored: readonly CrashReport[],
    known: readonly CrashReport[],
  ): void {
    const expected = [...(this.lacking.get(key) ?? []), ...known];
    if (coversReports(stored, expected)) this.lacking.delete(key);
    else if (!coversReports(stored, known)) this.restoreLater(key, known);
  }

  private restoreLater(key: string, reports: readonly CrashReport[]): void {
    const isWaiting = this.lacking.has(key);
    this.lacking.set(key, reports);
    if (isWaiting) return;
    const delay = this.chance.fraction() * RESTORE_SPREAD;
    setTimeout(() => {
      const latest = this.lacking.get(key);
      if (latest === undefined || this.isStopped) return;
      this.lacking.delete(key);
      this.logger.info('quarantine_restored', {key, reports: latest.length});
      void this.put(key, encodeReports(latest));
    }, delay);
  }

  /**
   * Writes a record, with retries until it is stored. A later value of the same
   * key replaces one that was not stored yet.
   */
  private async put(key: string, value: Uint8Array): Promise<void> {
    const {store, topic} = this.target;
    const isWriting = this.unstored.has(key);
    this.unstored.set(key, value);
    if (isWriting) return;
    while (!this.isStopped) {
      const latest = this.unstored.get(key) ?? value;
      const put = await store.put(topic, key, latest);
      if (put.isErr()) {
        const {message: reason} = put.error;
        this.logger.warn('quarantine_not_stored', {key, reason});
        await new Promise(resolve => setTimeout(resolve, STORE_RETRY_DELAY));
      } else if (this.unstored.get(key) === latest) {
        this.unstored.delete(key);
        return;
      }
    }
  }
}

const keyOf = ({service, parts}: Quarantine) =>
  `${service}/${parts.join('+')}`.slice(0, MAX_KEY_BYTES);
