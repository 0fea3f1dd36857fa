import {ChunkMeter} from '../../admission/index.js';
import type {CostlyReads} from './costly_reads.js';

/** Stops the reading of a connection whose chunks cost more than they bring. */
export class ReadThrottle {
  private readonly meter = new ChunkMeter();
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

  /**
   * Records a chunk. The rest of the read that has brought it follows at once.
   * @param bytes - its length
   */
  record(bytes: number): void {
    if (!this.meter.record(bytes) || this.isWaiting) return;
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
