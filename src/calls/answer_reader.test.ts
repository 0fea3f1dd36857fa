import {describe, expect, it} from 'vitest';

import {callId} from '../core/index.js';
import {AnswerReader} from './answer_reader.js';
import type {AnswerMessage} from './messages.js';

const name = {callId: callId('c'), attempt: 1};
const load = {
  queued: 0,
  running: 0,
  concurrency: 1,
  drainPerSecond: 0,
  pendingBlocks: 0,
  msPerBlock: 0,
  msPerToken: 0,
};
const bytes = (text: string) => new TextEncoder().encode(text);
const head = (firstEvent?: number, type = 'text/event-stream') => ({
  ...{type: 'head' as const, ...name, seq: 0 as const, status: 200, load},
  headers: {'content-type': type},
  firstEvent,
});
const data = (seq: number, event?: number) => ({
  ...{type: 'data' as const, ...name, seq, event},
  body: bytes(`${event ?? seq} `),
});
const end = (frames: number, size: number) => ({
  ...{type: 'end' as const, ...name, frames, bytes: size, load},
});
const RESTART = 'restart' as const;

/** Returns the text delivered to the caller for a sequence of frames. */
function read(frames: readonly (AnswerMessage | typeof RESTART)[]): string {
  const reader = new AnswerReader();
  let got = '';
  for (const frame of frames) {
    if (frame === RESTART) {
      reader.restart();
      continue;
    }
    const effects =
      frame.type === 'head'
        ? reader.readHead(frame)
        : frame.type === 'data'
          ? reader.readData(frame)
          : frame.type === 'end'
            ? reader.readEnd(frame)
            : 'broken';
    if (effects === 'broken') return `${got}broken`;
    for (const effect of effects) {
      if (effect.type === 'body') got += new TextDecoder().decode(effect.bytes);
      if (effect.type === 'end') got += 'end';
    }
  }
  return got;
}

describe('AnswerReader', () => {
  const plain = head(undefined, 'application/json');

  // An entry passed such a status on to its caller, who waits for another.
  it.each([100, 150, 199])('takes no head with status %i', status => {
    expect(read([{...head(), status}])).toBe('broken');
    expect(read([{...plain, status}, data(1), end(1, 2)])).toBe('broken');
  });

  it.each([
    {
      title: 'a whole answer',
      frames: [plain, data(1), end(1, 2)],
      got: '1 end',
    },
    {
      title: 'an incomplete answer is buffered',
      frames: [plain, data(1)],
      got: '',
    },
    {title: 'a missing piece', frames: [plain, data(2)], got: 'broken'},
    {title: 'no head', frames: [end(0, 0)], got: 'broken'},
    {
      title: 'too few frames',
      frames: [plain, data(1), end(2, 2)],
      got: 'broken',
    },
    {
      title: 'too few bytes',
      frames: [plain, data(1), end(1, 3)],
      got: 'broken',
    },
    {
      title: 'a duplicate piece',
      frames: [plain, data(1), data(1), plain, data(2), end(2, 4)],
      got: '1 2 end',
    },
    {
      title: 'an attempt that restarts',
      frames: [plain, data(1), RESTART, plain, data(1), end(1, 2)],
      got: '1 end',
    },
    {title: 'a stream', frames: [head(0), data(1, 0), data(2, 1)], got: '0 1 '},
    {
      title: 'a gap',
      frames: [head(0), data(1, 0), data(3, 2)],
      got: '0 broken',
    },
    {
      title: 'a gap in the events',
      frames: [head(0), data(1, 0), data(2, 2)],
      got: '0 broken',
    },
    {
      title: 'a stream resumed by another attempt',
      frames: [head(0), data(1, 0), RESTART, head(1), data(1, 1), end(1, 2)],
      got: '0 1 end',
    },
    {
      title: 'duplicate events',
      frames: [head(0), data(1, 0), RESTART, head(0), data(1, 0), data(2, 1)],
      got: '0 1 ',
    },
    {
      title: 'missing events on resumption',
      frames: [head(0), data(1, 0), RESTART, head(2)],
      got: '0 broken',
    },
    {
      title: 'a resumed stream without a first event index',
      frames: [head(0), data(1, 0), RESTART, head(undefined)],
      got: '0 broken',
    },
  ])('$title', ({frames, got}) => {
    expect(read(frames)).toBe(got);
  });

  // Each piece was an object of some hundreds of bytes until the answer was complete.
  it('holds a short answer as one piece', () => {
    const reader = new AnswerReader();
    reader.readHead(plain);
    for (let seq = 1; seq <= 1_000; seq++) {
      const effects = reader.readData({...data(seq), body: bytes('x')});
      expect(effects).toEqual([{type: 'held'}]);
    }
    const [, ...rest] = reader.readEnd(end(1_000, 1_000));
    const body = Buffer.from('x'.repeat(1_000));
    expect(rest).toEqual([{type: 'body', bytes: body}, {type: 'end'}]);
  });
});
