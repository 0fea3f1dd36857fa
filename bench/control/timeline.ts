import type {Millis} from '../../src/core/index.js';

interface Entry {
  readonly at: Millis;
  readonly order: number;
  readonly act: () => void;
}

/** Event queue in virtual time. */
export class Timeline {
  now: Millis = 0;
  private readonly heap: Entry[] = [];
  private order = 0;

  /**
   * Schedules a callback.
   * @param delay - delay from now, ms
   * @param act - callback to run
   */
  after(delay: Millis, act: () => void): void {
    this.push({at: this.now + delay, order: this.order++, act});
  }

  /**
   * Advances the time and runs the callbacks that fall due.
   * @param span - time to advance, ms
   */
  advance(span: Millis): void {
    const until = this.now + span;
    for (;;) {
      const [first] = this.heap;
      if (first === undefined || first.at > until) break;
      this.pop();
      this.now = first.at;
      first.act();
    }
    this.now = until;
  }

  private push(entry: Entry): void {
    const {heap} = this;
    let i = heap.push(entry) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.swapIfLess(i, parent)) return;
      i = parent;
    }
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const rightLess =
        right < heap.length && isBefore(heap[right]!, heap[left]!);
      const child = rightLess ? right : left;
      if (!this.swapIfLess(child, i)) return;
      i = child;
    }
  }

  private swapIfLess(child: number, parent: number): boolean {
    const {heap} = this;
    const [a, b] = [heap[child]!, heap[parent]!];
    if (!isBefore(a, b)) return false;
    heap[child] = b;
    heap[parent] = a;
    return true;
  }
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
