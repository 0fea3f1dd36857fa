import type {IncomingMessage, ServerResponse} from 'node:http';

import {PrefixIndex, promptPrefix, promptText} from '../src/routing/index.js';
import {sendJson} from './http_server.js';

const MAX_EVENTS = 1_000;

interface CacheEvent {
  readonly seq: number;
  readonly stored: readonly number[];
  readonly removed: readonly number[];
}

/** Prefix cache of a stand-in engine, with a bounded buffer of its events. */
export class PrefixCache {
  private readonly events: CacheEvent[] = [];
  private removed: number[] = [];
  private seq = 0;
  private readonly blocks: PrefixIndex;

  /** @param capacity - maximum number of cached blocks */
  constructor(capacity = 1_000) {
    this.blocks = new PrefixIndex(capacity, hash => this.removed.push(hash));
  }

  /**
   * Records the blocks that the prefill of a prompt stored and evicted.
   * @param body - body of the request
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
   * Handles `GET /cache/events?after=SEQ`.
   * @param req - request
   * @param res - response
   * @returns whether the request was handled
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
