import type {CostlyReads} from './costly_reads.js';

/** Stops the reading of a connection whose chunks or pipelined requests cost much. */
export class ReadThrottle {
  private isWaiting = false;
  private hasWaited = false;
  private readonly onTurn = () => {
    this.isWaiting = false;
    this.onChange();
  };

  /**
   * @param reads - schedules the costly reads of all connections
   * @param onChange - called when the connection is to be read no further, or again
   * @param onFirst - called the first time that it is to be read no further
   */
  constructor(
    private readonly reads: CostlyReads,
    private readonly onChange: () => void,
    private readonly onFirst: () => void,
  ) {}

  /** Whether the connection waits until it may be read. */
  get isHeld(): boolean {
    return this.isWaiting;
  }

  /** Has the connection wait for its turn. What it has read is parsed at once. */
  hold(): void {
    if (this.isWaiting) return;
    this.isWaiting = true;
    this.reads.add(this.onTurn);
    if (!this.hasWaited) this.onFirst();
    this.hasWaited = true;
    this.onChange();
  }

  /** Ends the wait of a connection that is read for another reason, or closed. */
  stop(): void {
    this.isWaiting = false;
    this.reads.remove(this.onTurn);
  }
}
