import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {EventSplitter} from './event_splitter.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes that the memory grows by while a splitter holds a line in pieces of two bytes. */
function heldFor(lineBytes: number): number {
  const splitter = new EventSplitter();
  const line = Buffer.from(`data: ${'x'.repeat(lineBytes)}`);
  collectGarbage();
  const before = usedMemory();
  for (let at = 0; at < line.length; at += 2)
    splitter.push(Buffer.from(line.subarray(at, at + 2)));
  collectGarbage();
  const after = usedMemory();
  const event = splitter.push(Buffer.from('\n\n'));
  expect(event.map(bytes => bytes.length)).toEqual([line.length + 2]);
  return after - before;
}

function usedMemory(): number {
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Characters that are searched to split a chunk of short lines that end with a CR. */
function searchedFor(chunkBytes: number): number {
  const chunk = Buffer.from('data\r'.repeat(chunkBytes / 5));
  const {indexOf} = String.prototype;
  let searched = 0;
  String.prototype.indexOf = function (text, from = 0) {
    const found = indexOf.call(this, text, from);
    searched += (found === -1 ? this.length : found + 1) - from;
    return found;
  };
  try {
    new EventSplitter().push(chunk);
  } finally {
    String.prototype.indexOf = indexOf;
  }
  return searched;
}

function split(chunks: readonly Buffer[]): string[] {
  const splitter = new EventSplitter();
  return chunks
    .flatMap(chunk => splitter.push(chunk))
    .map(event => Buffer.from(event).toString());
}

describe('EventSplitter', () => {
  it('returns the same events however the stream is cut', () => {
    const parts = fc.constantFrom('\r', '\n', '\r\n', 'data: é', 'id: 1', ':');
    const cuts = fc.array(fc.nat(40));
    fc.assert(
      fc.property(fc.array(parts, {maxLength: 30}), cuts, (texts, at) => {
        const bytes = Buffer.from(`${texts.join('')}\n\n`);
        const ends = [...at, bytes.length].sort((a, b) => a - b);
        const chunks = ends.map((end, i) =>
          bytes.subarray(ends[i - 1] ?? 0, end),
        );
        expect(split(chunks)).toEqual(split([bytes]));
      }),
    );
  });

  it('returns an event whose lines end with a CR at once', () => {
    const event = 'data: a\r\r';
    expect(split([Buffer.from(event)])).toEqual(['data: a\n\n']);
    const cut = [event, '\ndata: b\r', '\n\r', '\n'];
    const events = split(cut.map(text => Buffer.from(text)));
    expect(events).toEqual(['data: a\n\n', 'data: b\n\n']);
  });

  // The rest of the chunk was searched for an LF at each line (Fault).
  it('searches each line of a chunk once', () => {
    const chunkBytes = 10 * 2 ** 10;
    const small = searchedFor(chunkBytes);
    expect(searchedFor(4 * chunkBytes)).toBeLessThan(5 * small);
  });

  // Each piece of a line was kept as a string of its own, some 18 times its bytes (Fault).
  it('holds an unfinished line in memory that depends on its bytes', () => {
    heldFor(2 ** 10);
    const growth = heldFor(256 * 2 ** 10) - heldFor(64 * 2 ** 10);
    expect(growth).toBeLessThan(4 * 192 * 2 ** 10);
  });
});
