import {offset as asOffset, version as asVersion} from '../core/index.js';
import type {Offset, RecordId, Version} from '../core/index.js';
import {parseConfiguration} from './parse.js';
import type {Checkpoint, Configuration, Publication, Verdict} from './types.js';

/** The part of the state that travels between processes. */
export interface FoldedState {
  readonly version: Version;
  readonly text: string;
  readonly author: string;
  /** Greatest offset that the state includes; -1 before the first record. */
  readonly foldedTo: Offset;
}

const EMPTY: FoldedState = {
  version: asVersion(0),
  text: '',
  author: '',
  foldedTo: asOffset(-1),
};

/** Publications whose verdict is remembered for operators who ask. */
const REMEMBERED_VERDICTS = 1_000;

/**
 * Folds the records of the configuration stream into the version in force.
 * The result depends on the records and their order alone.
 */
export class History {
  private state: FoldedState = EMPTY;
  private configuration: Configuration | undefined;
  private readonly verdicts = new Map<RecordId, Verdict>();

  /** The state to hand to peers. */
  get folded(): FoldedState {
    return this.state;
  }

  /** The configuration in force, if any was accepted. */
  get inForce(): Configuration | undefined {
    return this.configuration;
  }

  /**
   * What became of a publication, while it is remembered.
   * @param id - the publication's id
   */
  verdictOn(id: RecordId): Verdict | undefined {
    return this.verdicts.get(id);
  }

  /**
   * Folds one publication.
   * @param at - its offset; anything already folded is ignored
   * @param publication - the record
   * @returns its verdict, or nothing when it was folded before
   */
  publish(at: Offset, publication: Publication): Verdict | undefined {
    if (at <= this.state.foldedTo) return this.verdicts.get(publication.id);
    const known = this.verdicts.get(publication.id);
    const verdict = known ?? this.judge(publication);
    this.state = {...this.state, foldedTo: at};
    if (known !== undefined) return known;
    this.remember(publication.id, verdict);
    return verdict;
  }

  /**
   * Passes over a record that changes nothing.
   * @param at - its offset
   */
  skip(at: Offset): void {
    if (at <= this.state.foldedTo) return;
    this.state = {...this.state, foldedTo: at};
  }

  /**
   * Takes over a state that was folded further than this one.
   * @param other - a peer's state or a trusted checkpoint
   * @returns whether it was taken
   */
  adopt(other: FoldedState): boolean {
    if (other.foldedTo <= this.state.foldedTo) return false;
    if (other.version < this.state.version) return false;
    const parsed = parseConfiguration(other.text);
    if (parsed.isErr() && other.version > 0) return false;
    this.state = other;
    this.configuration = parsed.isOk() ? parsed.value : undefined;
    return true;
  }

  /**
   * A record that lets later readers start without the older records.
   * @param id - id of the new record
   */
  checkpoint(id: RecordId): Checkpoint {
    const {version, text, foldedTo} = this.state;
    return {kind: 'checkpoint', id, version, text, foldedTo};
  }

  private judge({base, text, author}: Publication): Verdict {
    const {version, author: winner} = this.state;
    const refused = {accepted: false, version, author: winner} as const;
    if (base !== version) {
      const detail = `based on ${base}, but ${version} is in force`;
      return {...refused, reason: 'stale_base', detail};
    }
    const parsed = parseConfiguration(text);
    if (parsed.isErr()) {
      const [first] = parsed.error;
      const detail = `${first?.line}:${first?.column}: ${first?.message}`;
      return {...refused, reason: 'invalid_text', detail};
    }
    const next = asVersion(version + 1);
    this.configuration = parsed.value;
    this.state = {...this.state, version: next, text, author};
    return {accepted: true, version: next};
  }

  private remember(id: RecordId, verdict: Verdict): void {
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= REMEMBERED_VERDICTS) return;
    const [oldest] = this.verdicts.keys();
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }
}
