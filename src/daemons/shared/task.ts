import {dispatch, spawn, stop} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';

import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';

/** Parent actor of a task. */
export type TaskParent = ActorSystemRef;

/** The only message in a task's nact mailbox. */
const WAKE = 'wake';

/** Messages that a task handles before it yields to other tasks. */
const MAX_MESSAGES_PER_TURN = 256;

/**
 * An actor that owns sockets, timers or an aggregate. Messages are handled
 * one at a time; if a handler throws, only its message is lost.
 *
 * nact handles one message per mailbox and turn of the event loop. A task
 * therefore queues messages in its own inbox and handles them as a batch, so
 * that its throughput doesn't depend on the length of the turns.
 */
export abstract class Task<Message> {
  private readonly ref: Ref<typeof WAKE>;
  private readonly inbox: Message[] = [];
  private isScheduled = false;
  private isStopped = false;

  /**
   * @param parent - the actor system
   * @param name - name of the task, unique in the process
   * @param logger - the task's own logger
   */
  constructor(
    parent: TaskParent,
    private readonly name: string,
    protected readonly logger: Logger,
  ) {
    this.ref = spawn(
      parent as Ref<never>,
      () => this.runTurn(),
      name.replaceAll('/', '_'),
      {onCrash: (_message, _err, ctx) => ctx.resume},
    ) as Ref<typeof WAKE>;
  }

  /**
   * Appends a message to the task's inbox.
   * @param message - the message
   */
  post(message: Message): void {
    if (this.isStopped) return;
    this.inbox.push(message);
    this.schedule();
  }

  /** Stops the task and drops the messages left in its inbox. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    stop(this.ref);
  }

  /**
   * Handles one message.
   * @param message - the message
   */
  protected abstract receive(message: Message): void | Promise<void>;

  private schedule(): void {
    if (this.isScheduled || this.isStopped) return;
    this.isScheduled = true;
    dispatch(this.ref, WAKE);
  }

  private async runTurn(): Promise<void> {
    for (const message of this.inbox.splice(0, MAX_MESSAGES_PER_TURN)) {
      if (this.isStopped) return;
      await this.handle(message);
    }
    this.isScheduled = false;
    if (this.inbox.length > 0) this.schedule();
  }

  private async handle(message: Message): Promise<void> {
    try {
      const pending = this.receive(message);
      if (pending !== undefined) await pending;
    } catch (thrown) {
      const err = describeError(thrown);
      this.logger.error('task_fault', {task: this.name, err});
    }
  }
}
