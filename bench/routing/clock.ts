import type {Millis} from '../../src/core/index.js';

interface Event {
  readonly at: Millis;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual clock: runs scheduled callbacks in time order. */
export class VirtualClock {
  private readonly heap: Event[] = [];
  private order = 0;
  private time: Millis = 0;

  /** Current virtual time, ms. */
  get now(): Millis {
    return this.time;
  }

  /**
   * Schedules a callback.
   * @param delay - delay from now, ms
   * @param run - callback to run
   */
  after(delay: Millis, run: () => void): void {
    const event = {at: this.time + delay, order: this.order++, run};
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /**
   * Runs all callbacks that are due up to a time.
   * @param until - end time, ms
   */
  run(until: Millis): void {
    for (;;) {
      const [next] = this.heap;
      if (next === undefined || next.at > until) break;
      this.pop();
      this.time = next.at;
      next.run();
    }
    this.time = until;
  }

  private pop(): void {
    const last = this.heap.pop() as Event;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown(0);
  }

  private before(a: number, b: number): boolean {
    const [x, y] = [this.heap[a] as Event, this.heap[b] as Event];
    return x.at < y.at || (x.at === y.at && x.order < y.order);
  }

  private swap(a: number, b: number): void {
    const {heap} = this;
    [heap[a], heap[b]] = [heap[b] as Event, heap[a] as Event];
  }

  private siftUp(start: number): void {
    let child = start;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!this.before(child, parent)) return;
      this.swap(child, parent);
      child = parent;
    }
  }

  private siftDown(start: number): void {
    let parent = start;
    for (;;) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < this.heap.length && this.before(child, least)) {
          least = child;
        }
      }
      if (least === parent) return;
      this.swap(parent, least);
      parent = least;
    }
  }
}
