import {SegmentedBuffer} from '../core/index.js';
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

/** Memory of a retained piece beside its bytes: its length and event, bytes. */
const PIECE_OVERHEAD = 16;

/**
 * Buffers an answer for replay, up to a size limit. Retained pieces share their memory:
 * as objects, the pieces of a stream would take many times its bytes.
 */
export class ReplayBuffer {
  private readonly content = new SegmentedBuffer();
  /** Lengths of the retained pieces, bytes. */
  private lengths: number[] = [];
  private events: AnswerPiece['event'][] = [];
  private answerHead: AnswerHead | undefined;
  private isRetained = true;
  private frameCount = 0;
  private totalBytes = 0;

  /** @param maxBytes - most memory of retained pieces, bytes; 0 retains nothing */
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

  /** Memory of the retained pieces, bytes. */
  get retainedBytes(): number {
    return this.isRetained ? this.memory : 0;
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
    if (this.memory > this.maxBytes) this.discard();
    if (this.isRetained) {
      this.content.append(piece.body);
      this.lengths.push(piece.body.byteLength);
      this.events.push(piece.event);
    }
    return this.frameCount;
  }

  /** Discards all pieces; later ones are not retained either. */
  discard(): void {
    this.isRetained = false;
    this.content.clear();
    this.lengths = [];
    this.events = [];
  }

  /**
   * Returns the pieces from a sequence number on.
   * @param seq - first sequence number; pieces count from 1
   * @returns the pieces, or undefined if they are not all retained
   */
  piecesFrom(seq: number): readonly AnswerPiece[] | undefined {
    const first = Math.max(seq, 1);
    if (first > this.frameCount) return [];
    return this.isRetained ? this.restore(first - 1) : undefined;
  }

  private get memory(): number {
    return this.totalBytes + PIECE_OVERHEAD * this.frameCount;
  }

  /** Returns the retained pieces from an index on. */
  private restore(from: number): AnswerPiece[] {
    const content = this.content.join();
    let end = 0;
    const pieces: AnswerPiece[] = [];
    for (const [index, length] of this.lengths.entries()) {
      const start = end;
      end += length;
      if (index < from) continue;
      const body = new Uint8Array(content.subarray(start, end));
      pieces.push({body, event: this.events[index]});
    }
    return pieces;
  }
}
