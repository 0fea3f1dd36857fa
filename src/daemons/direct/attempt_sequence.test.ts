import {describe, expect, it} from 'vitest';

import {AttemptSequence, EVACUATED} from './attempt_sequence.js';

describe('AttemptSequence', () => {
  it('hands on the time that is left at the connect', () => {
    const attempts = new AttemptSequence(0);
    attempts.begin(1_000, 'i-1#5', 1_200);
    expect(attempts.connect(1_300)).toMatchObject({timeLeft: 900});
    attempts.recordFailure({kind: 'may_have_run', reason: 'reset'});
    attempts.begin(1_400, 'i-2#5', 800);
    expect(attempts.connect(1_410)).toMatchObject({
      ...{number: 2, charge: 'retry_budget', timeLeft: 790, sinceFirst: 110},
    });
    expect(attempts.timeLeft).toBe(900);
  });

  // An entry that was stopped for 0.5 s sent what it had decided on before.
  it('sends nothing on a connection that came after a hold-up', () => {
    const attempts = new AttemptSequence(0);
    attempts.begin(1_000, 'i-1#5', 1_200);
    expect(attempts.connect(1_401)).toBeUndefined();
    attempts.recordFailure({kind: 'not_run', reason: 'held_up'});
    expect(attempts.sends).toBe(0);
    expect(attempts.triedIncarnations).toEqual(new Set());
    attempts.begin(1_402, 'i-1#5', 798);
    expect(attempts.connect(1_403)).toMatchObject({
      ...{tries: 2, number: 1, charge: 'unsent_before', after: 'held_up'},
    });
  });

  // A request was sent to a zone that was evacuated while it connected.
  it('sends nothing to an evacuated zone, and charges nothing for it', () => {
    const attempts = new AttemptSequence(0);
    attempts.begin(1_000, 'i-1#5', 1_200);
    expect(attempts.connect(1_010, true)).toBeUndefined();
    attempts.recordFailure(EVACUATED);
    expect(attempts.sends).toBe(0);
    expect(attempts.triedIncarnations).toEqual(new Set());
    attempts.begin(1_011, 'i-2#5', 1_189);
    expect(attempts.connect(1_012, false)).toMatchObject({
      ...{tries: 2, number: 1, charge: 'unsent_before', after: 'evacuated'},
    });
  });

  it('sends nothing once the time of its request is over', () => {
    const attempts = new AttemptSequence(0);
    attempts.begin(1_000, 'i-1#5', 200);
    expect(attempts.connect(1_200)).toBeUndefined();
  });
});
