import {
  offset as asOffset,
  version as asVersion,
  recordId,
} from '../core/index.js';
import type {Offset, RecordId, Version} from '../core/index.js';
import {CurrentTextParser} from './text_parser.js';
import type {TextParser} from './text_parser.js';
import type {
  Checkpoint,
  Configuration,
  FoldedState,
  Publication,
  Verdict,
} from './types.js';

const EMPTY: FoldedState = {
  version: asVersion(0),
  text: '',
  author: '',
  publicationId: recordId(''),
  foldedTo: asOffset(-1),
};

/** Publications whose verdict is remembered for operators who ask. */
const MAX_VERDICTS = 1_000;

/** A configuration with the version that it is. */
export interface VersionInForce {
  readonly version: Version;
  readonly cfg: Configuration;
}

/**
 * Folds the records of the configuration stream into the version in force.
 * The result depends on the records and their order alone: never on who
 * folds, when, or from which trusted state it started. A repeated publication
 * needs no memory of ids: once accepted, its base is behind for good.
 */
export class History {
  private state: FoldedState = EMPTY;
  private newestReadable: VersionInForce | undefined;
  private blockedOffset: Offset | undefined;
  private readonly verdicts = new Map<RecordId, Verdict>();

  /** @param parser - judges texts */
  constructor(private readonly parser: TextParser = new CurrentTextParser()) {}

  /** The state to hand to peers, whether this program can read it or not. */
  get folded(): FoldedState {
    return this.state;
  }

  /** The newest version that this program can read, if there is one. */
  get inForce(): VersionInForce | undefined {
    return this.newestReadable;
  }

  /**
   * Offset of a publication that only a newer program can judge. Nothing is
   * folded from there on until a state that includes it is adopted.
   */
  get blockedAt(): Offset | undefined {
    return this.blockedOffset;
  }

  /** Whether the folded version is one that this program cannot read. */
  get isUnreadable(): boolean {
    const readable = this.newestReadable?.version ?? asVersion(0);
    return this.state.version > readable;
  }

  /**
   * What became of a publication, while it is remembered.
   * @param id - the publication's id
   */
  verdictOf(id: RecordId): Verdict | undefined {
    const {version, publicationId} = this.state;
    if (version > 0 && publicationId === id) return {accepted: true, version};
    return this.verdicts.get(id);
  }

  /**
   * Folds one publication.
   * @param at - its offset; only the one after the last folded is taken
   * @param publication - the record
   * @returns its verdict, or nothing when it was not folded
   */
  apply(at: Offset, publication: Publication): Verdict | undefined {
    if (!this.isNext(at)) return undefined;
    const verdict = this.evaluate(publication);
    if (verdict === undefined) {
      this.blockedOffset = at;
      return undefined;
    }
    this.state = {...this.state, foldedTo: at};
    this.recordVerdict(publication.id, verdict);
    return verdict;
  }

  /**
   * Passes over a record that changes nothing.
   * @param at - its offset; only the one after the last folded is taken
   */
  skip(at: Offset): void {
    if (this.isNext(at)) this.state = {...this.state, foldedTo: at};
  }

  /**
   * Takes over a state that was folded further than this one. The caller
   * vouches that it is a true fold: a peer's, or a trusted checkpoint.
   * @param other - the state
   * @returns whether it was taken
   */
  adopt(other: FoldedState): boolean {
    if (other.foldedTo <= this.state.foldedTo) return false;
    if (other.version < this.state.version) return false;
    const same = other.version === this.state.version;
    if (same && other.text !== this.state.text) return false;
    if (!same) {
      const parsed = this.parser.parse(other.text);
      // A text that no program accepts was never in force.
      if (parsed.isErr() && parsed.error.kind === 'invalid') return false;
      if (parsed.isOk()) {
        this.newestReadable = {version: other.version, cfg: parsed.value};
      }
    }
    this.state = other;
    if (
      this.blockedOffset !== undefined &&
      other.foldedTo >= this.blockedOffset
    ) {
      this.blockedOffset = undefined;
    }
    return true;
  }

  /**
   * A record that lets later readers start without the older records.
   * @param id - id of the new record
   */
  checkpoint(id: RecordId): Checkpoint {
    return {kind: 'checkpoint', id, ...this.state};
  }

  private isNext(at: Offset): boolean {
    return this.blockedOffset === undefined && at === this.state.foldedTo + 1;
  }

  private evaluate(publication: Publication): Verdict | undefined {
    const {base, text, author, id} = publication;
    const {version, author: currentAuthor} = this.state;
    const rejection = {
      accepted: false,
      version,
      author: currentAuthor,
    } as const;
    if (base !== version) {
      const detail = `based on ${base}, but ${version} is in force`;
      return {...rejection, reason: 'stale_base', detail};
    }
    const parsed = this.parser.parse(text);
    if (parsed.isErr()) {
      if (parsed.error.kind === 'newer_schema') return undefined;
      const {detail} = parsed.error;
      return {...rejection, reason: 'invalid_text', detail};
    }
    const next = asVersion(version + 1);
    this.newestReadable = {version: next, cfg: parsed.value};
    const {foldedTo} = this.state;
    this.state = {version: next, text, author, publicationId: id, foldedTo};
    return {accepted: true, version: next};
  }

  private recordVerdict(id: RecordId, verdict: Verdict): void {
    // A repeat of an accepted publication is told what the first was told.
    if (this.verdicts.get(id)?.accepted === true) return;
    this.verdicts.delete(id);
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= MAX_VERDICTS) return;
    const [oldest] = this.verdicts.keys();
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }
}
