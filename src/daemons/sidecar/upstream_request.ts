import {Agent, buildConnector, errors, request} from 'undici';
import type {Dispatcher} from 'undici';

import {CALLER_SERVICE_HEADER} from '../../calls/index.js';
import type {AnswerHead, AnswerPiece, CallMessage} from '../../calls/index.js';
import {
  SECOND,
  isFinalStatus,
  isSuccessStatus,
  malformedField,
} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import {EventFramer} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import {ResponseChunkCollector} from '../shared/chunk_collector.js';
import {ResetAwareSocket} from '../shared/reset_aware_socket.js';
import {EventSplitter} from './event_splitter.js';

/** Request header: continue the same stream after this many events. */
const RESUME_FROM_HEADER = 'baobabspan-resume-from';
/** Response header: index of the first event, confirmed by the engine. */
const RESUMED_FROM_HEADER = 'baobabspan-resumed-from';

/** Callbacks for the progress of a request to the upstream. */
export interface UpstreamListener {
  onHead(head: AnswerHead): void;
  onData(piece: AnswerPiece): void;
  /** The answer was forwarded completely. */
  onEnd(): void;
  /** Returns whether each frame needs credit from the entry. */
  isFlowControlled(): boolean;
  /** The connection failed before any byte of the call was sent. */
  onUnreachable(detail: string): void;
  /** The answer is missing or incomplete; the call may have run. */
  onFailure(detail: string): void;
}

/** Errors of connecting, after which no byte of the call was sent. */
const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const DEFAULT_PORT = 80;
const MAX_CONNECTIONS = 256;
const CONNECT_TIMEOUT: Millis = 10 * SECOND;
/** Idle time before TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_DELAY: Millis = 60 * SECOND;

const connectTls = buildConnector({});

/** Connects so that a reset is told apart from the end of a body. */
const connect: buildConnector.connector = (options, callback) => {
  if (options.protocol === 'https:') {
    connectTls(options, callback);
    return;
  }
  const socket = new ResetAwareSocket();
  const {hostname: host, port} = options;
  const timer = setTimeout(() => {
    socket.destroy(new errors.ConnectTimeoutError('connect timeout'));
  }, CONNECT_TIMEOUT);
  const onError = (err: Error) => {
    clearTimeout(timer);
    callback(err, null);
  };
  socket.once('error', onError);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', onError);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY);
    callback(null, socket);
  });
  socket.connect({host, port: Number(port || DEFAULT_PORT)});
};

/** Creates the undici dispatcher shared by all requests to one upstream. */
export function createUpstreamAgent(): Agent {
  return new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect,
  });
}

/** HTTP request of one call, with credit-based flow control by the entry. */
export class UpstreamRequest {
  private readonly abortController = new AbortController();
  private credit: number;
  private onCredit: (() => void) | undefined;

  /**
   * @param url - address of the upstream
   * @param agent - dispatcher with the connections to the upstream
   * @param call - the call
   * @param listener - callbacks for the progress of the request
   */
  constructor(
    private readonly url: string,
    private readonly agent: Agent,
    private readonly call: CallMessage,
    private readonly listener: UpstreamListener,
  ) {
    this.credit = call.credit;
  }

  /** Sends the call and forwards its answer; failures go to the listener. */
  async run(): Promise<void> {
    let res: Dispatcher.ResponseData;
    try {
      res = await this.send();
    } catch (thrown) {
      const {code = ''} = thrown as {code?: string};
      if (CONNECT_ERRORS.has(code))
        this.listener.onUnreachable(describeError(thrown));
      else this.listener.onFailure(describeError(thrown));
      return;
    }
    new ResponseChunkCollector(res.body);
    try {
      const head = this.parseHead(res);
      this.listener.onHead(head);
      await this.forwardBody(res, head);
      this.listener.onEnd();
    } catch (thrown) {
      this.listener.onFailure(describeError(thrown));
    }
  }

  /** Aborts the request, which stops the work at the upstream. */
  cancel(): void {
    this.abortController.abort();
    this.onCredit?.();
  }

  /**
   * Adds credit for frames of the answer.
   * @param frames - number of frames
   */
  grant(frames: number): void {
    this.credit += frames;
    this.onCredit?.();
  }

  private parseHead({
    statusCode: status,
    headers: raw,
  }: Dispatcher.ResponseData) {
    const headers = flattenHeaders(raw);
    if (!isFinalStatus(status)) throw new Error(`response status ${status}`);
    const line = malformedField(Object.entries(headers));
    if (line !== undefined) throw new Error(`malformed header ${line}`);
    const type = headers['content-type'] ?? '';
    // An error is no part of the stream that it would continue.
    const isSuccess = isSuccessStatus(status);
    const isResumable = this.call.idempotent && isSuccess && isStream(type);
    if (!isResumable) return {status, headers, firstEvent: undefined};
    const resumed = headers[RESUMED_FROM_HEADER];
    const firstEvent = this.call.resumeFrom ? Number(resumed) : 0;
    if (Number.isInteger(firstEvent)) return {status, headers, firstEvent};
    return {status, headers, firstEvent: undefined};
  }

  private async forwardBody(
    res: Dispatcher.ResponseData,
    {headers, firstEvent}: AnswerHead,
  ): Promise<void> {
    const splitter = new EventSplitter();
    const framer = new EventFramer();
    const hasEvents = isStream(headers['content-type'] ?? '');
    let event = firstEvent;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      if (hasEvents) framer.push(chunk);
      if (framer.isOverlong) throw new Error('unterminated event');
      if (event === undefined) {
        await this.takeCredit();
        this.listener.onData({body: new Uint8Array(chunk)});
        continue;
      }
      for (const body of splitter.push(chunk)) {
        await this.takeCredit();
        this.listener.onData({body, event});
        event += 1;
      }
    }
    if (framer.isWithinEvent)
      throw new Error('the stream ended within an event');
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const {method, path, headers, body, resumeFrom} = this.call;
    const resume = resumeFrom ? {[RESUME_FROM_HEADER]: String(resumeFrom)} : {};
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
      signal: this.abortController.signal,
    });
  }

  private async takeCredit(): Promise<void> {
    while (this.credit === 0 && this.listener.isFlowControlled()) {
      this.abortController.signal.throwIfAborted();
      await new Promise<void>(resolve => {
        this.onCredit = resolve;
      });
    }
    this.credit = Math.max(0, this.credit - 1);
  }
}

const isStream = (contentType: string) =>
  contentType.startsWith('text/event-stream');

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flattened: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flattened[name] = String(value);
  }
  return flattened;
}
