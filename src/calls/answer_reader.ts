import type {AnswerMessage} from './messages.js';
import type {EntryEffect} from './types.js';

/** An answer that is not a stream is held back up to this size, bytes. */
const MAX_HELD = 64 * 2 ** 10;

type Head = Extract<AnswerMessage, {type: 'head'}>;
type Data = Extract<AnswerMessage, {type: 'data'}>;
type End = Extract<AnswerMessage, {type: 'end'}>;

/** What a frame leads to; `broken` when the attempt cannot become whole. */
type Read = EntryEffect[] | 'broken';

/**
 * Puts the frames of a call's attempts together to one answer. A short answer
 * is held back until it is whole; a stream flows, and goes on from its next
 * event when another attempt takes over.
 */
export class AnswerReader {
  private nextSeq = 0;
  private bytes = 0;
  private held: EntryEffect[] = [];
  private heldBytes = 0;
  private isFlowing = false;
  /** Events that the caller has; nothing when the answer is not split. */
  private events: number | undefined;

  /** Whether the caller got a part of the answer. */
  get flowing(): boolean {
    return this.isFlowing;
  }

  /** The sequence number that comes next. */
  get expected(): number {
    return this.nextSeq;
  }

  /** Events after which another attempt may go on, if one may. */
  get resumeFrom(): number | undefined {
    return this.isFlowing ? this.events : undefined;
  }

  /** Another attempt begins. */
  restart(): void {
    this.nextSeq = 0;
    this.bytes = 0;
    this.held = [];
    this.heldBytes = 0;
    if (!this.isFlowing) this.events = undefined;
  }

  /**
   * Takes the head of an attempt's answer.
   * @param head - the head
   */
  head({status, headers, firstEvent}: Head): Read {
    if (this.nextSeq !== 0) return [{type: 'drop', why: 'repeated'}];
    this.nextSeq = 1;
    if (this.isFlowing) return this.goOn(firstEvent);
    this.held.push({type: 'head', status, headers});
    const type = headers['content-type'] ?? '';
    if (firstEvent !== undefined) {
      if (firstEvent !== 0) return 'broken';
      this.events = 0;
    }
    return type.startsWith('text/event-stream') ? this.flow() : [];
  }

  /**
   * Takes a piece.
   * @param data - the piece
   */
  data({seq, body, event}: Data): Read {
    if (seq < this.nextSeq) return [{type: 'drop', why: 'repeated'}];
    if (seq > this.nextSeq) return 'broken';
    this.nextSeq += 1;
    this.bytes += body.byteLength;
    if (this.events !== undefined) return this.take(event, body);
    this.held.push({type: 'body', bytes: body});
    this.heldBytes += body.byteLength;
    return this.isFlowing || this.heldBytes > MAX_HELD
      ? this.flow()
      : [{type: 'held'}];
  }

  /**
   * Takes the end.
   * @param end - what the whole answer is
   */
  end({frames, bytes}: End): Read {
    const isWhole =
      this.nextSeq > 0 && frames === this.nextSeq - 1 && bytes === this.bytes;
    return isWhole ? [...this.flow(), {type: 'end'}] : 'broken';
  }

  private goOn(firstEvent: number | undefined): Read {
    const {events} = this;
    if (firstEvent === undefined || events === undefined) return 'broken';
    return firstEvent > events ? 'broken' : [];
  }

  private take(event: number | undefined, body: Uint8Array): Read {
    if (event === undefined || this.events === undefined) return 'broken';
    if (event < this.events) return [{type: 'drop', why: 'repeated'}];
    if (event > this.events) return 'broken';
    this.events += 1;
    return [{type: 'body', bytes: body}];
  }

  private flow(): EntryEffect[] {
    this.isFlowing = true;
    return this.held.splice(0);
  }
}
