import {isSuccessStatus} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import type {
  DeliverableEvents,
  Route,
  StreamDelivery,
} from '../../direct/index.js';
import type {ResponseHead} from './attempt.js';
import type {BufferBudget} from './buffer_budget.js';
import {ResponseBuffer} from './response_buffer.js';
import type {ResponseWriter} from './response_writer.js';

/** Pauses and resumes the upstream, as the caller's connection fills. */
export interface ResponseSource {
  pause(): void;
  resume(): void;
}

/** Forwards the responses of a request's upstreams to its caller. */
export class ResponseForwarder {
  private currentHead: ResponseHead | undefined;
  private readonly body: ResponseBuffer;
  private isEvents = false;
  private isStreaming = false;

  /**
   * @param writer - writes the response to the caller
   * @param delivery - events that the caller has received
   * @param route - route of the request
   * @param budget - bytes that all buffered responses may hold
   */
  constructor(
    private readonly writer: ResponseWriter,
    private readonly delivery: StreamDelivery,
    private readonly route: Route,
    budget: BufferBudget,
  ) {
    this.body = new ResponseBuffer(budget);
    writer.onClose(() => {
      this.body.clear();
      this.body.release();
    });
  }

  /** Head of the current response; undefined until it has come. */
  get head(): ResponseHead | undefined {
    return this.currentHead;
  }

  /** Whether the response of another upstream can follow what was sent. */
  get canContinue(): boolean {
    if (!this.writer.isStarted) return true;
    const hasDelivered = this.delivery.delivered > 0;
    return this.isStreaming && (this.route.resumable || !hasDelivered);
  }

  /** Whether the current response is forwarded event by event. */
  get isEventStream(): boolean {
    return this.isEvents;
  }

  /** Drops what is buffered of a failed response, before the next attempt. */
  startRun(): void {
    this.currentHead = undefined;
    this.isEvents = false;
    this.body.clear();
    this.delivery.startRun();
  }

  /**
   * Begins a response.
   * @param head - its head
   */
  begin(head: ResponseHead): void {
    this.currentHead = head;
    const isStream = this.route.repeat === 'stream';
    this.isEvents = isStream && isSuccessStatus(head.status);
    if (!this.isEvents || this.writer.isStarted) return;
    this.writer.sendStreamHead(head);
    this.isStreaming = true;
  }

  /**
   * Forwards or buffers a chunk of the body.
   * @param now - current time
   * @param chunk - the chunk
   * @param source - the upstream
   * @returns the events that it completes, if the response is a stream of them
   */
  push(
    now: Millis,
    chunk: Buffer,
    source: ResponseSource | undefined,
  ): DeliverableEvents | undefined {
    if (this.isEventStream) {
      const events = this.delivery.push(now, chunk);
      if (events !== undefined) this.write(events.bytes, source);
      return events;
    }
    const {head} = this;
    if (!this.body.add(chunk) || head === undefined) return undefined;
    if (!this.writer.isStarted) this.writer.sendHead(head);
    this.write(this.body.take(), source);
    return undefined;
  }

  /** Removes and returns the buffered part of the body. */
  takeBody(): Buffer {
    return this.body.take();
  }

  /**
   * Ends a complete response.
   * @param head - its head
   * @param body - its body, or the part that was not forwarded yet
   */
  end(head: ResponseHead, body: Buffer): void {
    const {writer} = this;
    const rest = this.isEventStream ? this.delivery.rest : body;
    if (!writer.isStarted) {
      writer.sendWhole(head, rest);
      return;
    }
    if (rest.length > 0) writer.write(rest);
    writer.end();
  }

  private write(bytes: Buffer, source: ResponseSource | undefined): void {
    if (this.writer.write(bytes)) {
      this.body.release();
      return;
    }
    source?.pause();
    this.writer.onDrain(() => {
      this.body.release();
      source?.resume();
    });
  }
}
