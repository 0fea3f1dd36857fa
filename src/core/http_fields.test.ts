import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  fromFieldValue,
  headerPairs,
  isHeaderText,
  malformedField,
  toFieldValue,
} from './http_fields.js';

describe('malformedField', () => {
  it.each<[string, string, string | undefined]>([
    ['X', 'a', undefined],
    ['X-Y_z.1', '\ta \xe9', undefined],
    ['X', '', undefined],
    ['X ', 'a', '"X "'],
    ['', 'a', '""'],
    ['X', 'a\nb', '"X"'],
    ['X', 'a\u0000', '"X"'],
    ['X', '\u0100', '"X"'],
    ['é', 'a', '"é"'],
  ])('of %j: %j is %j', (name, value, malformed) => {
    expect(
      malformedField([
        ['Ok', 'a'],
        [name, value],
      ]),
    ).toBe(malformed);
  });

  // The line is written to the log, at the wish of any caller.
  it('shows the beginning of a long name only', () => {
    const shown = malformedField(headerPairs([' '.repeat(10_000), 'a']));
    expect(shown?.length).toBeLessThan(50);
  });
});

describe('a header value of a text', () => {
  it('is well-formed and decodes to the text', () => {
    fc.assert(
      fc.property(fc.string({unit: 'grapheme'}), text => {
        fc.pre(isHeaderText(text));
        const value = toFieldValue(text);
        expect(malformedField([['X', value]])).toBeUndefined();
        expect(fromFieldValue(value)).toBe(text);
      }),
      {seed: 3},
    );
  });
});
