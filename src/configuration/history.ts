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

/** Publications whose verdict is retained for queries of operators. */
const MAX_VERDICTS = 1_000;

/** A configuration and its version. */
export interface VersionInForce {
  readonly version: Version;
  readonly cfg: Configuration;
}

/**
 * Folds the records of the configuration stream into the version in force.
 * The result depends on the records and their order alone, not on the process,
 * the time or the trusted state that the fold started from. Duplicates need no
 * table of ids: after the first is accepted, the base of the others is stale.
 */
export class History {
  private state: FoldedState = EMPTY;
  private newestReadable: VersionInForce | undefined;
  private blockedOffset: Offset | undefined;
  private readonly verdicts = new Map<RecordId, Verdict>();

  /** @param parser - validates texts */
  constructor(private readonly parser: TextParser = new CurrentTextParser()) {}

  /** The state to relay to peers, whether this program can read it or not. */
  get folded(): FoldedState {
    return this.state;
  }

  /** The newest version that this program can read, if there is one. */
  get inForce(): VersionInForce | undefined {
    return this.newestReadable;
  }

  /**
   * Offset of a publication that only a newer program can validate. Folding
   * stops there until a state that includes it is adopted.
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
   * Returns the verdict on a publication, while it is retained.
   * @param id - the publication's id
   */
  verdictOf(id: RecordId): Verdict | undefined {
    const {version, publicationId} = this.state;
    if (version > 0 && publicationId === id) return {accepted: true, version};
    return this.verdicts.get(id);
  }

  /**
   * Folds one publication.
   * @param at - its offset; ignored unless it follows the last folded one
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
   * Advances past a record that does not change the state.
   * @param at - its offset; ignored unless it follows the last folded one
   */
  skip(at: Offset): void {
    if (this.isNext(at)) this.state = {...this.state, foldedTo: at};
  }

  /**
   * Adopts a state that was folded further than this one. The caller ensures
   * that it is a correct fold: a peer's state or a trusted checkpoint.
   * @param other - the state
   * @returns whether it was adopted
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
   * Returns a record that lets new readers start without the older records.
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
    // A duplicate of an accepted publication keeps the verdict of the first.
    if (this.verdicts.get(id)?.accepted === true) return;
    this.verdicts.delete(id);
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= MAX_VERDICTS) return;
    const [oldest] = this.verdicts.keys();
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }
}
