import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {StandinServer, readText, sendJson} from './http_server.js';
import {PrefixCache} from './prefix_cache.js';

/** Settings of a stand-in engine. */
export interface EngineOptions {
  /** Duration of one step of the batch, ms. */
  stepMs: number;
  /** Maximum number of sequences in a batch. */
  batch: number;
}

interface Sequence {
  readonly priority: number;
  readonly tokens: readonly string[];
  next: number;
  readonly emit: (token: string, index: number, last: boolean) => void;
}

const VOCABULARY = ['van', 'stop', 'litchi', 'cup', 'school', 'gate', 'round'];
const PRIORITY: Record<string, number> = {low: 0, normal: 1, high: 2};
const DEFAULT_TOKENS = 16;
const DONE_EVENT = 'data: [DONE]\n\n';
/** Number of events of the stream that the client already received. */
const RESUME_FROM = 'baobabspan-resume-from';
/** Index of the first event of a resumed answer. */
const RESUMED_FROM = 'baobabspan-resumed-from';

interface CompletionRequest {
  model?: string;
  messages?: unknown;
  prompt?: unknown;
  stream?: boolean;
  max_tokens?: number;
  priority?: string;
}

/**
 * Generates the tokens of a completion; equal requests get equal tokens.
 * @param request - body of the request
 */
export function completionTokens(request: CompletionRequest): string[] {
  const seed = JSON.stringify([request.messages, request.prompt]);
  const digest = createHash('sha256').update(seed).digest();
  const count = request.max_tokens ?? DEFAULT_TOKENS;
  return Array.from({length: count}, (_, index) => {
    const byte = digest[index % digest.length] ?? 0;
    return `${VOCABULARY[(byte + index) % VOCABULARY.length]} `;
  });
}

/**
 * Formats one event of a streamed completion.
 * @param model - name of the model
 * @param content - token
 * @param last - whether it is the last token
 */
export function streamEvent(
  model: string,
  content: string,
  last: boolean,
): string {
  const finish_reason = last ? 'length' : null;
  const choices = [{index: 0, delta: {content}, finish_reason}];
  const chunk = {object: 'chat.completion.chunk', model, choices};
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** Stands in for a model engine with continuous batching and priorities. */
export class EngineServer extends StandinServer {
  private readonly waiting: Sequence[] = [];
  private running: Sequence[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly cache = new PrefixCache();

  /** Number of completion requests received. */
  startedRequests = 0;

  /** @param options - settings of the engine; may be modified at any time */
  constructor(readonly options: EngineOptions = {stepMs: 2, batch: 8}) {
    super();
  }

  override async close(): Promise<void> {
    clearInterval(this.timer);
    await super.close();
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.cache.handleEvents(req, res)) return;
    if (req.method !== 'POST') return sendJson(res, {}, 404);
    if (req.url === '/control/options') {
      Object.assign(this.options, JSON.parse(await readText(req)));
      return sendJson(res, this.options);
    }
    const request = JSON.parse(await readText(req)) as CompletionRequest;
    this.startedRequests += 1;
    this.cache.recordPrompt(request);
    const tokens = completionTokens(request);
    const model = request.model ?? '';
    const priority = PRIORITY[request.priority ?? 'normal'] ?? 1;
    if (request.stream === true) {
      const next = Number(req.headers[RESUME_FROM] ?? 0);
      res.setHeader('content-type', 'text/event-stream');
      if (next > 0) res.setHeader(RESUMED_FROM, next);
      if (next >= tokens.length) {
        res.end(DONE_EVENT);
        return;
      }
      this.enqueue(res, {
        priority,
        tokens,
        next,
        emit: streamWriter(res, model),
      });
      return;
    }
    const emit = (_token: string, _index: number, last: boolean) => {
      if (last) sendJson(res, completionBody(model, tokens));
    };
    this.enqueue(res, {priority, tokens, next: 0, emit});
  }

  private enqueue(res: ServerResponse, sequence: Sequence): void {
    this.waiting.push(sequence);
    res.on('close', () => this.remove(sequence));
    this.timer ??= setInterval(() => this.step(), this.options.stepMs);
  }

  private remove(sequence: Sequence): void {
    this.running = this.running.filter(other => other !== sequence);
    const index = this.waiting.indexOf(sequence);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  private step(): void {
    this.waiting.sort((a, b) => b.priority - a.priority);
    while (this.running.length < this.options.batch) {
      const next = this.waiting.shift();
      if (next === undefined) break;
      this.running.push(next);
    }
    for (const sequence of this.running) {
      const index = sequence.next++;
      const last = sequence.next === sequence.tokens.length;
      sequence.emit(sequence.tokens[index] ?? '', index, last);
    }
    this.running = this.running.filter(s => s.next < s.tokens.length);
    if (this.running.length > 0 || this.waiting.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

function streamWriter(res: ServerResponse, model: string): Sequence['emit'] {
  return (token, _index, last) => {
    res.write(streamEvent(model, token, last));
    if (last) res.end(DONE_EVENT);
  };
}

/**
 * Returns the body of a completion that is not streamed.
 * @param model - name of the model
 * @param tokens - tokens of the completion
 */
export function completionBody(
  model: string,
  tokens: readonly string[],
): object {
  const message = {role: 'assistant', content: tokens.join('')};
  const usage = {completion_tokens: tokens.length};
  const choices = [{index: 0, message, finish_reason: 'length'}];
  return {object: 'chat.completion', model, choices, usage};
}
