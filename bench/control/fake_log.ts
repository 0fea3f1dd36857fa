import {offset} from '../../src/core/index.js';
import type {LogPage, Offset} from '../../src/core/index.js';

interface Waiter {
  readonly from: Offset;
  readonly answer: (page: LogPage) => void;
}

/** In-memory substitute for one stream of the platform's log. */
export class FakeLog {
  /** All appended records, including expired ones. */
  readonly all: unknown[] = [];
  /** Earliest retained offset. */
  earliest = 0;
  private readonly sizes: number[] = [];
  private waiters: Waiter[] = [];

  /**
   * Appends a record and completes the waiting reads.
   * @param data - record to append
   * @param size - encoded size of the record for readers, bytes
   */
  append(data: unknown, size = 0): Offset {
    this.all.push(data);
    this.sizes.push(size);
    const waiters = this.waiters.splice(0);
    for (const {from, answer} of waiters) answer(this.page(from));
    return offset(this.all.length - 1);
  }

  /**
   * Reads a page, waiting for the next append if there are no new records.
   * @param from - offset of the first record
   * @param answer - called immediately or at the next append
   * @returns function that cancels the wait
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
   * Returns the page that is currently available.
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
   * Returns the encoded size of the records of a page, bytes.
   * @param page - page of records
   */
  sizeOf({records}: LogPage): number {
    return records.reduce(
      (sum, {offset}) => sum + (this.sizes[offset] ?? 0),
      0,
    );
  }

  /**
   * Expires the records before an offset.
   * @param earliest - first offset to retain
   */
  expire(earliest: number): void {
    this.earliest = Math.min(
      Math.max(earliest, this.earliest),
      this.all.length,
    );
  }
}
