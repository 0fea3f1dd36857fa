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
 * breaks off inside an event can resume with the next complete one.
 */
export class EventFramer {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Adds received bytes.
   * @param chunk - the bytes
   * @returns the events that are now complete
   */
  push(chunk: Buffer): EventFrame[] {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: EventFrame[] = [];
    for (;;) {
      const end = endOfEvent(this.pending);
      if (end === undefined) return frames;
      const bytes = this.pending.subarray(0, end);
      this.pending = this.pending.subarray(end);
      frames.push({bytes, id: idOf(bytes)});
    }
  }

  /** Whether the unfinished event exceeds the size limit. */
  get isOverlong(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Whether an event was begun and not completed; line ends don't begin one. */
  get isWithinEvent(): boolean {
    return this.pending.some(
      byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN,
    );
  }

  /** Returns the bytes after the last complete event. */
  rest(): Buffer {
    return this.pending;
  }
}

/** Returns the position after the first blank line. */
function endOfEvent(bytes: Buffer): number | undefined {
  let at = bytes.indexOf(LINE_FEED);
  while (at !== -1) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) next += 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}

function idOf(bytes: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(bytes.toString('latin1'));
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
