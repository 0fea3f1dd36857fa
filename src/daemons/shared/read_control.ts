import type {Socket} from 'node:net';

import type {CallerMemory} from '../../admission/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {ParserInput} from './parser_input.js';
import {PipelineMeter} from './pipeline_meter.js';
import {mayReadOn} from './read_decision.js';
import type {ConnectionProgress} from './read_decision.js';
import {ReadGate} from './read_gate.js';
import {ReadThrottle} from './read_throttle.js';
import type {SharedParts} from './shared_parts.js';
import {isResetByPeer} from './socket_handle.js';

/** What the reading of a connection depends on. */
export interface ReadEvents {
  /** Returns how far its requests are. */
  progress(): ConnectionProgress;
  /** Called as the number of bytes changes that were read and not parsed. */
  onInputHeld(bytes: number): void;
  /** Called the first time that the connection waits for its turn. */
  onThrottled(): void;
}

/** Decides when a connection is read, and how far what was read is parsed. */
export class ReadControl<Holder extends object> {
  /** Bytes that the parser of the connection was passed. */
  readonly input: ParserInput;
  private readonly gate: ReadGate;
  private readonly throttle: ReadThrottle;
  private readonly pipeline = new PipelineMeter();
  private readonly memory: CallerMemory<Holder>;
  private isSuspended = false;

  /**
   * @param socket - a connection that an HTTP server has just taken
   * @param holder - the connection, as a holder of `memory`
   * @param shared - what all connections share
   * @param events - callbacks
   * @param clock - the clock
   */
  constructor(
    private readonly socket: Socket,
    private readonly holder: Holder,
    {memory, reads}: SharedParts<Holder>,
    private readonly events: ReadEvents,
    clock: Clock,
  ) {
    this.memory = memory;
    this.throttle = new ReadThrottle(
      reads,
      () => this.onThrottleChange(),
      () => events.onThrottled(),
    );
    this.gate = new ReadGate(socket, clock);
    this.input = new ParserInput(
      socket,
      () => events.progress().isParsing,
      bytes => events.onInputHeld(bytes),
    );
  }

  /** Whether the connection is not read. */
  get isClosed(): boolean {
    return this.gate.isClosed;
  }

  /** Records a request whose head was parsed. */
  recordRequest(): void {
    if (this.pipeline.record(this.socket.bytesRead)) this.throttle.hold();
  }

  /** Has the connection wait for its turn. */
  hold(): void {
    this.throttle.hold();
  }

  /** Ends the wait for a turn of a connection that is closed or ends. */
  stopHolding(): void {
    this.throttle.stop();
  }

  /** Stops reading, whatever the connection holds, until `unsuspend`. */
  suspend(): void {
    this.isSuspended = true;
    this.update();
  }

  /** Reads on, as far as the connection may. */
  unsuspend(): void {
    this.isSuspended = false;
    this.update();
  }

  /** Reads on or stops reading, as the state of the connection asks for it. */
  update(): void {
    const isWithinBudget = this.memory.mayRead(this.holder);
    const mayRead = mayReadOn(this.events.progress(), {
      isSuspended: this.isSuspended,
      isThrottled: this.throttle.isHeld,
      holdsInput: this.input.holdsBytes,
      isWithinBudget,
    });
    if (mayRead) {
      this.memory.unpause(this.holder);
      this.gate.open();
      return;
    }
    this.gate.close();
    if (!isWithinBudget) this.memory.pause(this.holder, () => this.update());
  }

  /** Stops reading, without regard to the state. */
  close(): void {
    this.gate.close();
  }

  /** Reads without regard to the state. */
  open(): void {
    this.gate.open();
  }

  /** Checks whether what waited while the connection was not read was read. */
  checkBacklog(): void {
    this.gate.checkBacklog();
  }

  /**
   * Returns the earliest time at which a request may have arrived.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.gate.earliestArrival(now);
  }

  /** Leaves the connection to others, which pause and resume it directly. */
  release(): void {
    this.throttle.stop();
    this.input.release();
    this.gate.release();
  }

  private onThrottleChange(): void {
    this.pipeline.reset();
    // What a caller sent before it left may take seconds to read, for nobody.
    if (!this.throttle.isHeld && isResetByPeer(this.socket))
      this.socket.destroy();
    else this.update();
  }
}
