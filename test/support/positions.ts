import {era, offset} from '../../src/core/index.js';
import type {LogPosition} from '../../src/core/index.js';

/**
 * Returns a position in a topic.
 * @param at - offset of the position
 * @param inEra - era of the store
 */
export const position = (at: number, inEra = 0): LogPosition => ({
  era: era(inEra),
  offset: offset(at),
});
