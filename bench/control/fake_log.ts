import {offset} from '../../src/core/index.js';
import type {LogPage, Offset} from '../../src/core/index.js';

interface Waiter {
  readonly from: Offset;
  readonly answer: (page: LogPage) => void;
}

/** The platform's log in memory, for one stream. */
export class FakeLog {
  /** Every record that was ever appended. */
  readonly all: unknown[] = [];
  /** Earliest offset that is kept. */
  earliest = 0;
  private readonly sizes: number[] = [];
  private waiters: Waiter[] = [];

  /**
   * Appends a record and answers the reads that wait for it.
   * @param data - the record
   * @param size - its bytes as readers get it
   */
  append(data: unknown, size = 0): Offset {
    this.all.push(data);
    this.sizes.push(size);
    const waiters = this.waiters.splice(0);
    for (const {from, answer} of waiters) answer(this.page(from));
    return offset(this.all.length - 1);
  }

  /**
   * Answers when there is something to read.
   * @param from - offset of the first record
   * @param answer - called at once or at the next append
   * @returns gives up waiting
   */
  read(from: Offset, answer: (page: LogPage) => void): () => void {
    if (from < this.all.length) {
      answer(this.page(from));
      return () => undefined;
    }
    const waiter = {from, answer};
    this.waiters.push(waiter);
    return () => {
      this.waiters = this.waiters.filter(other => other !== waiter);
    };
  }

  /**
   * What a read gets at once.
   * @param from - offset of the first record
   */
  page(from: Offset): LogPage {
    const start = Math.max(from, this.earliest);
    const records = this.all
      .slice(start)
      .map((data, index) => ({offset: offset(start + index), data}));
    return {
      earliest: offset(this.earliest),
      next: offset(this.all.length),
      records,
    };
  }

  /**
   * Bytes of the records of a page.
   * @param page - the page
   */
  sizeOf({records}: LogPage): number {
    return records.reduce(
      (sum, {offset}) => sum + (this.sizes[offset] ?? 0),
      0,
    );
  }

  /**
   * Lets records expire.
   * @param earliest - first offset that is kept
   */
  expire(earliest: number): void {
    this.earliest = Math.min(
      Math.max(earliest, this.earliest),
      this.all.length,
    );
  }
}
