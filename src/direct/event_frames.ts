import {SegmentedBuffer} from '../core/index.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Size limit of an unfinished event; valid events hold a few tokens. */
const MAX_EVENT_BYTES = 2 ** 18;

/** A complete event of a stream, byte for byte as received. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** Numeric id of the event, if it has one. */
  readonly id: number | undefined;
}

/**
 * Splits a server-sent event stream into complete events, so that a stream that
 * breaks off inside an event can resume with the next complete one. Each byte is
 * searched once, however small the chunks are that it comes in.
 */
export class EventFramer {
  private readonly pending = new SegmentedBuffer();
  /** Part of a line end and blank line that the bytes so far end with. */
  private matched: '' | 'LF' | 'LF CR' = '';

  /**
   * Adds received bytes.
   * @param chunk - the bytes
   * @returns the events that are now complete
   */
  push(chunk: Buffer): EventFrame[] {
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = this.endOfEvent(chunk, start);
      const part = chunk.subarray(start, end);
      if (end === undefined) {
        this.pending.append(part);
        return frames;
      }
      start = end;
      const bytes = this.complete(part);
      frames.push({bytes, id: idOf(bytes)});
    }
  }

  /** Whether the unfinished event exceeds the size limit. */
  get isOverlong(): boolean {
    return this.pending.size > MAX_EVENT_BYTES;
  }

  /** Whether an event was begun and not completed; line ends don't begin one. */
  get isWithinEvent(): boolean {
    return this.pending.some(
      byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN,
    );
  }

  /** Returns the bytes after the last complete event. */
  rest(): Buffer {
    return this.pending.join();
  }

  /** Returns the unfinished event with its last part. */
  private complete(part: Buffer): Buffer {
    if (this.pending.size === 0) return part;
    this.pending.append(part);
    return this.pending.take();
  }

  /** Returns the position after the first blank line from a position on. */
  private endOfEvent(chunk: Buffer, from: number): number | undefined {
    let at = from;
    while (at < chunk.length) {
      if (this.matched === '') {
        const lineEnd = chunk.indexOf(LINE_FEED, at);
        if (lineEnd === -1) return undefined;
        this.matched = 'LF';
        at = lineEnd + 1;
      } else if (chunk[at] === LINE_FEED) {
        this.matched = '';
        return at + 1;
      } else if (chunk[at] === CARRIAGE_RETURN && this.matched === 'LF') {
        this.matched = 'LF CR';
        at += 1;
      } else this.matched = '';
    }
    return undefined;
  }
}

function idOf(bytes: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(bytes.toString('latin1'));
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
