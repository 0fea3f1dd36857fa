import {
  CurrentTextParser,
  StateCodec,
  applyDelta,
  makeDelta,
} from '../../src/configuration/index.js';
import {offset, recordId, version} from '../../src/core/index.js';
import {DeflateCodec, compressRecord} from '../../src/clients/index.js';
import {largeText} from './large_text.js';

const CHANGES_A_DAY = 2_100;
const SECONDS_A_DAY = 86_400;
const ROUNDS = 20;

function stateOf(revision: number) {
  return {
    version: version(revision + 1),
    text: largeText(revision),
    author: '',
    publicationId: recordId('p'),
    foldedTo: offset(revision),
  };
}

function perSecond(bytes: number): string {
  const rate = (bytes * CHANGES_A_DAY) / SECONDS_A_DAY;
  return `${Math.round(bytes)} B a change, ${rate.toFixed(1)} B/s`;
}

function milliseconds(act: (round: number) => void): string {
  const start = performance.now();
  for (let i = 0; i < ROUNDS; i++) act(i);
  return `${((performance.now() - start) / ROUNDS).toFixed(1)} ms`;
}

/** Measures the cost of a change of a large text per receiver and encoding. */
export function measureEncodings(): string[] {
  const codec = new DeflateCodec();
  const states = new StateCodec(codec);
  const [before, after] = [stateOf(0), stateOf(1)];
  states.cacheText(before);
  const {text} = after;
  const delta = states.pack(after, before.version);
  const plainDelta = JSON.stringify(makeDelta(before.text, text));
  const record = {kind: 'publication', id: 'x', base: 1, author: 'a', text};
  const parser = new CurrentTextParser();
  return [
    `text ${text.length} B, one line changed, ${CHANGES_A_DAY} changes a day`,
    `whole: ${perSecond(text.length)}`,
    `whole, deflated: ${perSecond(codec.deflate(text).length)}`,
    `delta: ${perSecond(plainDelta.length)}`,
    `delta, deflated: ${perSecond(delta.deflated.length)}`,
    `log record, plain: ${perSecond(JSON.stringify(record).length)}`,
    `log record, deflated: ${perSecond(JSON.stringify(compressRecord(record)).length)}`,
    `parse and check: ${milliseconds(i => parser.parse(largeText(i)))}`,
    `deflate: ${milliseconds(() => codec.deflate(text))}`,
    `make a delta: ${milliseconds(() => makeDelta(before.text, text))}`,
    `apply a delta: ${milliseconds(() =>
      applyDelta(before.text, makeDelta(before.text, text)),
    )} with making it`,
  ];
}
