import type {Framing} from './records.js';

/** Head of a response, as a caller read it. */
export interface ReadHead {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly framing: Framing;
}

/** What a reader tells its connection. */
export interface ReaderEvents {
  /** A head is complete. */
  onHead(head: ReadHead): void;
  /** A response is complete by its framing. */
  onWhole(head: ReadHead, body: Buffer): void;
  /** The bytes are no response. */
  onDefect(bytes: Buffer): void;
}

type State =
  | 'head'
  | 'length'
  | 'size'
  | 'chunk'
  | 'line_end'
  | 'trailer'
  | 'close'
  | 'broken';

const HEAD_END = '\r\n\r\n';
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})(?: |$)/;
const NO_BODY = [204, 304];

/** Parser of the raw responses on a connection. */
export class ResponseReader {
  private state: State = 'head';
  private input: Buffer = Buffer.alloc(0);
  private current: ReadHead | undefined;
  private body: Buffer[] = [];
  private left = 0;

  /** @param events - told what was read */
  constructor(private readonly events: ReaderEvents) {}

  /** Head of the response that is being read. */
  get head(): ReadHead | undefined {
    return this.current;
  }

  /** Body of that response so far. */
  get partialBody(): Buffer {
    return Buffer.concat(this.body);
  }

  /**
   * Reads bytes.
   * @param bytes - the bytes
   */
  push(bytes: Buffer): void {
    this.input =
      this.input.length === 0 ? bytes : Buffer.concat([this.input, bytes]);
    while (this.step());
  }

  /** Ends the response that its connection delimits, at an orderly close. */
  endInOrder(): void {
    if (this.state === 'close') this.finish();
  }

  private step(): boolean {
    switch (this.state) {
      case 'head':
        return this.readHead();
      case 'size':
        return this.readLine(line => {
          this.left = /^[0-9a-f]+$/i.test(line) ? parseInt(line, 16) : NaN;
          if (Number.isNaN(this.left)) this.fail(line);
          else this.state = this.left === 0 ? 'trailer' : 'chunk';
        });
      case 'line_end':
        return this.readLine(line => {
          if (line === '') this.state = 'size';
          else this.fail(line);
        });
      case 'trailer':
        return this.readLine(line => {
          if (line === '') this.finish();
        });
      case 'length':
      case 'chunk':
        return this.readPart();
      case 'close':
        if (this.input.length > 0) this.body.push(this.take(this.input.length));
        return false;
      case 'broken':
        return false;
    }
  }

  private readHead(): boolean {
    if (this.input.length === 0) return false;
    const end = this.input.indexOf(HEAD_END);
    const text = this.input
      .subarray(0, end === -1 ? 16 : end)
      .toString('latin1');
    if (!'HTTP/1.'.startsWith(text.slice(0, 7))) {
      this.fail();
      return false;
    }
    if (end === -1) return false;
    this.take(end + HEAD_END.length);
    const [line = '', ...lines] = text.split('\r\n');
    const status = Number(STATUS_LINE.exec(line)?.[1] ?? 0);
    if (status >= 100 && status < 200) return true;
    const headers = new Map(
      lines.map((one): [string, string] => {
        const at = one.indexOf(':');
        return [one.slice(0, at).toLowerCase(), one.slice(at + 1).trim()];
      }),
    );
    const length = headers.get('content-length');
    const isChunked = headers.get('transfer-encoding') === 'chunked';
    const framing: Framing = isChunked
      ? 'chunks'
      : length === undefined
        ? 'close'
        : 'length';
    this.current = {status, headers, framing};
    this.left = NO_BODY.includes(status) ? 0 : Number(length ?? 0);
    this.state = framing === 'chunks' ? 'size' : framing;
    this.events.onHead(this.current);
    if (framing === 'length' && this.left === 0) this.finish();
    return true;
  }

  private readPart(): boolean {
    if (this.input.length === 0) return false;
    const part = this.take(Math.min(this.left, this.input.length));
    this.left -= part.length;
    this.body.push(part);
    if (this.left > 0) return false;
    if (this.state === 'length') this.finish();
    else this.state = 'line_end';
    return true;
  }

  private readLine(use: (line: string) => void): boolean {
    const end = this.input.indexOf('\r\n');
    if (end === -1) return false;
    use(
      this.take(end + 2)
        .subarray(0, end)
        .toString('latin1'),
    );
    return true;
  }

  private take(length: number): Buffer {
    const part = this.input.subarray(0, length);
    this.input = this.input.subarray(length);
    return part;
  }

  private finish(): void {
    const {current, partialBody} = this;
    this.current = undefined;
    this.body = [];
    this.state = 'head';
    if (current !== undefined) this.events.onWhole(current, partialBody);
  }

  private fail(line = ''): void {
    this.state = 'broken';
    this.events.onDefect(Buffer.concat([Buffer.from(line), this.input]));
  }
}
