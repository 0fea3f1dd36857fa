import type {IncomingMessage, ServerResponse} from 'node:http';

import {PrefixIndex, promptPrefix, promptText} from '../src/routing/index.js';
import {sendJson} from './http_server.js';

const MAX_EVENTS = 1_000;

interface CacheEvent {
  readonly seq: number;
  readonly stored: readonly number[];
  readonly removed: readonly number[];
}

/** The prefix cache of a stand-in engine, with its events. */
export class PrefixCache {
  private readonly events: CacheEvent[] = [];
  private removed: number[] = [];
  private seq = 0;
  private readonly blocks: PrefixIndex;

  /** @param capacity - blocks that it holds */
  constructor(capacity = 1_000) {
    this.blocks = new PrefixIndex(capacity, hash => this.removed.push(hash));
  }

  /**
   * A prompt is prefilled.
   * @param body - the request
   */
  recordPrompt(body: {messages?: unknown; prompt?: unknown}): void {
    const prefix = promptPrefix(promptText(body));
    const stored = prefix.slice(this.blocks.match(prefix));
    this.blocks.recordUse(prefix);
    if (stored.length === 0) return;
    const {removed} = this;
    this.removed = [];
    this.seq += 1;
    this.events.push({seq: this.seq, stored, removed});
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }

  /**
   * Answers `GET /cache/events?after=SEQ`.
   * @param req - the request
   * @param res - the response
   * @returns whether it was such a request
   */
  handleEvents(req: IncomingMessage, res: ServerResponse): boolean {
    const url = new URL(req.url ?? '/', 'http://engine');
    if (req.method !== 'GET' || url.pathname !== '/cache/events') return false;
    const after = Number(url.searchParams.get('after') ?? 0);
    const events = this.events.filter(({seq}) => seq > after);
    sendJson(res, {events});
    return true;
  }
}
