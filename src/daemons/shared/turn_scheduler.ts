/**
 * Requests that waited for their turn and begin in one pass of the event loop.
 * More of them delay the other connections' reads and timers.
 */
const MAX_TURNS_PER_PASS = 16;

/**
 * Round-robin scheduler of the turns of all connections. A connection asks for its
 * next turn once its response before was sent, so one with thousands of pipelined
 * requests takes turns with the others and leaves the event loop in between.
 */
export class TurnScheduler {
  private readonly queue: (() => void)[] = [];
  private begunInPass = 0;
  private isArmed = false;

  /** @param nextPass - calls back in the next pass of the event loop */
  constructor(
    private readonly nextPass: (callback: () => void) => void = setImmediate,
  ) {}

  /**
   * Begins a turn, in a later pass if this one is used up.
   * @param begin - called once
   */
  schedule(begin: () => void): void {
    const isFree = this.begunInPass < MAX_TURNS_PER_PASS;
    if (!isFree || this.queue.length > 0) {
      this.queue.push(begin);
      return;
    }
    this.begunInPass += 1;
    this.arm();
    begin();
  }

  private arm(): void {
    if (this.isArmed) return;
    this.isArmed = true;
    this.nextPass(() => this.onPass());
  }

  private onPass(): void {
    this.isArmed = false;
    const due = Math.min(this.queue.length, MAX_TURNS_PER_PASS);
    this.begunInPass = due;
    if (due > 0) this.arm();
    for (let i = 0; i < due; i++) this.queue.shift()?.();
  }
}
