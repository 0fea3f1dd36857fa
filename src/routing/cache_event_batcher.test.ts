import {expect, it} from 'vitest';

import {CacheEventBatcher} from './cache_event_batcher.js';

const event = (seq: number, stored: number[], removed: number[] = []) => ({
  seq,
  stored,
  removed,
});

it.each([
  {name: 'an empty page', pages: [[]], seqs: []},
  {
    name: 'events in order',
    pages: [[event(1, [1])], [event(2, [2])]],
    seqs: [1, 2],
  },
  {
    name: 'a duplicate page',
    pages: [[event(1, [1])], [event(1, [1])]],
    seqs: [1],
  },
  {
    name: 'a gap in the engine sequence',
    pages: [[event(1, [1])], [event(3, [3])]],
    seqs: [1, 3],
  },
  {
    name: 'more events than a message holds',
    pages: [
      [event(1, [1])],
      [
        event(
          2,
          Array.from({length: 600}, (_, i) => i),
        ),
      ],
    ],
    seqs: [1, 3],
  },
  {name: 'a late start', pages: [[event(70, [1])]], seqs: [1]},
])('numbers messages after $name', ({pages, seqs}) => {
  const batcher = new CacheEventBatcher();
  const messages = pages.flatMap(events => batcher.batch({events}));
  expect(messages.map(({seq}) => seq)).toEqual(seqs);
});

it('reports only the last change of each block', () => {
  const events = [event(1, [1, 2]), event(2, [3], [1]), event(3, [1], [2])];
  const [message] = new CacheEventBatcher().batch({events});
  expect(message).toMatchObject({stored: [3, 1], removed: [2]});
});
