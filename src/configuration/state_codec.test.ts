import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {offset, recordId, version} from '../core/index.js';
import {DeflateCodec, compressRecord, expandRecord} from '../clients/index.js';
import {applyDelta, makeDelta} from './delta.js';
import {StateCodec} from './state_codec.js';

const line = fc.constantFrom('a', 'b', 'c', '', 'd: 1', '  - é');
const text = fc.array(line, {maxLength: 40}).map(lines => lines.join('\n'));

function stateOf(at: number, text: string) {
  const author = '';
  const publicationId = recordId('');
  const foldedTo = offset(at);
  return {version: version(at), text, author, publicationId, foldedTo};
}

describe('makeDelta and applyDelta', () => {
  it('round-trip a text', () => {
    fc.assert(
      fc.property(text, text, (base, target) => {
        expect(applyDelta(base, makeDelta(base, target))).toBe(target);
      }),
      {seed: 7, numRuns: 500},
    );
  });

  it.each([
    [{from: 0, count: 9}],
    [{from: 3, count: 1}],
    [{from: -1, count: 1}],
  ])('reject a delta that does not fit: %j', part => {
    expect(applyDelta('a\nb\nc', [part])).toBeUndefined();
  });
});

describe('StateCodec', () => {
  const before = Array.from({length: 400}, (_, i) => `line ${i}`).join('\n');
  const after = before.replace('line 200', 'changed');
  const codec = new StateCodec(new DeflateCodec());
  codec.cacheText(stateOf(1, before));
  const delta = codec.pack(stateOf(2, after), version(1));

  it('packs a delta for a receiver with a cached version', () => {
    expect(delta).toMatchObject({kind: 'delta', base: 1});
    expect(codec.unpack(delta, stateOf(1, before))).toBe(after);
  });

  it.each([
    ['another version', stateOf(3, before)],
    ['another text for the version', stateOf(1, `x${before}`)],
  ])('requests the whole text when the receiver has %s', (_name, own) => {
    expect(codec.unpack(delta, own)).toBeUndefined();
  });

  it('packs the whole text when the base is not cached', () => {
    const whole = codec.pack(stateOf(2, after), version(9));
    expect(whole.kind).toBe('whole');
    expect(codec.unpack(whole, stateOf(0, ''))).toBe(after);
  });
});

describe('expandRecord', () => {
  it('undoes compressRecord', () => {
    const record = {kind: 'publication', text: 'a: é'};
    expect(expandRecord(compressRecord(record))).toEqual(record);
  });

  it.each([
    null,
    'x',
    {deflated: 7},
    {deflated: '!!!'},
    {deflated: '', text: 'both'},
  ])('returns uncompressed data unchanged: %j', data => {
    expect(expandRecord(data)).toEqual(data);
  });
});
