import {expect, it} from 'vitest';

import {DaemonLifecycle} from './daemon_lifecycle.js';

type Event = 'onSignal' | 'onStartEnded' | 'onStartTimeout';

it.each<[string, readonly Event[], readonly string[]]>([
  ['drains after a signal', ['onStartEnded', 'onSignal'], ['none', 'drain']],
  [
    'drains at the end of a start that a signal met',
    ['onSignal', 'onStartEnded', 'onStartTimeout'],
    ['await_start', 'drain', 'none'],
  ],
  [
    'drains after a time when the start does not end',
    ['onSignal', 'onStartTimeout', 'onStartEnded'],
    ['await_start', 'drain', 'none'],
  ],
  [
    'stops at a second signal, once',
    ['onStartEnded', 'onSignal', 'onSignal', 'onSignal'],
    ['none', 'drain', 'stop', 'none'],
  ],
  [
    'stops at a second signal during the start, and does not drain then',
    ['onSignal', 'onSignal', 'onStartTimeout', 'onStartEnded'],
    ['await_start', 'stop', 'none', 'none'],
  ],
])('%s', (_name, events, steps) => {
  const lifecycle = new DaemonLifecycle();
  expect(events.map(event => lifecycle[event]())).toEqual(steps);
});
