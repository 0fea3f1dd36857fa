import {createParser} from 'eventsource-parser';
import type {EventSourceMessage} from 'eventsource-parser';

import {SegmentedBuffer} from '../../core/index.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits a stream of server-sent events into one frame per event. */
export class EventSplitter {
  /** The unfinished line; the parser would keep a string for each part of it. */
  private readonly line = new SegmentedBuffer();
  private readonly decoder = new TextDecoder();
  private readonly encoder = new TextEncoder();
  /** Whether the lines so far end with a CR, which an LF may follow. */
  private endsWithCr = false;
  private completeEvents: Uint8Array<ArrayBuffer>[] = [];
  private readonly parser = createParser({
    onEvent: event =>
      this.completeEvents.push(this.encoder.encode(encodeEvent(event))),
  });

  /**
   * Parses the next bytes of the stream.
   * @param chunk - the next bytes, which must not change afterwards
   * @returns the events that the bytes complete
   */
  push(chunk: Buffer): Uint8Array<ArrayBuffer>[] {
    const end = endOfLastLine(chunk);
    if (end > 0) {
      this.line.append(chunk.subarray(0, end));
      const lines = this.line.take();
      const text = this.decoder.decode(lines, {stream: true});
      this.parser.feed(this.normalizeLineEnds(text));
    }
    this.line.append(chunk.subarray(end));
    return this.completeEvents.splice(0);
  }

  /** Ends lines with LF: the parser would search for a CR anew at each line. */
  private normalizeLineEnds(lines: string): string {
    const rest =
      this.endsWithCr && lines.startsWith('\n') ? lines.slice(1) : lines;
    this.endsWithCr = lines.endsWith('\r');
    return rest.includes('\r') ? rest.replaceAll(/\r\n?/g, '\n') : rest;
  }
}

/** Returns the position after the last line end, or 0 if there is none. */
function endOfLastLine(chunk: Buffer): number {
  const lineFeed = chunk.lastIndexOf(LINE_FEED);
  return Math.max(lineFeed, chunk.lastIndexOf(CARRIAGE_RETURN)) + 1;
}

function encodeEvent({id, event, data}: EventSourceMessage): string {
  const lines: string[] = [];
  if (id !== undefined) lines.push(`id: ${id}`);
  if (event !== undefined) lines.push(`event: ${event}`);
  for (const line of data.split('\n')) lines.push(`data: ${line}`);
  return `${lines.join('\n')}\n\n`;
}
