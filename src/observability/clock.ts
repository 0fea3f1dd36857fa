import {Clock} from '../core/index.js';
import type {Millis} from '../core/index.js';

/** Clock of the operating system. */
export class SystemClock extends Clock {
  now(): Millis {
    return performance.now();
  }

  wall(): Millis {
    return Date.now();
  }
}
