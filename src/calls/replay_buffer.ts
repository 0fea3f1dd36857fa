import type {AnswerMessage} from './messages.js';

type Head = Extract<AnswerMessage, {type: 'head'}>;

/** Head of an answer, without its attempt id. */
export type AnswerHead = Pick<Head, 'status' | 'headers' | 'firstEvent'>;

/** One piece of an answer. */
export interface AnswerPiece {
  readonly body: Uint8Array<ArrayBuffer>;
  /** Index in the whole stream, if the answer is split into events. */
  readonly event?: number | undefined;
}

/** Buffers an answer for replay, up to a size limit. */
export class ReplayBuffer {
  private pieces: AnswerPiece[] = [];
  private answerHead: AnswerHead | undefined;
  private isRetained = true;
  private frameCount = 0;
  private totalBytes = 0;

  /** @param maxBytes - maximum size to retain, bytes; 0 retains nothing */
  constructor(private readonly maxBytes: number) {
    this.isRetained = maxBytes > 0;
  }

  /** Number of received pieces. */
  get frames(): number {
    return this.frameCount;
  }

  /** Number of received bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Number of retained bytes. */
  get retainedBytes(): number {
    return this.isRetained ? this.totalBytes : 0;
  }

  /** The head, once received. */
  get head(): AnswerHead | undefined {
    return this.answerHead;
  }

  /**
   * Stores the head.
   * @param head - the head
   */
  setHead(head: AnswerHead): void {
    this.answerHead = head;
  }

  /**
   * Appends a piece, or discards the buffer beyond its limit.
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

  /** Discards all pieces; later ones are not retained either. */
  discard(): void {
    this.isRetained = false;
    this.pieces = [];
  }

  /**
   * Returns the pieces from a sequence number on.
   * @param seq - first sequence number; pieces count from 1
   * @returns the pieces, or undefined if they are not all retained
   */
  piecesFrom(seq: number): readonly AnswerPiece[] | undefined {
    const first = Math.max(seq, 1);
    if (first > this.frameCount) return [];
    return this.isRetained ? this.pieces.slice(first - 1) : undefined;
  }
}
