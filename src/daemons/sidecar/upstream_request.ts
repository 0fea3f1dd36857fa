import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

import {CALLER_SERVICE_HEADER} from '../../calls/index.js';
import type {AnswerHead, AnswerPiece, CallMessage} from '../../calls/index.js';
import {describe} from '../../errors/index.js';
import {EventSplitter} from './event_splitter.js';

/** Asks the engine to go on after this many events of the same stream. */
const RESUME_FROM = 'baobabspan-resume-from';
/** With it the engine vouches for the index of its first event. */
const RESUMED_FROM = 'baobabspan-resumed-from';

/** What is heard of a request to the upstream. */
export interface UpstreamListener {
  head(head: AnswerHead): void;
  data(piece: AnswerPiece): void;
  /** The whole answer was passed on. */
  end(): void;
  /** Whether the answer goes on only with credit. */
  isPaced(): boolean;
  /** The upstream cannot have got any of it. */
  unreachable(detail: string): void;
  /** No whole answer came; the call may have run. */
  failed(detail: string): void;
}

/** Errors before a connection exists: no byte of the call left. */
const NOTHING_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const MAX_CONNECTIONS = 256;

/** Makes the dispatcher that all requests to one upstream share. */
export function upstreamAgent(): Agent {
  return new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** One call at the upstream, with flow control towards the entry. */
export class UpstreamRequest {
  private readonly abort = new AbortController();
  private credit: number;
  private refill: (() => void) | undefined;

  /**
   * @param url - address of the upstream
   * @param agent - dispatcher of its connections
   * @param call - the call
   * @param listener - what to tell of it
   */
  constructor(
    private readonly url: string,
    private readonly agent: Agent,
    private readonly call: CallMessage,
    private readonly listener: UpstreamListener,
  ) {
    this.credit = call.credit;
  }

  /** Runs the call to its end, however it ends. */
  async run(): Promise<void> {
    let res: Dispatcher.ResponseData;
    try {
      res = await this.send();
    } catch (thrown) {
      const {code = ''} = thrown as {code?: string};
      if (NOTHING_SENT.has(code)) this.listener.unreachable(describe(thrown));
      else this.listener.failed(describe(thrown));
      return;
    }
    try {
      const head = this.headOf(res);
      this.listener.head(head);
      await this.passOn(res, head.firstEvent);
      this.listener.end();
    } catch (thrown) {
      this.listener.failed(describe(thrown));
    }
  }

  /** Stops the work at the upstream. */
  cancel(): void {
    this.abort.abort();
    this.refill?.();
  }

  /**
   * Lets more frames go.
   * @param frames - how many
   */
  grant(frames: number): void {
    this.credit += frames;
    this.refill?.();
  }

  private headOf({statusCode: status, headers: raw}: Dispatcher.ResponseData) {
    const headers = flat(raw);
    const type = headers['content-type'] ?? '';
    const isSplit =
      this.call.idempotent && type.startsWith('text/event-stream');
    if (!isSplit) return {status, headers, firstEvent: undefined};
    const resumed = headers[RESUMED_FROM];
    const firstEvent = this.call.resumeFrom ? Number(resumed) : 0;
    if (Number.isInteger(firstEvent)) return {status, headers, firstEvent};
    return {status, headers, firstEvent: undefined};
  }

  private async passOn(
    res: Dispatcher.ResponseData,
    firstEvent: number | undefined,
  ): Promise<void> {
    const splitter = new EventSplitter();
    let event = firstEvent;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      if (event === undefined) {
        await this.spend();
        this.listener.data({body: new Uint8Array(chunk)});
        continue;
      }
      for (const body of splitter.push(chunk)) {
        await this.spend();
        this.listener.data({body, event});
        event += 1;
      }
    }
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const {method, path, headers, body, resumeFrom} = this.call;
    const resume = resumeFrom ? {[RESUME_FROM]: String(resumeFrom)} : {};
    const hasBody = body.byteLength > 0;
    return request(`${this.url}${path}`, {
      dispatcher: this.agent,
      method: method as Dispatcher.HttpMethod,
      headers: {
        ...headers,
        ...resume,
        'baobabspan-call-id': this.call.callId,
        [CALLER_SERVICE_HEADER]: this.call.service,
      },
      body: hasBody ? body : null,
      signal: this.abort.signal,
    });
  }

  private async spend(): Promise<void> {
    while (this.credit === 0 && this.listener.isPaced()) {
      this.abort.signal.throwIfAborted();
      await new Promise<void>(resolve => {
        this.refill = resolve;
      });
    }
    this.credit = Math.max(0, this.credit - 1);
  }
}

function flat(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) kept[name] = String(value);
  }
  return kept;
}
