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
export class ReplayBuffer {
  private pieces: AnswerPiece[] = [];
  private answerHead: AnswerHead | undefined;
  private isRetained = true;
  private frameCount = 0;
  private totalBytes = 0;

  /** @param maxBytes - bytes to keep; 0 keeps nothing */
  constructor(private readonly maxBytes: number) {
    this.isRetained = maxBytes > 0;
  }

  /** Pieces that came. */
  get frames(): number {
    return this.frameCount;
  }

  /** Bytes that came. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Bytes that are kept. */
  get retainedBytes(): number {
    return this.isRetained ? this.totalBytes : 0;
  }

  /** The head, once it has come. */
  get head(): AnswerHead | undefined {
    return this.answerHead;
  }

  /**
   * Takes the head.
   * @param head - the head
   */
  setHead(head: AnswerHead): void {
    this.answerHead = head;
  }

  /**
   * Takes a piece.
   * @param piece - the piece
   * @returns its sequence number
   */
  append(piece: AnswerPiece): number {
    this.frameCount += 1;
    this.totalBytes += piece.body.byteLength;
    if (this.totalBytes > this.maxBytes) this.discard();
    if (this.isRetained) this.pieces.push(piece);
    return this.frameCount;
  }

  /** Gives up what is kept. */
  discard(): void {
    this.isRetained = false;
    this.pieces = [];
  }

  /**
   * The pieces from a sequence number on.
   * @param seq - the first; pieces count from 1
   * @returns the pieces, or nothing when they are not all kept
   */
  piecesFrom(seq: number): readonly AnswerPiece[] | undefined {
    const first = Math.max(seq, 1);
    if (first > this.frameCount) return [];
    return this.isRetained ? this.pieces.slice(first - 1) : undefined;
  }
}
