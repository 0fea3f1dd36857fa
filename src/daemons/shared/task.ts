import {dispatch, spawn, stop} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';

import {describe} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';

/** What a task is spawned under. */
export type TaskParent = ActorSystemRef;

/**
 * An actor that owns sockets, timers or an aggregate. Messages are handled
 * one at a time; a handler that throws loses that message and nothing else.
 */
export abstract class Task<Message> {
  private readonly ref: Ref<Message>;
  private stopped = false;

  /**
   * @param parent - the actor system
   * @param name - name of the task, unique in the process
   * @param logger - the task's own logger
   */
  constructor(
    parent: TaskParent,
    name: string,
    protected readonly logger: Logger,
  ) {
    this.ref = spawn(
      parent as Ref<never>,
      async (_: undefined, message: Message) => {
        await this.receive(message);
        return undefined;
      },
      name.replaceAll('/', '_'),
      {
        onCrash: (_message, err, ctx) => {
          this.logger.error('task_fault', {task: name, err: describe(err)});
          return ctx.resume;
        },
      },
    ) as Ref<Message>;
  }

  /**
   * Puts a message in the task's mailbox.
   * @param message - the message
   */
  post(message: Message): void {
    if (!this.stopped) dispatch(this.ref, message);
  }

  /** Stops the task; what is still in the mailbox is dropped. */
  stop(): void {
    if (this.stopped) return;
    this.stopped = true;
    stop(this.ref);
  }

  /**
   * Handles one message.
   * @param message - the message
   */
  protected abstract receive(message: Message): void | Promise<void>;
}
