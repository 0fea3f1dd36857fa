import {createParser} from 'eventsource-parser';
import type {EventSourceMessage} from 'eventsource-parser';

/** Splits a stream of server-sent events into one frame per event. */
export class EventSplitter {
  private readonly decoder = new TextDecoder();
  private readonly encoder = new TextEncoder();
  private completeEvents: Uint8Array<ArrayBuffer>[] = [];
  private readonly parser = createParser({
    onEvent: event =>
      this.completeEvents.push(this.encoder.encode(encodeEvent(event))),
  });

  /**
   * Parses the next bytes of the stream.
   * @param chunk - the next bytes
   * @returns the events that the bytes complete
   */
  push(chunk: Uint8Array): Uint8Array<ArrayBuffer>[] {
    this.parser.feed(this.decoder.decode(chunk, {stream: true}));
    return this.completeEvents.splice(0);
  }
}

function encodeEvent({id, event, data}: EventSourceMessage): string {
  const lines: string[] = [];
  if (id !== undefined) lines.push(`id: ${id}`);
  if (event !== undefined) lines.push(`event: ${event}`);
  for (const line of data.split('\n')) lines.push(`data: ${line}`);
  return `${lines.join('\n')}\n\n`;
}
