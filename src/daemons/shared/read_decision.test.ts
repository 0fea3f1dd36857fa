import {describe, expect, it} from 'vitest';

import {mayReadOn} from './read_decision.js';
import type {ConnectionProgress, ReadState} from './read_decision.js';

type State = ConnectionProgress & ReadState;

const IDLE: State = {
  isDetached: false,
  isSuspended: false,
  isThrottled: false,
  isLingering: false,
  discardedRequests: 0,
  holdsInput: false,
  isParsing: false,
  isReadingBody: false,
  openRequests: 0,
  isLatestComplete: true,
  isWithinBudget: true,
};
const mayRead = (change: Partial<State>) => {
  const state = {...IDLE, ...change};
  return mayReadOn(state, state);
};

describe('mayReadOn', () => {
  it('stops reading 30,000 pipelined requests before they are parsed', () => {
    let openRequests = 0;
    while (openRequests < 30_000 && mayRead({openRequests})) openRequests += 1;
    expect(openRequests).toBe(1_024);
  });

  it('reads a body to its end whatever the budget', () => {
    const change = {isReadingBody: true, isLatestComplete: false};
    expect(mayRead({...change, isWithinBudget: false})).toBe(true);
    expect(mayRead({...change, openRequests: 2_000})).toBe(true);
  });

  it('notices the end of a caller with one request beyond the budget', () => {
    expect(mayRead({openRequests: 1, isWithinBudget: false})).toBe(true);
    expect(mayRead({openRequests: 2, isWithinBudget: false})).toBe(false);
    const isLatestComplete = false;
    expect(
      mayRead({openRequests: 1, isWithinBudget: false, isLatestComplete}),
    ).toBe(false);
  });

  it('discards some requests on an ended connection', () => {
    const isLingering = true;
    expect(mayRead({isLingering, discardedRequests: 15})).toBe(true);
    expect(mayRead({isLingering, discardedRequests: 16})).toBe(false);
  });

  it('reads nothing while connections are suspended', () => {
    expect(mayRead({isSuspended: true, isReadingBody: true})).toBe(false);
  });

  it('reads a connection that is detached from its parser', () => {
    expect(mayRead({isDetached: true, isSuspended: true})).toBe(true);
  });
});

// 500 connections that each kept a read would have waited for one another.
it('reads on what was kept of a read once nothing is open', () => {
  const kept = {holdsInput: true, isWithinBudget: false};
  expect(mayRead({...kept, openRequests: 0})).toBe(true);
  expect(mayRead({...kept, openRequests: 2})).toBe(false);
  expect(mayRead({...kept, openRequests: 0, isSuspended: true})).toBe(false);
});
