import type {CallerMemory} from '../../admission/index.js';
import type {HeadMeter} from './head_meter.js';

/**
 * Charges a connection for what it holds: its requests, the head that it is sending,
 * and what was read and not parsed yet.
 */
export class ConnectionCharges<Holder extends object> {
  private headBytes = 0;
  private inputBytes = 0;
  private isReleased = false;

  /**
   * @param memory - memory budget of all connections
   * @param holder - the connection
   * @param heads - measures the head that the connection is sending
   */
  constructor(
    private readonly memory: CallerMemory<Holder>,
    private readonly holder: Holder,
    private readonly heads: HeadMeter,
  ) {}

  /** Bytes that the connection is charged. */
  get heldBytes(): number {
    return this.memory.heldBy(this.holder);
  }

  /**
   * Adds to what it is charged.
   * @param bytes - what is added
   */
  add(bytes: number): void {
    if (!this.isReleased) this.memory.add(this.holder, bytes);
  }

  /**
   * Takes back what it was charged.
   * @param bytes - what is taken back
   */
  remove(bytes: number): void {
    this.memory.remove(this.holder, bytes);
  }

  /**
   * Charges it for bytes that were read and not parsed yet, in place of the last ones.
   * @param bytes - their number
   * @returns whether it is charged more
   */
  chargeInput(bytes: number): boolean {
    const change = bytes - this.inputBytes;
    this.inputBytes = bytes;
    this.change(change);
    return change > 0;
  }

  /**
   * Charges it for the head that it is sending, in place of the last one.
   * @returns whether it is charged more
   */
  chargeHead(): boolean {
    const bytes = this.heads.unfinishedBytes;
    const change = bytes - this.headBytes;
    this.headBytes = bytes;
    this.change(change);
    return change > 0;
  }

  /** Takes back all; the connection is charged nothing any more. */
  release(): void {
    this.isReleased = true;
    this.memory.removeHolder(this.holder);
  }

  private change(bytes: number): void {
    if (bytes > 0) this.add(bytes);
    else if (bytes < 0) this.remove(-bytes);
  }
}
