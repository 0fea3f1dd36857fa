/** Calls back in the next pass of the event loop. */
export type NextPass = (callback: () => void) => void;

/**
 * Counts the requests that are read in one pass of the event loop. Node reads each
 * connection up to 32 times in a pass, and a read of 64 KB brings up to 3,000 requests
 * before anything that was read before them is given back.
 */
export class PassCounter {
  private count = 0;
  private current = 1;

  /**
   * @param maximum - requests from which on the pass reads no further
   * @param nextPass - calls back in the next pass
   */
  constructor(
    private readonly maximum: number,
    private readonly nextPass: NextPass = setImmediate,
  ) {}

  /** Number of the current pass, from 1. Passes without a request count for none. */
  get number(): number {
    return this.current;
  }

  /**
   * Records a request.
   * @returns whether it is the one that uses up the pass
   */
  record(): boolean {
    if (this.count === 0) this.nextPass(() => this.startNext());
    this.count += 1;
    return this.count === this.maximum;
  }

  private startNext(): void {
    this.count = 0;
    this.current += 1;
  }
}
