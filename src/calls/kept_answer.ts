import type {AnswerMessage} from './messages.js';

type Head = Extract<AnswerMessage, {type: 'head'}>;

/** The head of an answer, without whose it is. */
export type AnswerHead = Pick<Head, 'status' | 'headers' | 'firstEvent'>;

/** One piece of an answer. */
export interface AnswerPiece {
  readonly body: Uint8Array<ArrayBuffer>;
  /** Index in the whole stream, when the answer is split into its events. */
  readonly event?: number | undefined;
}

/** An answer as it comes, kept as far as the bound allows. */
export class KeptAnswer {
  private kept: AnswerPiece[] = [];
  private head: AnswerHead | undefined;
  private complete = true;
  private count = 0;
  private total = 0;

  /** @param limit - bytes to keep; 0 keeps nothing */
  constructor(private readonly limit: number) {
    this.complete = limit > 0;
  }

  /** Pieces that came. */
  get frames(): number {
    return this.count;
  }

  /** Bytes that came. */
  get bytes(): number {
    return this.total;
  }

  /** Bytes that are kept. */
  get keptBytes(): number {
    return this.complete ? this.total : 0;
  }

  /** The head, once it has come. */
  get start(): AnswerHead | undefined {
    return this.head;
  }

  /**
   * Takes the head.
   * @param head - the head
   */
  begin(head: AnswerHead): void {
    this.head = head;
  }

  /**
   * Takes a piece.
   * @param piece - the piece
   * @returns its sequence number
   */
  add(piece: AnswerPiece): number {
    this.count += 1;
    this.total += piece.body.byteLength;
    if (this.total > this.limit) this.drop();
    if (this.complete) this.kept.push(piece);
    return this.count;
  }

  /** Gives up what is kept. */
  drop(): void {
    this.complete = false;
    this.kept = [];
  }

  /**
   * The pieces from a sequence number on.
   * @param seq - the first; pieces count from 1
   * @returns the pieces, or nothing when they are not all kept
   */
  from(seq: number): readonly AnswerPiece[] | undefined {
    const first = Math.max(seq, 1);
    if (first > this.count) return [];
    return this.complete ? this.kept.slice(first - 1) : undefined;
  }
}
