import {Agent, request} from 'undici';
import {z} from 'zod';

import {MAX_PAGE_BYTES, readBounded} from '../../clients/index.js';
import type {Millis} from '../../core/index.js';
import {describeError} from '../../errors/index.js';
import {CacheEventBatcher, cacheEventPage} from '../../routing/index.js';
import type {CacheEventPage, CacheMessage} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';

const POLL_INTERVAL: Millis = 500;
const EVENTS_PATH = '/cache/events';
const NOT_FOUND = 404;

type Message =
  | {readonly type: 'poll'}
  | {readonly type: 'page'; readonly page: CacheEventPage}
  | {readonly type: 'none'}
  | {readonly type: 'fault'; readonly detail: string};

/**
 * Polls the engine's prefix cache events and emits them in batches. Polling
 * stops if the engine has no such events (404).
 */
export class CacheEventsTask extends Task<Message> {
  private readonly batcher = new CacheEventBatcher();
  private readonly agent = new Agent({connections: 1});
  private timer: NodeJS.Timeout | undefined;
  private isFailing = false;

  /**
   * @param context - shared context of the daemon's tasks
   * @param url - address of the engine
   * @param onBatch - called with each batch
   */
  constructor(
    context: DaemonContext,
    private readonly url: string,
    private readonly onBatch: (message: CacheMessage) => void,
  ) {
    super(context.system, 'cache', context.logger.withLabel('cache'));
    this.post({type: 'poll'});
  }

  override stop(): void {
    clearTimeout(this.timer);
    super.stop();
    void this.agent.destroy();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'poll':
        return void this.poll();
      case 'page':
        this.isFailing = false;
        this.batcher.batch(message.page).forEach(this.onBatch);
        return this.schedulePoll();
      case 'none':
        this.logger.info('no_cache_events');
        return;
      case 'fault':
        if (!this.isFailing) {
          this.logger.warn('cache_events_lost', {detail: message.detail});
        }
        this.isFailing = true;
        return this.schedulePoll();
    }
  }

  private schedulePoll(): void {
    this.timer = setTimeout(() => this.post({type: 'poll'}), POLL_INTERVAL);
  }

  private async poll(): Promise<void> {
    const path = `${EVENTS_PATH}?after=${this.batcher.lastSeq}`;
    try {
      const res = await request(`${this.url}${path}`, {
        dispatcher: this.agent,
        headersTimeout: POLL_INTERVAL * 4,
        bodyTimeout: POLL_INTERVAL * 4,
      });
      if (res.statusCode === NOT_FOUND) {
        await res.body.dump();
        return this.post({type: 'none'});
      }
      const bytes = await readBounded(res.body, MAX_PAGE_BYTES);
      const json: unknown = JSON.parse(bytes.toString('utf8'));
      const page = cacheEventPage.safeParse(json);
      if (page.success) return this.post({type: 'page', page: page.data});
      this.post({type: 'fault', detail: z.prettifyError(page.error)});
    } catch (thrown) {
      this.post({type: 'fault', detail: describeError(thrown)});
    }
  }
}
