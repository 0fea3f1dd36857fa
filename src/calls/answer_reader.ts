import {SegmentedBuffer, isFinalStatus} from '../core/index.js';
import type {AnswerMessage} from './messages.js';
import type {EntryEffect} from './types.js';

/** A non-streaming answer is buffered up to this size, bytes. */
const MAX_BUFFERED_BYTES = 64 * 2 ** 10;

type Head = Extract<AnswerMessage, {type: 'head'}>;
type Data = Extract<AnswerMessage, {type: 'data'}>;
type End = Extract<AnswerMessage, {type: 'end'}>;

/** Effects of a frame; `broken` if the attempt can no longer be completed. */
type ReadResult = EntryEffect[] | 'broken';

/**
 * Assembles the frames of a call's attempts into one answer. A short answer is
 * buffered until it is complete; a stream is delivered at once, and resumes at
 * its next event when another attempt takes over.
 */
export class AnswerReader {
  private expectedSeq = 0;
  private receivedBytes = 0;
  /** Head and body that were received and not delivered. */
  private bufferedHead: EntryEffect | undefined;
  private readonly bufferedBody = new SegmentedBuffer();
  private delivering = false;
  /** Events delivered to the caller; undefined if not split into events. */
  private deliveredEvents: number | undefined;

  /** Whether delivery to the caller has started. */
  get isDelivering(): boolean {
    return this.delivering;
  }

  /** The next expected sequence number. */
  get nextSeq(): number {
    return this.expectedSeq;
  }

  /** Events after which another attempt may resume, if it may. */
  get resumeFrom(): number | undefined {
    return this.delivering ? this.deliveredEvents : undefined;
  }

  /** Resets the state for the next attempt. */
  restart(): void {
    this.expectedSeq = 0;
    this.receivedBytes = 0;
    this.bufferedHead = undefined;
    this.bufferedBody.clear();
    if (!this.delivering) this.deliveredEvents = undefined;
  }

  /**
   * Reads the head of an attempt's answer.
   * @param head - the head
   */
  readHead({status, headers, firstEvent}: Head): ReadResult {
    if (this.expectedSeq !== 0) return [{type: 'drop', why: 'repeated'}];
    if (!isFinalStatus(status)) return 'broken';
    this.expectedSeq = 1;
    if (this.delivering) return this.resume(firstEvent);
    this.bufferedHead = {type: 'head', status, headers};
    const type = headers['content-type'] ?? '';
    if (firstEvent !== undefined) {
      if (firstEvent !== 0) return 'broken';
      this.deliveredEvents = 0;
    }
    return type.startsWith('text/event-stream') ? this.flush() : [];
  }

  /**
   * Reads a piece of the answer.
   * @param data - the piece
   */
  readData({seq, body, event}: Data): ReadResult {
    if (seq < this.expectedSeq) return [{type: 'drop', why: 'repeated'}];
    if (seq > this.expectedSeq) return 'broken';
    this.expectedSeq += 1;
    this.receivedBytes += body.byteLength;
    if (this.deliveredEvents !== undefined) return this.readEvent(event, body);
    if (this.delivering) return [{type: 'body', bytes: body}];
    this.bufferedBody.append(body);
    return this.bufferedBody.size > MAX_BUFFERED_BYTES
      ? this.flush()
      : [{type: 'held'}];
  }

  /**
   * Reads the end and checks that the answer is complete.
   * @param end - frame and byte counts of the complete answer
   */
  readEnd({frames, bytes}: End): ReadResult {
    const isWhole =
      this.expectedSeq > 0 &&
      frames === this.expectedSeq - 1 &&
      bytes === this.receivedBytes;
    return isWhole ? [...this.flush(), {type: 'end'}] : 'broken';
  }

  private resume(firstEvent: number | undefined): ReadResult {
    const {deliveredEvents} = this;
    if (firstEvent === undefined || deliveredEvents === undefined)
      return 'broken';
    return firstEvent > deliveredEvents ? 'broken' : [];
  }

  private readEvent(event: number | undefined, body: Uint8Array): ReadResult {
    if (event === undefined || this.deliveredEvents === undefined)
      return 'broken';
    if (event < this.deliveredEvents) return [{type: 'drop', why: 'repeated'}];
    if (event > this.deliveredEvents) return 'broken';
    this.deliveredEvents += 1;
    return [{type: 'body', bytes: body}];
  }

  private flush(): EntryEffect[] {
    this.delivering = true;
    const {bufferedHead: head, bufferedBody: body} = this;
    const effects: EntryEffect[] = head === undefined ? [] : [head];
    this.bufferedHead = undefined;
    if (body.size > 0) effects.push({type: 'body', bytes: body.take()});
    return effects;
  }
}
