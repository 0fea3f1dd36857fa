const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Memory that one unfinished event may take; sound events hold a few tokens. */
const MAX_EVENT_BYTES = 2 ** 18;

/** A whole event of a stream, as its bytes came. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** The event's id, if it has a numeric one. */
  readonly id: number | undefined;
}

/**
 * Cuts a stream of events at their ends, so that a stream which breaks off
 * inside an event can go on with the next whole one.
 */
export class EventFramer {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes.
   * @param chunk - the bytes
   * @returns the events that are whole now
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

  /** Whether the event that has begun is longer than any sound one. */
  get isOverlong(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Bytes after the last whole event. */
  rest(): Buffer {
    return this.pending;
  }
}

/** Position after the first blank line. */
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

/** Which events of a stream the caller has. */
export class StreamProgress {
  private last: number | undefined;
  private events = 0;

  /** @param resumedAfter - id that the caller itself resumes after */
  constructor(resumedAfter: number | undefined) {
    this.last = resumedAfter;
  }

  /** Id of the newest event that the caller has. */
  get lastId(): number | undefined {
    return this.last;
  }

  /** Events that were delivered. */
  get delivered(): number {
    return this.events;
  }

  /**
   * Whether an event is to be delivered; a run that was resumed may repeat
   * some.
   * @param frame - the event
   */
  accept({id}: EventFrame): boolean {
    if (id !== undefined && this.last !== undefined && id <= this.last) {
      return false;
    }
    if (id !== undefined) this.last = id;
    this.events += 1;
    return true;
  }
}
