import {headerPairs, malformedField} from '../core/index.js';
import type {HeaderLines} from '../core/index.js';

const LINE_FEED = 0x0a;
/** Size limit of a head, bytes; upstreams send none that is larger. */
const MAX_HEAD_BYTES = 16 * 2 ** 10;

const NO_BYTES = Buffer.alloc(0);
const PROTOCOL = Buffer.from('HTTP/1.');
/** The part of a status line that has a fixed length. */
const STATUS_LINE_START = 'HTTP/1.1 200 ';
const STATUS_LINE_START_PATTERN = /^HTTP\/1\.\d \d{3}[ \r\n]$/;
const STATUS_LINE = /^HTTP\/1\.\d (\d{3})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** Shorter prefixes of a head at the end of a body count as body, bytes. */
const MIN_PARTIAL_HEAD_BYTES = 'HTTP/'.length;
const CONTROL_CHARACTER = /[^\t\x20-\x7e\x80-\xff]/;
const PARTIAL_HEADER_LINE =
  /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?::[\t\x20-\x7e\x80-\xff]*)?$/;

/** A response head within a body. */
export interface EmbeddedHead {
  readonly status: number;
  readonly headers: HeaderLines;
}

/** Result of scanning a chunk. */
export interface ScanResult {
  /** Bytes that precede any head. */
  readonly body: Buffer;
  /** The head that follows these bytes; the scan ends with it. */
  readonly head?: EmbeddedHead;
  /** Bytes after the head. */
  readonly rest?: Buffer;
}

/**
 * Searches the bytes of a body for a response head. Bytes that may be the
 * beginning of one are held back. The result does not depend on chunk boundaries.
 */
export class EmbeddedHeadScanner {
  /** Bytes of a possible head; empty if there is none. */
  private held: Buffer = NO_BYTES;
  /** Begins with the held bytes, once some were appended, and has room for more. */
  private storage: Buffer = NO_BYTES;
  /** Offset in `held` of the line that is being read. */
  private lineStart = 0;
  /** Offset in `held` up to which no line end was found. */
  private scanned = 0;
  private lines: string[] = [];

  /** @param isHead - whether a syntactically valid head is that of a response */
  constructor(private readonly isHead: (head: EmbeddedHead) => boolean) {}

  /** Whether the bytes that are held back must be taken for a partial head. */
  get hasPartialHead(): boolean {
    if (this.held.length < MIN_PARTIAL_HEAD_BYTES) return false;
    const line = this.held.toString('latin1', this.lineStart);
    const text = line.replace(/\r$/, '');
    return this.lineStart === 0
      ? !CONTROL_CHARACTER.test(text)
      : text === '' || PARTIAL_HEADER_LINE.test(text);
  }

  /**
   * Scans a chunk.
   * @param chunk - the chunk
   */
  push(chunk: Buffer): ScanResult {
    const bytes = this.held.length === 0 ? chunk : this.append(chunk);
    let start = this.held.length === 0 ? protocolAt(bytes, 0) : 0;
    if (this.held.length > 0) this.held = bytes;
    else this.hold(bytes, start);
    while (start !== undefined) {
      const found = this.readLines();
      const body = bytes.subarray(0, start);
      if (found === 'partial') return {body};
      if (typeof found === 'object') {
        const rest = this.held.subarray(this.lineStart);
        return {body, head: found, rest};
      }
      start = protocolAt(bytes, start + found);
      this.hold(bytes, start);
    }
    return {body: bytes};
  }

  /** Returns the bytes that were held back; nothing follows them. */
  take(): Buffer {
    const bytes = this.held;
    this.hold(bytes, undefined);
    return bytes;
  }

  /** Returns the held bytes and a chunk, in storage whose growth doubles. */
  private append(chunk: Buffer): Buffer {
    const {held} = this;
    const size = held.length + chunk.length;
    const isStored = held.buffer === this.storage.buffer;
    if (!isStored || size > this.storage.length) {
      this.storage = Buffer.allocUnsafeSlow(2 * size);
      held.copy(this.storage);
    }
    chunk.copy(this.storage, held.length);
    return this.storage.subarray(0, size);
  }

  /** Holds back the bytes from the start of a possible head, if there is one. */
  private hold(bytes: Buffer, start = bytes.length): void {
    this.held = bytes.subarray(start);
    // Other bytes are passed on, and must not change.
    this.storage = NO_BYTES;
    this.lineStart = 0;
    this.scanned = 0;
    this.lines = [];
  }

  /**
   * Reads the lines of the possible head.
   * @returns the head; or the offset from which to search on if there is none
   */
  private readLines(): EmbeddedHead | 'partial' | number {
    const {held} = this;
    if (!mayBeStatusLine(held)) return 1;
    for (;;) {
      const end = held.indexOf(LINE_FEED, this.scanned);
      const size = (end === -1 ? held.length : end) + 1;
      if (size > MAX_HEAD_BYTES) {
        const last = MAX_HEAD_BYTES - PROTOCOL.length;
        return Math.max(1, held.lastIndexOf(PROTOCOL, last));
      }
      if (end === -1) {
        this.scanned = held.length;
        return 'partial';
      }
      const line = held
        .toString('latin1', this.lineStart, end)
        .replace(/\r$/, '');
      const defect = this.defectOf(line);
      if (defect !== undefined) return Math.max(1, this.lineStart + defect);
      this.lineStart = end + 1;
      this.scanned = this.lineStart;
      if (line !== '') {
        this.lines.push(line);
        continue;
      }
      const head = parseHead(this.lines);
      return this.isHead(head) ? head : this.lineStart;
    }
  }

  /** Returns the offset in a line after which a head may begin; undefined if valid. */
  private defectOf(line: string): number | undefined {
    if (this.lineStart > 0) {
      if (line === '' || malformedField([headerOf(line)]) === undefined)
        return undefined;
      return 0;
    }
    if (STATUS_LINE.test(line)) return undefined;
    const controls = [...line.matchAll(new RegExp(CONTROL_CHARACTER, 'g'))];
    return (controls.at(-1)?.index ?? 0) + 1;
  }
}

/** Returns the offset of a protocol name, or of its beginning at the end. */
function protocolAt(bytes: Buffer, from: number): number | undefined {
  const at = bytes.indexOf(PROTOCOL, from);
  if (at !== -1) return at;
  const length = Math.min(PROTOCOL.length - 1, bytes.length - from);
  for (let size = length; size > 0; size--) {
    const tail = bytes.subarray(bytes.length - size);
    if (tail.equals(PROTOCOL.subarray(0, size))) return bytes.length - size;
  }
  return undefined;
}

function mayBeStatusLine(bytes: Buffer): boolean {
  const text = bytes.toString('latin1', 0, STATUS_LINE_START.length);
  const start = text + STATUS_LINE_START.slice(text.length);
  return STATUS_LINE_START_PATTERN.test(start);
}

function headerOf(line: string): [string, string] {
  const colon = line.indexOf(':');
  if (colon === -1) return ['', line];
  return [line.slice(0, colon), line.slice(colon + 1).trim()];
}

function parseHead([statusLine = '', ...lines]: readonly string[]) {
  const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
  return {status, headers: headerPairs(lines.flatMap(headerOf))};
}
