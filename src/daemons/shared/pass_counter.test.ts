import {beforeEach, expect, it} from 'vitest';

import {PassCounter} from './pass_counter.js';

let passes: (() => void)[];
let counter: PassCounter;

beforeEach(() => {
  passes = [];
  counter = new PassCounter(3, next => passes.push(next));
});

// A pass read all of 120 connections, 170,000 requests, before any was given back.
it('tells once that a pass is used up', () => {
  const answers = Array.from({length: 6}, () => counter.record());
  expect(answers).toEqual([false, false, true, false, false, false]);
});

it('counts anew in the next pass, and numbers it', () => {
  counter.record();
  counter.record();
  const {number} = counter;
  passes.shift()?.();
  expect(counter.number).toBe(number + 1);
  expect([counter.record(), counter.record()]).toEqual([false, false]);
  expect(passes.length).toBe(1);
});
