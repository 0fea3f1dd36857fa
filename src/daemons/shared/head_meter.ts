import type {IncomingMessage} from 'node:http';
/** Maximum size of one read of a connection, bytes. */
const READ_BYTES = 64 * 2 ** 10;

/** Bytes of a connection that its parser was passed. */
export interface ParsedBytes {
  readonly bytesParsed: number;
}

/** Measures the head that a connection is sending; its parser tells nothing. */
export class HeadMeter {
  private latest: IncomingMessage | undefined;
  /** Bytes read when the latest request was accepted, or its body was read. */
  private bytesAtLatest = 0;
  /** Bytes of these that follow the latest request. */
  private bytesBehindLatest = 0;
  /** Bytes of the latest request's body that were not read when it was accepted. */
  private bodyToCome = 0;

  /** @param input - input of the connection's parser */
  constructor(private readonly input: ParsedBytes) {}

  /** Bytes of a head whose end was not read. */
  get unfinishedBytes(): number {
    if (this.latest?.complete === false) return 0;
    return this.bytesSinceLatest + this.bytesBehindLatest;
  }

  /** Bytes read since the latest request was accepted that are not its body. */
  private get bytesSinceLatest(): number {
    const {bytesParsed: bytesRead} = this.input;
    return Math.max(0, bytesRead - this.bytesAtLatest - this.bodyToCome);
  }

  /**
   * Records a request whose head was read.
   * @param req - the request
   * @param head - bytes of its head
   */
  recordRequest(req: IncomingMessage, head: number): void {
    const {bytesParsed: bytesRead} = this.input;
    const size = head + Number(req.headers['content-length'] ?? 0);
    // One read at most: the reads before it brought parts of this request.
    const read = Math.min(this.bytesSinceLatest, READ_BYTES);
    const isSameRead = bytesRead === this.bytesAtLatest;
    const behind = (isSameRead ? this.bytesBehindLatest : read) - size;
    this.bytesBehindLatest = Math.max(0, behind);
    this.bodyToCome = Math.max(0, -behind);
    this.bytesAtLatest = bytesRead;
    this.latest = req;
  }

  /**
   * Records the end of a request's body.
   * @param req - the request
   */
  recordEnd(req: IncomingMessage): void {
    const {bytesParsed: bytesRead} = this.input;
    const isChunked = req.headers['transfer-encoding'] !== undefined;
    if (req !== this.latest) return;
    if (!isChunked && bytesRead === this.bytesAtLatest) return;
    this.bytesAtLatest = bytesRead;
    this.bytesBehindLatest = 0;
    this.bodyToCome = 0;
  }
}

/**
 * Returns the length of a request's head, unless its headers are oddly spaced.
 * @param req - the request
 */
export function headBytes({
  method = '',
  url = '',
  rawHeaders,
}: IncomingMessage): number {
  const lineAndEnd = method.length + url.length + ' HTTP/1.1 '.length + 4;
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, lineAndEnd);
}
