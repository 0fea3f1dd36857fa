/** Requests that a connection brings in one turn while others wait for theirs. */
const MAX_REQUESTS_PER_TURN = 64;

/** Counts the requests that one read of a connection brings, turn by turn. */
export class PipelineMeter {
  private bytesAtLatest = -1;
  private requests = 0;

  /**
   * Records a request whose head was parsed.
   * @param bytesRead - bytes that were read of its connection
   * @returns whether it uses up the turn
   */
  record(bytesRead: number): boolean {
    if (bytesRead !== this.bytesAtLatest) this.requests = 0;
    this.bytesAtLatest = bytesRead;
    this.requests += 1;
    return this.requests === MAX_REQUESTS_PER_TURN;
  }

  /** Begins a turn. */
  reset(): void {
    this.requests = 0;
  }
}
