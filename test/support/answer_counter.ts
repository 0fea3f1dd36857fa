import type {Socket} from 'node:net';

/** End of a head. */
const HEAD_END = '\r\n\r\n';

/** Counts the whole answers with a length that a caller reads, by status. */
export class AnswerCounter {
  /** Number of whole answers, by status. */
  readonly byStatus: Record<string, number> = {};
  private rest = '';

  /** @param socket - connection of the caller, which is read from now on */
  constructor(socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => this.add(text));
    socket.resume();
  }

  /** Number of whole answers. */
  get count(): number {
    return Object.values(this.byStatus).reduce((sum, n) => sum + n, 0);
  }

  private add(text: string): void {
    const all = this.rest + text;
    let start = 0;
    for (;;) {
      const headEnd = all.indexOf(HEAD_END, start);
      if (headEnd === -1) break;
      const head = all.slice(start, headEnd);
      const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
      const status = /^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1];
      if (length === undefined || status === undefined)
        throw new Error(`no answer with a length: ${head}`);
      const end = headEnd + HEAD_END.length + Number(length);
      if (end > all.length) break;
      this.byStatus[status] = (this.byStatus[status] ?? 0) + 1;
      start = end;
    }
    this.rest = all.slice(start);
  }
}
